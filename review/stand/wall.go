package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// sharedPart is a part that prompts of both tenants begin with.
const sharedPart = "5c1e07a2"

// runWall lets two tenants send prompts that begin with the same part. With trouble, the first one is isolated by a later desired
// state; without, it is isolated from the start.
func runWall(r *record, binary string, trouble bool) error {
	first, second := tenant{name: "alpha", isolated: !trouble}, tenant{name: "beta"}
	// isolatedSince is when the isolation of the first tenant must be in force, in Unix ns; 0 if it is not isolated.
	var isolatedSince atomic.Int64
	e := &engine{service: modelService, work: 20 * time.Millisecond, makers: map[[2]string]string{}}
	e.used = func(request, user, part, maker string) {
		since := isolatedSince.Load()
		if user != maker && (user == first.name || maker == first.name) && since != 0 && time.Now().UnixNano() > since {
			r.breakRule("WALL: request %s of tenant %s uses part %s that a request of tenant %s made, and %s is isolated", request, user, part, maker, first.name)
		}
	}
	s, err := startSystem(r, binary, e)
	if s != nil {
		defer s.stop()
	}
	if err != nil {
		return err
	}
	if err := s.publish(3, desiredState(3, first, second)); err != nil {
		return err
	}
	if !trouble {
		isolatedSince.Store(time.Now().Add(configApply).UnixNano())
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(configApply + time.Second)
	if err := s.sendPrompts(first, "before", 4); err != nil {
		return err
	}
	if trouble {
		first.isolated = true
		if err := s.publish(7, desiredState(7, first, second)); err != nil {
			return err
		}
		isolatedSince.Store(time.Now().Add(configApply).UnixNano())
	}
	time.Sleep(configApply + time.Second)
	if err := s.sendPrompts(first, "after", 4); err != nil {
		return err
	}
	return s.sendPrompts(second, "after", 4)
}

// sendPrompts sends prompts of a tenant to the nodes in turn, one after the other.
func (s *system) sendPrompts(t tenant, label string, count int) error {
	client := &http.Client{Timeout: 5 * time.Second}
	for i := range count {
		n := s.nodes[i%len(s.nodes)]
		id := fmt.Sprintf("%s-%s-%d", t.name, label, i)
		request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/check/a", n.ip, portFront), strings.NewReader("prompt "+id))
		if err != nil {
			return err
		}
		request.Host = hostName
		for name, value := range map[string]string{
			"Request-Id": id, "Deadline-Ms": "4000", "X-Api-Key": t.key(), "Model": modelName, "Token-Usage": "700,3",
			"Prefix-Hash": fmt.Sprintf("%s:600,%x:100", sharedPart, id),
		} {
			request.Header.Set(name, value)
		}
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		s.record.write("request %s to %s: status %d, %d bytes, %v", id, n.name, response.StatusCode, len(body), err)
		if response.StatusCode != http.StatusOK || err != nil {
			return fmt.Errorf("request %s was not served", id)
		}
	}
	return nil
}
