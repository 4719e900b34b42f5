package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// startSpread is the time from the start of the first machine to that of the others; the pages allow 0.3 s.
	startSpread = 250 * time.Millisecond
	// freezeFor is how long the first machine stands still.
	freezeFor = 3500 * time.Millisecond
	// foundingPatience is how long the operator tries: several times catch-up-s, ack-ms and recovery-s together.
	foundingPatience = 60 * time.Second
)

// founding plays the first start of a system. One machine without a disk, the first of the seeds, stands still for some seconds.
func founding(record *os.File, trouble bool) (broken bool, err error) {
	r, err := newPlatform(record, 4, 2, 6)
	if r != nil {
		defer r.stop()
	}
	if err != nil {
		return false, err
	}
	r.firstSeed = coreNodes
	first := r.nodes[r.firstSeed]
	begun := time.Now()
	if err := r.startNode(first, true); err != nil {
		return false, err
	}
	r.log("%s is started with bootstrap = true; it is the first of the seeds and has no disk", first.name)
	if err := awaitListening(r.at(groupNode, r.firstSeed+1, portReady), startSpread); err != nil {
		return false, err
	}
	if trouble {
		if err := first.process.Freeze(); err != nil {
			return false, err
		}
		r.log("trouble: %s stands still", first.name)
		time.AfterFunc(freezeFor, func() {
			_ = first.process.Thaw()
			r.log("trouble: %s goes on", first.name)
		})
	}
	time.Sleep(time.Until(begun.Add(startSpread)))
	for _, n := range r.nodes {
		if n == first {
			continue
		}
		if err := r.startNode(n, true); err != nil {
			return false, err
		}
	}
	r.log("all other machines are started with bootstrap = true, %.3f s after the first", time.Since(begun).Seconds())
	if err := r.publish(1, foundingPatience); err != nil {
		r.log("the first desired state: %v", err)
	}
	time.Sleep(time.Second)
	served := 0
	for i, n := range r.nodes {
		a := r.send(context.Background(), n, http.MethodGet, "/look/x", fmt.Sprintf("q%d", i), "", nil)
		r.log("request q%d sent to %s: status %d, error %v", i, n.name, a.status, a.err)
		if a.status == http.StatusOK {
			served++
		}
	}
	r.log("%d of %d requests served, %.1f s after the start", served, len(r.nodes), time.Since(begun).Seconds())
	return served == 0, r.checkRunning(nil)
}

// awaitListening waits until an address accepts connections.
func awaitListening(address string, within time.Duration) (err error) {
	for begun := time.Now(); time.Since(begun) < within; time.Sleep(2 * time.Millisecond) {
		var conn net.Conn
		if conn, err = net.Dial("tcp", address); err == nil {
			return conn.Close()
		}
	}
	return err
}
