package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"time"
)

const (
	// writerFor is how long the other writer's entries stand in the list, from the start of the system.
	writerFor = 5 * time.Second
	// trafficFrom is the time from the start of the system to the first request, trafficFor how long clients send requests.
	trafficFrom = 10 * time.Second
	trafficFor  = 40 * time.Second
)

// writer plays a list of engines in which another writer names the same engines, under a service that the desired state does not name.
func writer(record *os.File, trouble bool) (broken bool, err error) {
	r, err := newPlatform(record, 4, 3, 6)
	if r != nil {
		defer r.stop()
	}
	if err != nil {
		return false, err
	}
	if trouble {
		r.mu.Lock()
		r.otherWriter = func(entry map[string]any) map[string]any {
			odd := maps.Clone(entry)
			odd["service"], odd["state"] = "legacy", "draining"
			return odd
		}
		r.mu.Unlock()
		r.log("trouble: the list holds a second entry for each engine, with service = legacy, which is not named here, and state = draining")
		time.AfterFunc(writerFor, func() {
			r.mu.Lock()
			r.otherWriter = nil
			r.mu.Unlock()
			r.log("trouble: these entries are gone")
		})
	}
	begun := time.Now()
	for _, n := range r.nodes {
		if err := r.startNode(n, true); err != nil {
			return false, err
		}
	}
	if err := r.publish(1, 20*time.Second); err != nil {
		return false, err
	}
	if err := r.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	r.log("all nodes are ready")
	time.Sleep(time.Until(begun.Add(trafficFrom)))
	statuses := map[int]int{}
	sent := 0
	for time.Since(begun) < trafficFrom+trafficFor {
		time.Sleep(50 * time.Millisecond)
		n := r.nodes[sent%len(r.nodes)]
		id := fmt.Sprintf("q%d", sent)
		var a answer
		if sent%2 == 0 {
			a = r.send(context.Background(), n, http.MethodGet, "/look/x", id, "", nil)
		} else {
			a = r.send(context.Background(), n, http.MethodPost, "/digest/x", id, "prompt", map[string]string{
				"Model": modelName, "Token-Usage": "900,8", "Prefix-Hash": fmt.Sprintf("aaaa0001:500,bb%06d:300,cc%06d:100", sent%40, sent),
			})
		}
		sent++
		statuses[a.status]++
		if sent <= 6 || a.err != nil {
			r.log("request %s sent to %s: status %d, error %v, %s", id, n.name, a.status, a.err, a.body)
		}
	}
	r.log("answers by status: %v", statuses)
	return statuses[http.StatusOK] == 0, r.checkRunning(nil)
}
