package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	hostName     = "users.example"
	modelService = "llm"
	plainService = "desk"
	modelName    = "m0"
)

// engine is a stand-in for one engine, of a plain service or of a model.
type engine struct {
	record  *record
	service string
	id      string
	address string
	born    int64
	// work is how long a request runs.
	work time.Duration
	// arrived is called for each request that reaches the engine, if it is set.
	arrived func(request string)
	// leaving is set while the engine says that it leaves.
	leaving atomic.Bool
	// arrivals counts the requests that reached the engine.
	arrivals atomic.Int64

	mu       sync.Mutex
	sequence int64
}

func (e *engine) entry(zone string) map[string]any {
	entry := map[string]any{
		"id": e.id, "service": e.service, "address": e.address, "zone": zone, "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "born": e.born,
	}
	if e.service == modelService {
		entry["stage"], entry["models"] = "both", e.models()
	}
	return entry
}

func (e *engine) models() []any {
	return []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("Instance-Id", e.id)
		return
	case "/report":
		e.report(w)
		return
	case "/order":
		e.order(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	e.arrivals.Add(1)
	if e.arrived != nil {
		e.arrived(id)
	}
	e.record.write("engine %s runs request %s, path %s, %d bytes", e.id, id, r.RequestURI, len(body))
	timer := time.NewTimer(e.work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		e.record.write("engine %s ends request %s: its channel was closed", e.id, id)
		return
	}
	w.Header().Set("Request-Id", id)
	if e.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("Response-Signature", "mac-"+id)
	_, _ = io.WriteString(w, answer(id))
}

func answer(id string) string { return strings.Repeat("answer to "+id+"\n", 20) }

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": e.models(), "busy": false, "seq": e.sequence, "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 46549, "handles": 0,
	})
}

func (e *engine) order(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	w.WriteHeader(http.StatusAccepted)
}

// tenant is a tenant with one key.
type tenant struct{ name string }

func (t tenant) key() string { return "key-of-" + t.name }

// desiredState returns a desired state with one route for each service.
func desiredState(version int, tenants ...tenant) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target int) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostName, "path-prefix": prefix, "kind": kind, "timeout-ms": timeout, "target-latency-ms": target, "priority": 2,
			"service": service, "attempts": 1, "public": false, "sticky": service == modelService, "resumable": false, "target-gap-ms": 400,
		}
	}
	var list []any
	for _, t := range tenants {
		entry := map[string]any{"name": t.name, "api-keys": []string{t.key()}, "priority": 1}
		list = append(list, entry)
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-book", "/book/", "unsafe", plainService, 15000, 3000), route("r-check", "/check/", "stream", modelService, 4000, 1000),
		},
		"services": []any{
			map[string]any{"name": modelService, "health-path": "/healthz", "max-conns": 390, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv-capacity": 46549, "kv-token-bytes": 18432, "link-mbps": 280000.0, "max-inflight": 12, "models": []any{map[string]any{"name": modelName}},
			}},
			map[string]any{"name": plainService, "health-path": "/healthz", "max-conns": 390, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": maxBodyBytes, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": list,
	}
}

// maxBodyBytes is the limit of the pages' example of a desired state.
const maxBodyBytes = 4 << 20
