package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// runKeys sends requests with a key that no desired state holds. With trouble, a desired state removes the only tenant before;
// without, that tenant stays.
func runKeys(r *record, binary string, trouble bool) error {
	e := &engine{service: plainService, work: 20 * time.Millisecond}
	var mu sync.Mutex
	unknown := map[string]bool{}
	e.arrived = func(request string) {
		mu.Lock()
		defer mu.Unlock()
		if unknown[request] {
			r.breakRule("ROUTE: request %s runs, and no desired state ever held its key", request)
		}
	}
	s, err := startSystem(r, binary, e)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return err
	}
	known := tenant{name: "alpha"}
	if err := s.publish(3, desiredState(3, known)); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(configApply + time.Second)
	send := func(label, key string, isKnown bool) error {
		for _, n := range s.nodes {
			id := label + "-" + n.name
			mu.Lock()
			unknown[id] = !isKnown
			mu.Unlock()
			status := s.sendWithKey(n, id, key)
			if status == 0 || isKnown && status != http.StatusOK {
				return fmt.Errorf("request %s got status %d", id, status)
			}
		}
		return nil
	}
	if err := errors.Join(send("known-before", known.key(), true), send("unknown-before", "key-of-nobody", false)); err != nil {
		return err
	}
	last := desiredState(7, known)
	if trouble {
		last["tenants"] = []any{}
	}
	if err := s.publish(7, last); err != nil {
		return err
	}
	r.write("desired state 7 has %d tenants", len(last["tenants"].([]any)))
	time.Sleep(configApply + time.Second)
	return send("unknown-after", "key-of-nobody", false)
}

// sendWithKey sends one request with a key, and returns the status of its answer, 0 if there is none.
func (s *system) sendWithKey(n *node, id, key string) int {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/book/a", n.ip, portFront), bytes.NewReader([]byte(strings.Repeat("x", 600))))
	if err != nil {
		s.record.write("request %s: %v", id, err)
		return 0
	}
	request.Host = hostName
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "3000", "X-Api-Key": key} {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Timeout: callTimeout}).Do(request)
	if err != nil {
		s.record.write("request %s to %s with key %s has no answer: %v", id, n.name, key, err)
		return 0
	}
	_ = response.Body.Close()
	s.record.write("request %s to %s with key %s: status %d", id, n.name, key, response.StatusCode)
	return response.StatusCode
}
