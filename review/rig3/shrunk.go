package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const (
	// lateCore is how long one machine of the core is down from the start of the system.
	lateCore = 20 * time.Second
	// wipeAt is when the machine that has acknowledged the desired state loses its disk, wipeFor how long it is away.
	wipeAt  = 13 * time.Second
	wipeFor = time.Second
	// recovery is recovery-s of the settings.
	recovery = 12 * time.Second
	// readFor is how long the operator tries to read the desired state after that time.
	readFor = 30 * time.Second
)

// shrunk plays the loss of one disk of the core while another machine of the core is down since the start of the system.
func shrunk(record *os.File, trouble bool) (broken bool, err error) {
	r, err := newPlatform(record, 4, 2, 6)
	if r != nil {
		defer r.stop()
	}
	if err != nil {
		return false, err
	}
	late, wiped := r.nodes[2], r.nodes[0]
	begun := time.Now()
	for _, n := range r.nodes {
		if n == late && trouble {
			r.log("trouble: %s, a machine of the core, is down", n.name)
			continue
		}
		if err := r.startNode(n, true); err != nil {
			return false, err
		}
	}
	if err := r.publish(1, 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Until(begun.Add(wipeAt)))
	r.readAll()
	if trouble {
		if err := wiped.process.Kill(); err != nil {
			return false, err
		}
		if err := os.RemoveAll(filepath.Join(r.directory, wiped.name)); err != nil {
			return false, err
		}
		r.log("trouble: %s loses power and its disk", wiped.name)
		time.Sleep(wipeFor)
		if err := r.startNode(wiped, false); err != nil {
			return false, err
		}
		r.log("trouble: %s is back at its address, with an empty disk and bootstrap = false", wiped.name)
		time.Sleep(time.Until(begun.Add(lateCore)))
		if err := r.startNode(late, false); err != nil {
			return false, err
		}
		r.log("trouble: %s is there, with an empty disk and bootstrap = false; all machines are back", late.name)
	}
	time.Sleep(time.Until(begun.Add(lateCore + recovery)))
	for until := time.Now().Add(readFor); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		if r.readAll() {
			r.log("the desired state is read back")
			return false, nil
		}
	}
	r.log("the desired state that was acknowledged can't be read back at any machine, %.0f s after all machines are back", (recovery + readFor).Seconds())
	return true, r.checkRunning(nil)
}

// readAll reads the desired state at each node and reports whether one of them answers with it.
func (r *rig) readAll() (found bool) {
	statuses := map[string]int{}
	for _, n := range r.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+net.JoinHostPort(n.ip, fmt.Sprint(portControl))+"/Config.Get", nil)
		if err != nil {
			panic(err)
		}
		response, err := operator.Do(q)
		if err != nil {
			statuses["no answer"]++
			cancel()
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		cancel()
		statuses[response.Status]++
		found = found || err == nil && response.StatusCode == http.StatusOK && string(body) == string(document(1))
	}
	r.log("operator: answers of the nodes to a read of the desired state: %v", statuses)
	return found
}
