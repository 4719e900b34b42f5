package gateway

import (
	"sync/atomic"
	"time"

	"github.com/wasabishunt/wasabishunt/placement"
)

// unresponsiveSilence is how long a send to an unresponsive instance must have been silent before it moves: several times
// the gap between two events of a busy engine.
const unresponsiveSilence = 300 * time.Millisecond

// unresponsiveTimeout ends a repeatable send once its instance is known not to respond: other connections to the instance time
// out, as this node or several others found, and nothing has arrived on this one for a while either. Neither alone is enough:
// a stream on a slow instance goes on, and so does one that still delivers events.
type unresponsiveTimeout struct {
	isUnresponsive func() bool
	mover          *mover
	abort          func()
	timer          *time.Timer
	// progressAt is when something last arrived from the instance.
	progressAt atomic.Pointer[time.Time]
}

func newUnresponsiveTimeout(attempt *placement.Attempt, mover *mover, abort func()) *unresponsiveTimeout {
	w := &unresponsiveTimeout{isUnresponsive: attempt.IsUnresponsive, mover: mover, abort: abort}
	w.recordProgress()
	// The timer runs only once the instance is found unresponsive.
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Stop()
	attempt.NotifyUnresponsive(func() { w.timer.Reset(w.remaining()) })
	return w
}

func (w *unresponsiveTimeout) recordProgress() {
	now := time.Now()
	w.progressAt.Store(&now)
}

// remaining returns the time until the send has been silent for long enough.
func (w *unresponsiveTimeout) remaining() time.Duration {
	return max(0, unresponsiveSilence-time.Since(*w.progressAt.Load()))
}

func (w *unresponsiveTimeout) check() {
	if !w.isUnresponsive() {
		return
	}
	if remaining := w.remaining(); remaining > 0 {
		w.timer.Reset(remaining)
		return
	}
	if w.mover.reserve(func() bool { return w.isUnresponsive() && w.remaining() == 0 }) {
		w.abort()
	}
}
