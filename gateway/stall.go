package gateway

import (
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/upstreams"
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
	// reserveMove prepares the move to another engine and reports whether it is possible; abort ends the send.
	reserveMove func() bool
	abort       func()
	timer       *time.Timer
	expired     atomic.Bool
}

func (s *send) newStallTimeout() *stallTimeout {
	w := &stallTimeout{reserveMove: func() bool { return s.call.reserveMove(s.instance) }, abort: s.exchange.Abort}
	if s.repeatable {
		w.limit = max(minStallTimeout, stallTimeoutFactor*s.call.route.EventGapTarget)
		// The timer runs only between events. It is assigned before its first start, because expire reads it.
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
	if !w.reserveMove() {
		w.timer.Reset(w.limit)
		return
	}
	w.expired.Store(true)
	w.abort()
}

func (w *stallTimeout) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// reserveMove reports whether another instance can take the request. If so, it takes a retry from the budget.
func (c *call) reserveMove(from *upstreams.Instance) bool {
	o := c.gateway.options
	other := lo.SomeBy(o.Directory.View().OfService(c.service.Name), func(i *upstreams.Instance) bool {
		return i.ID != from.ID && c.takesRequests(i)
	})
	if !other || !o.Budget.TakeRepeat(c.service.Name) {
		return false
	}
	c.retryReserved.Store(true)
	return true
}
