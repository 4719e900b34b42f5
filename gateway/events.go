package gateway

import (
	"bytes"

	"github.com/wasabishunt/wasabishunt/bytebudget"
	"github.com/wasabishunt/wasabishunt/failure"
)

// eventSplitter splits the bytes of an event stream into complete events.
type eventSplitter struct {
	// limit bounds the pending bytes, so that an event without end cannot exhaust memory; 0 means no limit.
	limit int
	// memory is charged for pending bytes; nil means no charge. charged is how many were.
	memory  *bytebudget.Holder
	charged int
	pending []byte
	// lastID is the id of the newest complete event.
	lastID string
}

// freeEventBytes is the size up to which pending bytes are not charged; most events are smaller.
const freeEventBytes = 8 << 10

// eventEnds are the line ends that terminate an event.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// maxSeparator is the length of the longest of eventEnds.
const maxSeparator = 3

var idField = []byte("id:")

// add appends data and returns the complete events among all pending bytes.
func (e *eventSplitter) add(data []byte) ([]byte, error) {
	// The bytes that were pending before hold no separator. Searching all of them for each read would cost the square of an event's length.
	from := max(0, len(e.pending)-(maxSeparator-1))
	e.pending = append(e.pending, data...)
	end := 0
	for _, separator := range eventEnds {
		if at := bytes.LastIndex(e.pending[from:], separator); at >= 0 {
			end = max(end, from+at+len(separator))
		}
	}
	if e.limit > 0 && len(e.pending)-end > e.limit {
		return nil, failure.New(failure.UpstreamFailed, failure.Ran, "event exceeds the limit of %d bytes", e.limit)
	}
	if e.memory != nil && len(e.pending) > max(e.charged, freeEventBytes) {
		if !e.memory.Grow(int64(2*len(e.pending) - e.charged)) {
			return nil, bytebudget.ErrExhausted
		}
		e.charged = 2 * len(e.pending)
	}
	if end == 0 {
		return nil, nil
	}
	complete := append([]byte(nil), e.pending[:end]...)
	e.pending = append(e.pending[:0], e.pending[end:]...)
	if id := newestID(complete); id != "" {
		e.lastID = id
	}
	return complete, nil
}

// rest returns the bytes after the last complete event.
func (e *eventSplitter) rest() []byte { return e.pending }

// newestID returns the id of the last event that has one.
func newestID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}
