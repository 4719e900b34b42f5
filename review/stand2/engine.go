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

const (
	modelName = "daka510000"
	// readTokensPerMs and minReadTime give the time in which an engine reads what it has not kept of a prompt.
	readTokensPerMs = 56.9
	minReadTime     = 13 * time.Millisecond
	eventGap        = 5 * time.Millisecond
	streamEvents    = 8
	// backAfter is the time from a crash to the next start of an engine.
	backAfter = 2 * time.Second
	// listLag is how old the instance list is.
	listLag = 800 * time.Millisecond
)

// engine is a stand-in for one model engine. Each start is a new incarnation with a new id.
type engine struct {
	system  *system
	name    string
	zone    string
	address string

	mu       sync.Mutex
	starts   int
	id       string
	born     int64
	version  uint64
	server   *http.Server
	sequence int64
	// readUntil is when the engine has read the prompts that it has, and kept the parts that it has read or will have by then.
	readUntil time.Time
	kept      map[string]bool
	// entries are the entries of the instance list, the newest last.
	entries []listedEntry
}

// listedEntry is what the instance list says of an engine from a time on.
type listedEntry struct {
	from  time.Time
	entry map[string]any
}

func (e *engine) start() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.id, e.born, e.sequence = fmt.Sprintf("i-%s-%d", e.name, e.starts), time.Now().UnixMilli(), 0
	e.server, e.readUntil, e.kept = &http.Server{Handler: e}, time.Time{}, map[string]bool{}
	entry := map[string]any{
		"id": e.id, "service": serviceModel, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready",
		"stage": "both", "models": []any{map[string]any{"name": modelName, "version": e.version, "adapters": []any{}}}, "born": e.born,
		"cold-left-ms": 0,
	}
	e.entries = append(e.entries, listedEntry{time.Now().Add(listLag), entry})
	go func(server *http.Server) { _ = server.Serve(listener) }(e.server)
	return nil
}

// listed returns the engine's entry of the instance list, nil if there is none.
func (e *engine) listed(now time.Time) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	var entry map[string]any
	for _, l := range e.entries {
		if !l.from.After(now) {
			entry = l.entry
		}
	}
	return entry
}

// crash ends the engine's connections and its listener. It starts again after backAfter.
func (e *engine) crash(id string) {
	e.mu.Lock()
	server := e.server
	if e.id != id || server == nil {
		e.mu.Unlock()
		return
	}
	e.server = nil
	e.mu.Unlock()
	_ = server.Close()
	e.system.recordCrash(id)
	time.AfterFunc(backAfter, func() {
		if err := e.start(); err != nil {
			e.system.record.note("engine %s does not start again: %v", e.name, err)
		}
	})
}

func (e *engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		_ = e.server.Close()
	}
}

func (e *engine) current() (id string, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id, e.version
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, version := e.current()
	request := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", request)
	w.Header().Set("Weight-Versions", strconv.FormatUint(version, 10))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if expected := r.Header.Get("Expect-Version"); expected != "" && expected != strconv.FormatUint(version, 10) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/report" {
		e.report(w)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.system.recordArrival(request, id)
	wait(r, e.read(r.Header.Get("Prefix-Hash")))
	e.system.recordRun(request, id)
	if e.system.isDeadly(r.Header.Get("Prefix-Hash")) {
		e.crash(id)
		panic(http.ErrAbortHandler)
	}
	e.stream(w, r, request, id)
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Signature", "sig-"+request)
	w.Header().Set("Server-Load", "1,0,64")
	control := http.NewResponseController(w)
	for n := 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, request); err != nil || control.Flush() != nil {
			return
		}
		wait(r, eventGap)
	}
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": modelName, "version": e.version, "adapters": []any{}}}, "busy": false, "seq": e.sequence,
		"waiting": 0, "running": 0, "kv-used": 0, "kv-total": 50000, "handles": 0, "born": e.born,
	})
}

// read returns how long it takes until a prompt is read. Prompts are read one after the other, without the leading parts that are kept.
func (e *engine) read(prefix string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := 0
	for _, field := range strings.Split(prefix, ",") {
		id, size, _ := strings.Cut(field, ":")
		if tokens == 0 && e.kept[id] {
			continue
		}
		n, _ := strconv.Atoi(size)
		tokens += n
		e.kept[id] = true
	}
	now := time.Now()
	if e.readUntil.Before(now) {
		e.readUntil = now
	}
	e.readUntil = e.readUntil.Add(time.Duration(float64(tokens) / readTokensPerMs * float64(time.Millisecond)))
	return minReadTime + e.readUntil.Sub(now)
}

// wait waits for a time. It ends the answer if the node has left or the engine has crashed.
func wait(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// hasPart reports whether a Prefix-Hash header names a part.
func hasPart(header, part string) bool {
	for _, field := range strings.Split(header, ",") {
		if id, _, _ := strings.Cut(field, ":"); id == part {
			return true
		}
	}
	return false
}
