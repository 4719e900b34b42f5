package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainTime is the drain-ms, and listLag the lag-ms of kiln-slots.
	drainTime = 3 * time.Second
	listLag   = 800 * time.Millisecond
	// drainRequests is the number of requests sent to each node after the drain time.
	drainRequests = 12
)

// unreadableEntry is an entry of another writer: bytes that are no JSON. One of them is a quote.
var unreadableEntry = []byte{0x8b, 0xff, 0x01, '"', 0x00, 0xfe, 0x1f, 0x90}

// platformList is the platform's list of engines.
type platformList struct {
	engines []*engine

	mu       sync.Mutex
	draining map[string]bool
	odd      bool
}

// ServeHTTP implements http.Handler.
func (l *platformList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var entries [][]byte
	if l.odd {
		entries = append(entries, unreadableEntry)
	}
	for i, e := range l.engines {
		entry := e.entry(zone(i))
		if l.draining[e.id] {
			entry["state"] = "draining"
		}
		encoded, err := json.Marshal(entry)
		if err != nil {
			panic(err)
		}
		entries = append(entries, encoded)
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"instances":[%s],"next":null}`, bytes.Join(entries, []byte(",")))
}

func (l *platformList) change(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

// runList empties one of two engines. With trouble, the list holds an entry of another writer meanwhile, whose bytes can't be read.
func runList(r *record, binary string, trouble bool) error {
	// shownAt is when the list shows that the engine is draining, in Unix ns.
	var shownAt atomic.Int64
	leaving, other := &engine{service: plainService, work: 60 * time.Millisecond}, &engine{service: plainService, work: 60 * time.Millisecond}
	leaving.arrived = func(request string) {
		if since := time.Since(time.Unix(0, shownAt.Load())); shownAt.Load() != 0 && since > drainTime {
			r.breakRule("DRAIN: request %s reaches engine %s %v after the list showed it as draining, the limit is %v", request, leaving.id, since.Round(time.Millisecond), drainTime)
		}
	}
	s, err := startSystem(r, binary, leaving, other)
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
	time.Sleep(configApply + time.Second)
	s.sendSmall(client, "before", 4)
	s.platform.change(func() { s.platform.odd = trouble })
	if trouble {
		r.write("the list holds an entry whose bytes can't be read: %q", unreadableEntry)
	}
	time.Sleep(2 * time.Second)
	s.platform.change(func() { s.platform.draining = map[string]bool{leaving.id: true} })
	leaving.leaving.Store(true)
	shownAt.Store(time.Now().UnixNano())
	r.write("the list shows engine %s as draining", leaving.id)
	time.Sleep(drainTime + listLag + 2*time.Second)
	s.sendSmall(client, "after", drainRequests)
	return s.restartLast()
}

// restartLast kills a node and starts it again, and records whether it becomes ready. The rule does not depend on it.
func (s *system) restartLast() error {
	n := s.nodes[len(s.nodes)-1]
	n.running().kill()
	if err := n.start(); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		s.record.write("%s is started again: after %v %v", n.name, startTimeout, err)
	}
	return nil
}

// sendSmall sends requests with small bodies to the nodes in turn, one after the other.
func (s *system) sendSmall(t tenant, label string, count int) {
	client := &http.Client{Timeout: 5 * time.Second}
	for i := range count {
		for _, n := range s.nodes {
			id := fmt.Sprintf("%s-%s-%d", label, n.name, i)
			request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/book/a", n.ip, portFront), bytes.NewReader([]byte("booking "+id)))
			if err != nil {
				s.record.write("request %s: %v", id, err)
				continue
			}
			request.Host = hostName
			for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "3000", "X-Api-Key": t.key()} {
				request.Header.Set(name, value)
			}
			response, err := client.Do(request)
			if err != nil {
				s.record.write("request %s to %s has no answer: %v", id, n.name, err)
				continue
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			s.record.write("request %s to %s: status %d, %d bytes, %v", id, n.name, response.StatusCode, len(body), err)
		}
	}
}
