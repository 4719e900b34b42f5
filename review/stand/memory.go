package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bursts is the number of bursts, and burstClients the number of clients at each of burstNodes nodes.
	bursts       = 3
	burstNodes   = 2
	burstClients = 48
	watchEvery   = 5 * time.Millisecond
	restartDelay = time.Second
)

// watched is a node under the memory limit of the platform.
type watched struct {
	*node
	kills atomic.Int64
	peak  atomic.Int64
}

// runMemory sends requests with large bodies. With trouble, those of many clients come at once; without, the same ones come one
// after the other.
func runMemory(r *record, binary string, trouble bool) error {
	var engines []*engine
	for range coreNodes {
		engines = append(engines, &engine{service: plainService, work: 60 * time.Millisecond})
	}
	s, err := startSystem(r, binary, engines...)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return err
	}
	client := tenant{name: "alpha"}
	if err := s.publish(3, desiredState(3, client)); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	var nodes []*watched
	for _, n := range s.nodes {
		w := &watched{node: n}
		nodes = append(nodes, w)
		tasks.Go(func() { w.watch(ctx, r) })
	}
	for i := range bursts {
		if i > 0 {
			time.Sleep(2 * restartDelay)
			if err = s.awaitReady(); err != nil {
				break
			}
		}
		s.burst(i, client, trouble)
	}
	cancel()
	tasks.Wait()
	overLimit := 0
	for _, w := range nodes {
		r.write("%s: %d kills, peak %d MB of %d MB", w.name, w.kills.Load(), w.peak.Load()>>20, memoryMB)
		if w.kills.Load() >= bursts {
			overLimit++
		}
	}
	if overLimit >= burstNodes {
		r.breakRule("Fault: the processes of %d of %d machines ended by themselves %d times or more, memory over the limit", overLimit, len(nodes), bursts)
	}
	return err
}

// burst sends one request of each client.
func (s *system) burst(number int, client tenant, together bool) {
	var sends sync.WaitGroup
	for k := range burstNodes {
		for i := range burstClients {
			send := func() { s.sendBody(s.nodes[k], fmt.Sprintf("b%d-%d-%d", number, k, i), client) }
			if together {
				sends.Go(send)
			} else {
				send()
			}
		}
	}
	sends.Wait()
}

// sendBody sends a request with the largest body that the desired state allows.
func (s *system) sendBody(n *node, id string, t tenant) {
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Timeout: 15 * time.Second, Transport: transport}
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/book/a", n.ip, portFront), bytes.NewReader(make([]byte, maxBodyBytes)))
	if err != nil {
		s.record.write("request %s: %v", id, err)
		return
	}
	request.Host = hostName
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "15000", "X-Api-Key": t.key()} {
		request.Header.Set(name, value)
	}
	s.record.write("request %s sent to %s, %d bytes", id, n.name, maxBodyBytes)
	response, err := client.Do(request)
	if err != nil {
		s.record.write("request %s has no answer: %v", id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	s.record.write("request %s: status %d", id, response.StatusCode)
}

// watch does what the platform does: it kills a process that uses more memory than its limit, and starts it again.
func (w *watched) watch(ctx context.Context, r *record) {
	ticker := time.NewTicker(watchEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p := w.running()
		bytes := residentBytes(p.pid())
		w.peak.Store(max(w.peak.Load(), bytes))
		if bytes <= memoryMB<<20 {
			continue
		}
		r.write("%s uses %d MB of %d MB, and is killed", w.name, bytes>>20, memoryMB)
		p.kill()
		w.kills.Add(1)
		time.Sleep(restartDelay)
		if err := w.start(); err != nil {
			r.write("%s does not start again: %v", w.name, err)
			return
		}
		r.write("%s is started again", w.name)
	}
}

// residentBytes returns the memory of a process that is in use.
func residentBytes(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
