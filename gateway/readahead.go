package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabishunt/wasabishunt/bytebudget"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/supervise"
)

const (
	// slowWriteDelay is how long a write to the caller takes before the node reads the stream on without it. It is several times the pause of
	// a busy process, and far below the time after which engines cut off an answer that is not read.
	slowWriteDelay = 50 * time.Millisecond
	// slowCheckInterval is how long after a write the timer looks for a slow one, so that it is not set for each event.
	slowCheckInterval = 200 * time.Millisecond
	// maxAheadBytes bounds what is held for one caller. It is many times a reply of a few hundred events.
	maxAheadBytes = 1 << 20
	// maxUnreadTime is how long the engine's stream stays unread if these bytes are used up. Engines cut off an answer that remains unread for
	// some seconds.
	maxUnreadTime = 2 * time.Second
	// partOverhead is what a part costs besides its bytes.
	partOverhead = 128
)

// streamPart is the outcome of one read of a stream.
type streamPart struct {
	// events are complete events, and lastID is the newest id so far.
	events []byte
	lastID string
	// err is the error of the read, io.EOF at the end of the stream.
	err error
	// broken is set if the bytes are no continuation of the stream.
	broken error
	// rest is what follows the last complete event if err is set.
	rest []byte
	// finished is set if the engine was released when its stream ended.
	finished bool
}

func (p *streamPart) size() int64 { return int64(cap(p.events)) + partOverhead }

// States of a readAhead.
const (
	// stateRelay means that the relay reads the stream.
	stateRelay int32 = iota
	// stateWriting means that the relay writes to the caller, and nothing reads the stream.
	stateWriting
	// stateAhead means that a goroutine reads the stream ahead.
	stateAhead
)

// readAhead reads the stream of a send. The relay itself reads it, unless a write to the caller takes long. Then a goroutine reads it into
// memory until the caller has taken all of that, so that the engine never waits for the caller.
type readAhead struct {
	send     *send
	splitter eventSplitter
	stall    *stallTimeout
	gaps     *gapMeter
	buffer   []byte
	state    atomic.Int32
	// writeSince is when the last write began. armed is set while timer runs.
	writeSince atomic.Pointer[time.Time]
	armed      atomic.Bool
	timer      *time.Timer

	// memory is set by the first run of the goroutine. It is used without mu, because others that need room call cut.
	memory *bytebudget.Reclaimable

	mu sync.Mutex
	// changed is signaled after each change of the fields below and at the end of the goroutine.
	changed *sync.Cond
	parts   []streamPart
	bytes   int64
	// waiting is set while the relay waits for a part.
	waiting bool
	// cutFor is why the caller's connection is ended: "memory" or "time".
	cutFor string
	closed bool
}

func newReadAhead(s *send) *readAhead {
	c := s.call
	a := &readAhead{
		send: s, splitter: eventSplitter{limit: c.gateway.options.EventBytes, memory: c.memory}, stall: s.newStallTimeout(),
		gaps:   newGapMeter(s.attempt, time.Now()),
		buffer: make([]byte, streamBuffer),
	}
	a.changed = sync.NewCond(&a.mu)
	a.timer = time.AfterFunc(time.Hour, a.run)
	a.timer.Stop()
	return a
}

// read reads the stream once.
func (a *readAhead) read() streamPart {
	s := a.send
	n, err := s.exchange.Response.Body.Read(a.buffer)
	events, broken := a.splitter.add(a.buffer[:n])
	if broken == nil {
		broken = s.checkFirstEvents(events)
	}
	if len(events) > 0 && broken == nil {
		a.stall.stop()
		a.gaps.arrived(time.Now())
		if s.unresponsive != nil {
			s.unresponsive.recordProgress()
		}
	}
	part := streamPart{events: events, lastID: a.splitter.lastID, err: err, broken: broken}
	if err != nil {
		part.rest = a.splitter.rest()
	}
	return part
}

// beginWrite is called before a write to the caller.
func (a *readAhead) beginWrite() {
	now := time.Now()
	a.writeSince.Store(&now)
	if a.state.CompareAndSwap(stateRelay, stateWriting) {
		a.arm(slowCheckInterval)
	}
}

// arm starts the timer unless it runs.
func (a *readAhead) arm(delay time.Duration) {
	if a.armed.CompareAndSwap(false, true) {
		a.timer.Reset(delay)
	}
}

// endWrite is called after it.
func (a *readAhead) endWrite() {
	if a.state.CompareAndSwap(stateWriting, stateRelay) {
		a.gaps.written(time.Now())
		a.stall.reset()
	}
}

// next returns the next part of the stream.
func (a *readAhead) next() streamPart {
	part, ok := a.take()
	if !ok {
		return a.read()
	}
	if part.broken != nil {
		return part
	}
	a.memory.Shrink(part.size())
	if a.send.ctx.Err() != nil && !part.finished {
		// The caller has left, or its time is over.
		return streamPart{err: a.send.ctx.Err()}
	}
	return part
}

// take waits for a part while the stream is read ahead. It returns false if the relay reads the stream.
func (a *readAhead) take() (part streamPart, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for len(a.parts) == 0 && a.cutFor == "" && a.state.Load() == stateAhead {
		a.waiting = true
		a.changed.Wait()
	}
	a.waiting = false
	if a.cutFor != "" {
		return streamPart{broken: errTooSlow}, true
	}
	if len(a.parts) == 0 {
		return streamPart{}, false
	}
	part = a.parts[0]
	a.parts[0] = streamPart{}
	a.parts = a.parts[1:]
	a.bytes -= part.size()
	a.changed.Broadcast()
	return part, true
}

// run reads the stream ahead if a write takes long.
func (a *readAhead) run() {
	// A write that begins from here on starts the timer itself.
	a.armed.Store(false)
	if a.state.Load() != stateWriting {
		return
	}
	if left := slowWriteDelay - time.Since(*a.writeSince.Load()); left > 0 {
		a.arm(left)
		return
	}
	if !a.state.CompareAndSwap(stateWriting, stateAhead) {
		return
	}
	c := a.send.call
	c.gateway.metrics.readAhead.Inc(1)
	if a.memory == nil {
		a.memory = c.gateway.options.Memory.Reclaimable(c.memoryOwner(), func() { a.cut(cutForMemory) })
	}
	a.stall.reset()
	handedBack := false
	if panicked := supervise.Call(c.gateway.options.Log, "read ahead", func() { handedBack = a.readOn() }); panicked != nil {
		a.put(streamPart{broken: panicked})
	}
	if handedBack {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.Store(stateRelay)
	a.changed.Broadcast()
}

// readOn reads the stream until it ends, or until the relay reads it again, which it reports.
func (a *readAhead) readOn() (handedBack bool) {
	for a.awaitRoom() {
		part := a.read()
		if len(part.events) == 0 && part.err == nil && part.broken == nil {
			continue
		}
		if !a.memory.Grow(part.size()) {
			a.cut(cutForMemory)
			return false
		}
		if part.err != nil || part.broken != nil {
			a.stall.stop()
			a.finishExchange(&part)
			a.put(part)
			return false
		}
		a.stall.reset()
		if a.put(part) {
			return true
		}
	}
	return false
}

// awaitRoom waits until fewer than maxAheadBytes are held, and reports whether to read on.
func (a *readAhead) awaitRoom() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bytes >= maxAheadBytes {
		a.stall.stop()
		timer := time.AfterFunc(maxUnreadTime, func() { a.cut(cutForTime) })
		defer timer.Stop()
		for a.bytes >= maxAheadBytes && a.cutFor == "" && !a.closed {
			a.changed.Wait()
		}
		a.stall.reset()
	}
	return a.cutFor == "" && !a.closed
}

// put adds a part. If the relay waits for it, the caller has caught up: the relay then reads the stream itself again, and put returns true.
func (a *readAhead) put(part streamPart) (handedBack bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cutFor != "" || a.closed {
		return false
	}
	a.parts = append(a.parts, part)
	a.bytes += part.size()
	a.changed.Broadcast()
	if !a.waiting || part.err != nil || part.broken != nil {
		return false
	}
	// The timer starts again after the write of the part.
	a.stall.stop()
	a.state.Store(stateRelay)
	return true
}

// finishExchange releases the engine if its stream has ended and is complete: the caller may need much longer.
func (a *readAhead) finishExchange(part *streamPart) {
	s := a.send
	if part.broken != nil || !errors.Is(part.err, io.EOF) || len(bytes.TrimSpace(part.rest)) > 0 {
		return
	}
	if s.endedByCrash() {
		part.err = errCutOff
		return
	}
	s.endAnswer()
	part.finished = true
}

// Reasons for which a slow caller's connection is ended.
const (
	cutForMemory = "memory"
	cutForTime   = "time"
)

// errTooSlow is the error of a call whose caller reads so slowly that its connection is ended.
var errTooSlow = failure.New(failure.Canceled, failure.Ran, "the caller reads too slowly")

// cut drops what is held for the caller and ends its connection. A write in progress fails.
func (a *readAhead) cut(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.cutFor != "" {
		return
	}
	a.cutFor = reason
	a.parts, a.bytes = nil, 0
	a.send.call.endSlowCaller(reason)
	a.send.exchange.Abort()
	a.changed.Broadcast()
}

// endSlowCaller makes writes to the caller fail, also one in progress.
func (c *call) endSlowCaller(reason string) {
	c.slow.CompareAndSwap(nil, &reason)
	// The deadline is set after the mark: write sets its own one before it looks at the mark.
	_ = http.NewResponseController(c.writer).SetWriteDeadline(time.Unix(1, 0))
}

// close ends the goroutine and releases what is held. The connection of the caller may carry another request afterwards.
func (a *readAhead) close() {
	a.timer.Stop()
	a.mu.Lock()
	a.closed = true
	a.changed.Broadcast()
	if a.state.Load() == stateAhead {
		a.send.exchange.Abort()
	}
	for a.state.Load() == stateAhead {
		a.changed.Wait()
	}
	a.mu.Unlock()
	a.stall.stop()
	if a.memory != nil {
		a.memory.Close()
	}
}
