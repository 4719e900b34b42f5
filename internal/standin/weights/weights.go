// Package weights is a stand-in for the platform's weight store: HTTP GET under a rate limit.
package weights

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/upstream/weightstore"
)

// Settings are the settings of the weight store stand-in.
type Settings struct {
	// Bytes is the size of each weight version; default 8,000,000.
	Bytes int64
	// StreamBytesPerSecond limits one transfer; default 10,000,000, so that a version takes 0.8 s.
	StreamBytesPerSecond float64
	// TotalBytesPerSecond limits all transfers; default 20,000,000, so that a third transfer slows the others.
	TotalBytesPerSecond float64
	// MaxTransfers is the number of transfers at once; more are answered with status 429. Default 4.
	MaxTransfers int
	// RetryAfter is the wait that a refusal states in Retry-After; default 500 ms.
	RetryAfter time.Duration
	// TimeScale multiplies rates and divides times; default 1.
	TimeScale float64
}

func (s Settings) withDefaults() Settings {
	defaults.Set(&s.Bytes, 8_000_000)
	defaults.Set(&s.StreamBytesPerSecond, 10_000_000)
	defaults.Set(&s.TotalBytesPerSecond, 20_000_000)
	defaults.Set(&s.MaxTransfers, 4)
	defaults.Set(&s.RetryAfter, 500*time.Millisecond)
	defaults.Set(&s.TimeScale, 1)
	return s
}

// blockBytes is the size of one write; it is small compared with the bytes that the rate limits allow in one second.
const blockBytes = 64 << 10

// Stats are read by checkers at /standin/stats.
type Stats struct {
	Running int `json:"running"`
	// Peak is the largest number of transfers at once.
	Peak     int   `json:"peak"`
	Finished int64 `json:"finished"`
	Refused  int64 `json:"refused"`
}

// Server is the weight store stand-in.
type Server struct {
	settings     Settings
	totalLimiter *rate.Limiter
	mux          *http.ServeMux

	mu    sync.Mutex
	stats Stats
}

// New returns a weight store.
func New(settings Settings) *Server {
	settings = settings.withDefaults()
	s := &Server{settings: settings, totalLimiter: limiter(settings.TotalBytesPerSecond * settings.TimeScale), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET "+weightstore.PathWeights+"{version...}", s.handleGet)
	s.mux.HandleFunc("GET /standin/stats", s.handleStats)
	return s
}

func limiter(bytesPerSecond float64) *rate.Limiter {
	l := rate.NewLimiter(rate.Limit(bytesPerSecond), blockBytes)
	l.AllowN(time.Now(), blockBytes) // Use up the initial burst.
	return l
}

// ServeHTTP answers reads of weights.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Stats())
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	if !s.beginTransfer() {
		s.refuse(w)
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(s.settings.Bytes, 10))
	s.endTransfer(s.write(r.Context(), w))
}

func (s *Server) refuse(w http.ResponseWriter) {
	wait := time.Duration(float64(s.settings.RetryAfter) / s.settings.TimeScale)
	seconds := int64((wait + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	w.Header().Set(weightstore.HeaderRetryAfterMs, strconv.FormatInt(max(wait.Milliseconds(), 1), 10))
	w.WriteHeader(http.StatusTooManyRequests)
}

func (s *Server) beginTransfer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stats.Running >= s.settings.MaxTransfers {
		s.stats.Refused++
		return false
	}
	s.stats.Running++
	s.stats.Peak = max(s.stats.Peak, s.stats.Running)
	return true
}

func (s *Server) endTransfer(finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running--
	if finished {
		s.stats.Finished++
	}
}

// write sends the weights under both limits and reports whether all of them were sent.
func (s *Server) write(ctx context.Context, w http.ResponseWriter) bool {
	stream := limiter(s.settings.StreamBytesPerSecond * s.settings.TimeScale)
	block := make([]byte, blockBytes)
	for remaining := s.settings.Bytes; remaining > 0; {
		n := int(min(remaining, blockBytes))
		if stream.WaitN(ctx, n) != nil || s.totalLimiter.WaitN(ctx, n) != nil {
			return false
		}
		if _, err := w.Write(block[:n]); err != nil {
			return false
		}
		remaining -= int64(n)
	}
	return true
}
