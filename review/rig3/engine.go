package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that an engine began to work on.
type run struct {
	id, engine, node string
	at               time.Time
}

// engine is a stand-in for one engine. It keeps its address over its incarnations.
type engine struct {
	r       *rig
	service string
	zone    string
	address string
	model   bool

	mu       sync.Mutex
	id       string
	born     int64
	starts   int
	version  uint64
	sequence int64
	fence    uint64
	listener net.Listener
	conns    map[net.Conn]struct{}
	up       bool
}

const (
	modelName    = "m1"
	streamEvents = 8
	eventGap     = 20 * time.Millisecond
	prefillTime  = 250 * time.Millisecond
	plainWork    = 40 * time.Millisecond
	engineSlots  = 64
)

func newEngine(r *rig, service, zone, address string, model bool) (*engine, error) {
	e := &engine{r: r, service: service, zone: zone, address: address, model: model, version: 1, conns: map[net.Conn]struct{}{}}
	return e, e.start()
}

// start begins a new incarnation.
func (e *engine) start() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.starts++
	e.id, e.born = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(e.address, ":", "-"), e.starts), time.Now().UnixMilli()
	e.sequence, e.fence, e.up, e.listener = 0, 0, true, listener
	e.mu.Unlock()
	server := &http.Server{Handler: e, ConnState: e.trackConn}
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (e *engine) trackConn(conn net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, conn)
	}
}

// crash ends the incarnation as the kernel ends a killed process, and starts the next one after a while. It reports whether the engine was up.
func (e *engine) crash(down time.Duration) bool {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return false
	}
	e.up = false
	listener := e.listener
	conns := e.conns
	e.conns = map[net.Conn]struct{}{}
	e.mu.Unlock()
	_ = listener.Close()
	for conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	time.AfterFunc(down, func() {
		if err := e.start(); err != nil {
			e.r.log("stand-in: engine %s does not start again: %v", e.address, err)
		}
	})
	return true
}

// entry returns the engine's entry in the list, and false while the engine is down.
func (e *engine) entry() (map[string]any, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := map[string]any{
		"id": e.id, "service": e.service, "address": e.address, "zone": e.zone, "state": "ready", "slots": engineSlots, "version": "v1",
		"cold-left-ms": 0, "born": e.born,
	}
	if e.model {
		entry["stage"], entry["models"] = "both", e.models()
	}
	return entry, e.up
}

func (e *engine) models() []any {
	return []any{map[string]any{"name": modelName, "version": e.version, "adapters": []any{}}}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	id, version := e.id, e.version
	e.mu.Unlock()
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != id {
		notRun(w, q, http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/report":
		e.report(w)
		return
	case "/order":
		e.order(w, q)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	if expected := q.Header.Get("Expect-Version"); expected != "" && expected != strconv.FormatUint(version, 10) {
		notRun(w, q, http.StatusMisdirectedRequest)
		return
	}
	if h := e.r.onRequest; h != nil && h(e, w, q) {
		return
	}
	e.answer(w, q)
}

func notRun(w http.ResponseWriter, q *http.Request, status int) {
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

func pause(q *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-q.Context().Done():
		return false
	}
}

// answer runs a request.
func (e *engine) answer(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Signature", "sig-"+id)
	w.Header().Set("Server-Load", fmt.Sprintf("1,0,%d", engineSlots))
	if !e.model {
		if pause(q, plainWork) {
			_, _ = io.WriteString(w, "answer to "+id)
		}
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	from, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	if !pause(q, prefillTime) {
		return
	}
	control := http.NewResponseController(w)
	for n := from + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s token %d\n\n", n, id, n); err != nil || control.Flush() != nil {
			return
		}
		if !pause(q, eventGap) {
			return
		}
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": e.models(), "busy": false, "seq": e.sequence, "waiting": 0, "running": 1, "kv-used": 0, "kv-total": 50000, "handles": 0,
	})
}

func (e *engine) order(w http.ResponseWriter, q *http.Request) {
	var order struct {
		Version      uint64 `json:"version"`
		Holder       string `json:"holder"`
		Fence        uint64 `json:"fence"`
		Precondition int64  `json:"precondition"`
	}
	if json.NewDecoder(q.Body).Decode(&order) != nil || order.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case order.Fence < e.fence:
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	case order.Precondition != e.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.fence = order.Fence
	e.sequence++
	e.version = max(e.version, order.Version)
	w.WriteHeader(http.StatusAccepted)
}
