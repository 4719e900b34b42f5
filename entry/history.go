package entry

import (
	"sync"
	"time"
)

// Record describes a past request. It holds neither the prompt nor the answer.
type Record struct {
	RequestID       string    `json:"request_id"`
	ClientRequestID string    `json:"client_request_id,omitempty"`
	Account         string    `json:"account"`
	Path            string    `json:"path"`
	Model           string    `json:"model,omitempty"`
	Service         string    `json:"service,omitempty"`
	Rank            string    `json:"rank,omitempty"`
	SetVersion      uint64    `json:"set_version"`
	Started         time.Time `json:"started"`
	DurationMs      int64     `json:"duration_ms"`
	Tokens          int64     `json:"tokens"`
	// Outcome is "ok" or the kind of the failure.
	Outcome   string   `json:"outcome"`
	Execution string   `json:"execution,omitempty"`
	Decisions []string `json:"decisions"`
}

// history is a ring buffer of the latest records.
type history struct {
	mu    sync.Mutex
	ring  []Record
	next  int
	index map[string]int
}

func newHistory(size int) *history {
	return &history{ring: make([]Record, size), index: make(map[string]int, size)}
}

func (h *history) add(record Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.index, h.ring[h.next].RequestID)
	h.ring[h.next] = record
	h.index[record.RequestID] = h.next
	h.next = (h.next + 1) % len(h.ring)
}

func (h *history) find(id string) (Record, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i, ok := h.index[id]
	if !ok {
		return Record{}, false
	}
	return h.ring[i], true
}
