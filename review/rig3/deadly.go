package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// contactWindow is the bound of the settings.
	contactWindow = 3 * time.Second
	deadlyNodes   = 6
	deadlyModels  = 10
	// wavePause is the time between two waves of requests with the deadly part, one request at each node.
	wavePause = 9 * time.Second
	waves     = 6
	// waveGap is the time between two requests of a wave.
	waveGap = 40 * time.Millisecond
	// killedAfter is the wave after which the processes are killed.
	killedAfter = 3
	deadlyPart  = "dead0001"
	// engineDown is how long a crashed engine is away.
	engineDown = 3 * time.Second
	// fifth is the number of the crash from which the rule counts, and maxLate what it allows.
	fifth   = 5
	maxLate = 3
)

// deadly plays one part of a prompt that crashes each engine which begins to answer it, while all processes of the system are killed at once.
func deadly(record *os.File, trouble bool) (broken bool, err error) {
	r, err := newRig(record, deadlyModels, 2, deadlyNodes)
	if r != nil {
		defer r.stop()
	}
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var arrivals []run
	var crashes []time.Time
	r.onRequest = func(e *engine, w http.ResponseWriter, q *http.Request) bool {
		if !strings.Contains(q.Header.Get("Prefix-Hash"), deadlyPart) {
			return false
		}
		a := run{id: q.Header.Get("Request-Id"), engine: e.address, node: q.Header.Get("Seen-By"), at: time.Now()}
		mu.Lock()
		arrivals = append(arrivals, a)
		n := len(arrivals)
		mu.Unlock()
		r.log("request %s with the deadly part reaches engine %s, arrival %d", a.id, e.address, n)
		if pause(q, prefillTime) && e.crash(engineDown) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			n = len(crashes)
			mu.Unlock()
			r.log("engine %s crashes, crash %d", e.address, n)
		}
		return true
	}
	if err := r.publish(1, 20*time.Second); err != nil {
		return false, err
	}
	if err := r.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var served, failed atomic.Int64
	for i, n := range r.nodes {
		go func() {
			for k := 0; ctx.Err() == nil; k++ {
				id := fmt.Sprintf("s%d-%d", i, k)
				go func() {
					a := r.send(ctx, n, http.MethodPost, "/digest/x", id, "sound", map[string]string{
						"Model": modelName, "Token-Usage": "900,8", "Prefix-Hash": fmt.Sprintf("aaaa%04d:500,bb%06d:300,cc%02d%06d:100", i, k%40, i, k),
					})
					if a.err == nil && a.status == http.StatusOK {
						served.Add(1)
					} else {
						failed.Add(1)
					}
				}()
				time.Sleep(250 * time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	wave := func(number int) {
		r.log("wave %d: one request with the deadly part at each node", number)
		var sent sync.WaitGroup
		for i, n := range r.nodes {
			time.Sleep(waveGap)
			sent.Go(func() {
				id := fmt.Sprintf("d%d-%d", number, i)
				a := r.send(ctx, n, http.MethodPost, "/digest/x", id, "deadly", map[string]string{
					"Model": modelName, "Token-Usage": "900,8", "Prefix-Hash": fmt.Sprintf("aaaa%04d:500,%s:300,dd%02d%06d:100", i, deadlyPart, i, number),
				})
				r.log("request %s sent to %s: status %d, Retry-After %q, error %v", id, n.name, a.status, a.retryAfter, a.err)
			})
		}
		sent.Wait()
	}
	for number := 1; number <= waves; number++ {
		begun := time.Now()
		wave(number)
		if number == killedAfter && trouble {
			if err := r.killAll(500 * time.Millisecond); err != nil {
				return false, err
			}
			if err := r.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
			r.log("all nodes are ready again")
		}
		time.Sleep(time.Until(begun.Add(wavePause)))
	}
	cancel()
	mu.Lock()
	defer mu.Unlock()
	r.log("sound requests: %d served, %d not", served.Load(), failed.Load())
	if len(crashes) < fifth {
		r.log("only %d engines crashed", len(crashes))
		return false, r.checkRunning(nil)
	}
	from := crashes[fifth-1].Add(contactWindow)
	late := 0
	for _, a := range arrivals {
		// The nodes started together, and the core was stable afterwards.
		started := r.nodes[0].startedAt
		inTouch := a.at.Before(started) || a.at.Sub(started) > 2*contactWindow
		if a.at.After(from) && inTouch {
			late++
			r.log("late arrival %d: request %s at engine %s, %.3f s after the fifth crash", late, a.id, a.engine, a.at.Sub(crashes[fifth-1]).Seconds())
		}
	}
	r.log("requests with the deadly part that reached engines more than %v after the fifth crash: %d, allowed: %d", contactWindow, late, maxLate)
	return late > maxLate, r.checkRunning(nil)
}
