// Package service is a stand-in for a plain service whose calls must not be repeated. It counts executions, so that a
// checker can find a booking that ran twice.
package service

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/blake3"
)

// HeaderBookingID carries the booking id of a call that may not be repeated.
const HeaderBookingID = "Wasabishunt-Booking-Id"

const (
	// maxBodyBytes limits the body of a call.
	maxBodyBytes = 16 << 20
	// maxKeys limits each table of counts; calls with further keys are refused, because a checker needs every count.
	maxKeys = 1_000_000
)

// FaultSettings are set by POST /standin/faults; each call replaces all of them.
type FaultSettings struct {
	// DelayMs is the time that each execution takes, in milliseconds.
	DelayMs int64 `json:"delay_ms"`
	// CloseBefore is the number of next calls whose connections are closed before they execute.
	CloseBefore int `json:"close_before"`
	// CloseAfter is the number of next calls whose connections are closed after they executed, before the answer.
	CloseAfter int `json:"close_after"`
	// CrashAfter ends the process after the next execution, before the answer.
	CrashAfter bool `json:"crash_after"`
	// Refuse answers each call with status 503 before it executes.
	Refuse bool `json:"refuse"`
}

// Executions are the counts that checkers read at /standin/executions.
type Executions struct {
	// Total counts all executions.
	Total int64 `json:"total"`
	// ByBooking counts by booking id.
	ByBooking map[string]int `json:"by_booking"`
	// ByBody counts by the hash of method, path and body, see BodyHash.
	ByBody map[string]int `json:"by_body"`
}

// Answer is the body of a service's answer.
type Answer struct {
	BookingID string `json:"booking_id,omitempty"`
	BodyHash  string `json:"body_hash"`
	// Execution is the number of this execution in the whole service, from 1.
	Execution int64 `json:"execution"`
}

// Server is the service stand-in. mu guards faults and executions and is not held during I/O.
type Server struct {
	mux   *http.ServeMux
	crash func()

	mu         sync.Mutex
	faults     FaultSettings
	executions Executions
}

// New returns a service. crash ends the process; it is called while a call is in progress.
func New(crash func()) *Server {
	s := &Server{
		mux: http.NewServeMux(), crash: crash,
		executions: Executions{ByBooking: map[string]int{}, ByBody: map[string]int{}},
	}
	s.mux.HandleFunc("GET /standin/executions", s.handleExecutions)
	s.mux.HandleFunc("POST /standin/faults", s.handleFaults)
	s.mux.HandleFunc("/", s.handleCall)
	return s
}

// ServeHTTP answers calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the fault settings.
func (s *Server) SetFaults(faults FaultSettings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Executions returns a copy of the counts.
func (s *Server) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.executions
	e.ByBooking, e.ByBody = maps.Clone(e.ByBooking), maps.Clone(e.ByBody)
	return e
}

// BodyHash returns the key of a call in the counts by body.
func BodyHash(method, path string, body []byte) string {
	hasher := blake3.New()
	_, _ = hasher.WriteString(method + " " + path + "\x00")
	_, _ = hasher.Write(body)
	return hex.EncodeToString(hasher.Sum(nil)[:16])
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body is too large or truncated", http.StatusBadRequest)
		return
	}
	faults, closeBefore := s.consume(func(f *FaultSettings) *int { return &f.CloseBefore })
	if closeBefore {
		closeConnection(w)
		return
	}
	if faults.Refuse {
		http.Error(w, "service refuses all calls", http.StatusServiceUnavailable)
		return
	}
	answer, ok := s.execute(r, body)
	if !ok {
		http.Error(w, "tables of counts are full", http.StatusInsufficientStorage)
		return
	}
	s.delay(r, faults)
	s.reply(w, answer, faults)
}

// reply answers a call that was executed, unless a fault suppresses the answer.
func (s *Server) reply(w http.ResponseWriter, answer Answer, faults FaultSettings) {
	if faults.CrashAfter {
		s.crash()
	}
	if _, closeAfter := s.consume(func(f *FaultSettings) *int { return &f.CloseAfter }); closeAfter || faults.CrashAfter {
		closeConnection(w)
		return
	}
	writeJSON(w, answer)
}

// consume decrements one counter of the fault settings and returns them, with false if the counter was 0.
func (s *Server) consume(counter func(*FaultSettings) *int) (FaultSettings, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := counter(&s.faults)
	if *c <= 0 {
		return s.faults, false
	}
	*c--
	return s.faults, true
}

func (s *Server) execute(r *http.Request, body []byte) (Answer, bool) {
	hash, booking := BodyHash(r.Method, r.URL.Path, body), r.Header.Get(HeaderBookingID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.executions.ByBody) >= maxKeys || len(s.executions.ByBooking) >= maxKeys {
		return Answer{}, false
	}
	s.executions.Total++
	s.executions.ByBody[hash]++
	if booking != "" {
		s.executions.ByBooking[booking]++
	}
	return Answer{BookingID: booking, BodyHash: hash, Execution: s.executions.Total}, true
}

// delay waits after the execution, so that a call that its caller cancels has been executed.
func (s *Server) delay(r *http.Request, faults FaultSettings) {
	timer := time.NewTimer(time.Duration(faults.DelayMs) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (s *Server) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Executions())
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults FaultSettings
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
