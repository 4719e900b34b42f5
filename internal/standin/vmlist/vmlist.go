// Package vmlist is a stand-in for the platform's list of live and leaving VMs, which lags behind the real state.
package vmlist

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

// States of a VM.
const (
	Live    = "live"
	Leaving = "leaving"
)

// VM is one entry of the list.
type VM struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	State   string `json:"state"`
	// Version is the version of the list in which the entry last changed.
	Version uint64 `json:"version"`
}

// List is the answer to GET /vms.
type List struct {
	// Version rises with each change.
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Change is the body of POST /standin/vms. An empty state removes the VM.
type Change struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	State   string `json:"state"`
}

const (
	maxBodyBytes = 1 << 20
	// maxHistory limits the list versions that are kept in order to answer with a lag.
	maxHistory = 1024
	maxVMs     = 100_000
)

type listVersion struct {
	list      List
	changedAt time.Time
}

// Server serves the list with a lag: readers get the list as it was that long ago. mu guards all fields below it.
type Server struct {
	mux *http.ServeMux
	now func() time.Time

	mu      sync.Mutex
	lag     time.Duration
	current map[string]VM
	// history is in order of time; the first entry is the oldest list that readers can get.
	history []listVersion
}

// New returns a server with an empty list and a lag. now returns the current time.
func New(lag time.Duration, now func() time.Time) *Server {
	s := &Server{mux: http.NewServeMux(), now: now, lag: lag, current: map[string]VM{}}
	s.history = []listVersion{{List{VMs: []VM{}}, time.Time{}}}
	s.mux.HandleFunc("GET /vms", s.handleList)
	s.mux.HandleFunc("POST /standin/vms", s.handleChange)
	s.mux.HandleFunc("POST /standin/lag", s.handleLag)
	return s
}

// ServeHTTP answers reads and changes.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetLag sets the age of the list that readers get.
func (s *Server) SetLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// Apply makes one change. It returns false if the list is full.
func (s *Server) Apply(change Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.history[len(s.history)-1].list.Version + 1
	switch _, known := s.current[change.VM]; {
	case change.State == "":
		delete(s.current, change.VM)
	case !known && len(s.current) >= maxVMs:
		return false
	default:
		s.current[change.VM] = VM{VM: change.VM, Address: change.Address, State: change.State, Version: next}
	}
	list := List{Version: next, VMs: slices.SortedFunc(maps.Values(s.current), func(a, b VM) int { return cmp.Compare(a.VM, b.VM) })}
	s.history = append(s.history, listVersion{list, s.now()})
	if len(s.history) > maxHistory {
		s.history = slices.Delete(s.history, 0, 1)
	}
	return true
}

// Visible returns the list that readers get now.
func (s *Server) Visible() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.now().Add(-s.lag)
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].changedAt.After(limit) {
			return s.history[i].list
		}
	}
	return s.history[0].list
}

func (s *Server) handleList(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Visible()) }

func (s *Server) handleChange(w http.ResponseWriter, r *http.Request) {
	var change Change
	if !readJSON(w, r, &change) {
		return
	}
	if change.VM == "" || !slices.Contains([]string{"", Live, Leaving}, change.State) {
		http.Error(w, "vm must be set and state be live, leaving or empty", http.StatusBadRequest)
		return
	}
	if !s.Apply(change) {
		http.Error(w, "list is full", http.StatusInsufficientStorage)
		return
	}
	writeJSON(w, struct{}{})
}

func (s *Server) handleLag(w http.ResponseWriter, r *http.Request) {
	var body struct {
		LagMs int64 `json:"lag_ms"`
	}
	if readJSON(w, r, &body) {
		s.SetLag(time.Duration(body.LagMs) * time.Millisecond)
		writeJSON(w, body)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
