package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// stallTimeoutFactor is multiplied by the route's event-gap target to get the time without a complete event after which a
	// stream moves to another engine. A run that its engine preempts pauses for a shorter time.
	stallTimeoutFactor = 4
	// minStallTimeout is the lower bound of that time.
	minStallTimeout = 1200 * time.Millisecond
)

// stallTimeout aborts a send whose stream has begun and no longer delivers complete events: the engine has failed, or sends
// single bytes only. It does so only if the stream can continue at another engine, because a slow stream is better than a
// broken one.
type stallTimeout struct {
	limit time.Duration
	mover *mover
	abort func()
	timer *time.Timer
	// stops counts the calls of stop.
	stops   atomic.Int64
	expired atomic.Bool
}

func (s *send) newStallTimeout() *stallTimeout {
	w := &stallTimeout{mover: s.mover, abort: s.exchange.Abort}
	if s.repeatable {
		w.limit = max(minStallTimeout, stallTimeoutFactor*s.call.route.EventGapTarget)
		// expire reads w.timer, so that is set before the timer runs.
		w.timer = time.AfterFunc(time.Hour, w.expire)
		w.timer.Stop()
	}
	return w
}

// reset restarts the timer for the next event.
func (w *stallTimeout) reset() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

func (w *stallTimeout) expire() {
	stops := w.stops.Load()
	isSilent := func() bool { return w.stops.Load() == stops }
	switch {
	case w.mover.reserve(isSilent):
		w.expired.Store(true)
		w.abort()
	case isSilent() && !w.mover.ended():
		w.timer.Reset(w.limit)
	}
}

func (w *stallTimeout) stop() {
	w.stops.Add(1)
	if w.timer != nil {
		w.timer.Stop()
	}
}
