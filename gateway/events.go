package gateway

import "bytes"

// eventSplitter finds whole events in the bytes of an event stream.
type eventSplitter struct {
	pending []byte
	// lastID is the id of the newest whole event.
	lastID string
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// add takes bytes and returns the whole events among all that are pending. The result is valid until the next call.
func (e *eventSplitter) add(data []byte) []byte {
	e.pending = append(e.pending, data...)
	end := bytes.LastIndex(e.pending, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := append([]byte(nil), e.pending[:end]...)
	e.pending = append(e.pending[:0], e.pending[end:]...)
	if id := newestID(whole); id != "" {
		e.lastID = id
	}
	return whole
}

// rest returns the bytes after the last whole event.
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
