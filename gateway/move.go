package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// mover prepares the move of a repeatable send from a silent instance to another one. A send is aborted only once a connection to
// the other instance is open and the retry budget allows it: the silent instance may be sound, and this node may be the one that
// is slow or cut off.
type mover struct {
	call *call
	// ctx ends with the send.
	ctx     context.Context
	exclude map[string]bool

	mu sync.Mutex
	// busy is set while a move is prepared.
	busy   bool
	target *moveTarget
}

// moveTarget is an instance that takes over a send, with an open connection to it.
type moveTarget struct {
	chosen *choice
	conn   *upstreamconn.Conn
}

// newMover returns the mover of a send to an instance.
func (c *call) newMover(ctx context.Context, from *upstreams.Instance) *mover {
	exclude := maps.Clone(c.exclude)
	exclude[from.ID] = true
	return &mover{call: c, ctx: ctx, exclude: exclude}
}

// reserve prepares a move and reports whether the send may be aborted. Once the connection is open, isSilent is asked again, and the
// other instance must still take requests.
func (m *mover) reserve(isSilent func() bool) bool {
	if !m.begin() {
		return false
	}
	target := m.connect()
	if target != nil && !m.mayMove(target, isSilent) {
		target.conn.PutBack()
		target = nil
	}
	return m.finish(target)
}

// mayMove reports whether the send may move to a target. Another node may be asked for a permit, which takes a while, so what comes before is checked
// again afterwards.
func (m *mover) mayMove(target *moveTarget, isSilent func() bool) bool {
	c, instance := m.call, target.chosen.instance
	isDue := func() bool {
		return isSilent() && c.takesRequests(instance) && !c.isEvacuated(instance) && !c.isOutdated(target.chosen)
	}
	return isDue() && c.acquirePermit(m.ctx, target.chosen) == 0 && isDue() && c.gateway.options.Budget.TakeRepeat(c.service.Name)
}

// begin reports whether a move may be prepared now.
func (m *mover) begin() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy || m.target != nil || m.ctx.Err() != nil {
		return false
	}
	m.busy = true
	return true
}

// finish ends the preparation and reports whether there is a target.
func (m *mover) finish(target *moveTarget) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy = false
	if target != nil && m.ctx.Err() != nil {
		target.conn.PutBack()
		return false
	}
	m.target = target
	return target != nil
}

// connect opens a connection to another instance, nil if there is none that can be reached.
func (m *mover) connect() *moveTarget {
	c, o := m.call, m.call.gateway.options
	chosen, _ := c.choose(m.exclude)
	if chosen == nil {
		return nil
	}
	conn, err := o.Pool.Get(m.ctx, c.attributes.ID, chosen.instance.Address, c.connectionLimit(), true)
	if err != nil {
		c.recordUnreachable(m.ctx, chosen.instance, err)
		return nil
	}
	c.recordColdConnection(chosen.instance, conn)
	return &moveTarget{chosen: chosen, conn: conn}
}

// ended reports whether the send has ended.
func (m *mover) ended() bool { return m.ctx.Err() != nil }

// recordUnreachable records that no connection to an instance could be opened.
func (c *call) recordUnreachable(ctx context.Context, instance *upstreams.Instance, err error) {
	if !failure.Is(err, failure.Overloaded) && ctx.Err() == nil {
		c.gateway.options.Tracker.Begin(instance, placement.Work{}).End(connectOutcome(err), time.Now())
		c.recordRestartSign(instance, err)
	}
}

// takeMove returns the prepared move of the last send, nil if there is none. That send has ended.
func (c *call) takeMove() *moveTarget {
	if c.mover == nil {
		return nil
	}
	c.mover.mu.Lock()
	defer c.mover.mu.Unlock()
	target := c.mover.target
	c.mover.target = nil
	c.moved = c.moved || target != nil
	return target
}

// movedRetryPause is the time until a moved stream looks for an instance again.
const movedRetryPause = 100 * time.Millisecond

// retryMoved reports whether to look for an instance again, after a pause: this node ended a send whose stream had begun, and its
// instance might have gone on. Other streams end here, so that their callers can turn to another node.
func (c *call) retryMoved(ctx context.Context) bool {
	if !c.moved || !c.answered {
		return false
	}
	clear(c.exclude)
	clock.Sleep(ctx, movedRetryPause)
	return true
}

// dropMove releases the connection of a move that is not made.
func (c *call) dropMove() {
	c.takeMove().release()
}

// release gives the connection of a move that is not made back to the pool.
func (t *moveTarget) release() {
	if t != nil {
		t.conn.PutBack()
	}
}

const (
	// attemptTimeoutFactor is multiplied by the route's first-byte target to get the time without an answer after which a
	// repeatable request goes to another upstream.
	attemptTimeoutFactor = 2.5
	// minAttemptTimeout is the lower bound of that time.
	minAttemptTimeout = 700 * time.Millisecond
)

func (c *call) attemptTimeout() time.Duration {
	return max(minAttemptTimeout, time.Duration(attemptTimeoutFactor*float64(c.route.FirstByteTarget)))
}

// attemptTimeout moves a repeatable send that has not been answered in time.
type attemptTimeout struct {
	limit    time.Duration
	mover    *mover
	isSilent func() bool
	abort    func()
	timer    *time.Timer
}

func newAttemptTimeout(limit time.Duration, mover *mover, isSilent func() bool, abort func()) *attemptTimeout {
	w := &attemptTimeout{limit: limit, mover: mover, isSilent: isSilent, abort: abort}
	// expire reads w.timer, so that is set before the timer runs.
	w.timer = time.AfterFunc(time.Hour, w.expire)
	w.timer.Reset(limit)
	return w
}

func (w *attemptTimeout) expire() {
	switch {
	case w.mover.ended() || !w.isSilent():
	case w.mover.reserve(w.isSilent):
		w.abort()
	default:
		w.timer.Reset(w.limit)
	}
}

// watchSilence starts the timers that move a repeatable send; cancel ends the send.
func (s *send) watchSilence(cancel context.CancelFunc) {
	c := s.call
	s.mover = c.newMover(s.attemptCtx, s.instance)
	c.mover = s.mover
	s.unresponsive = newUnresponsiveTimeout(s.attempt, s.mover, func() {
		c.gateway.options.Log.Info("request leaves an unresponsive instance", zap.String("request", c.attributes.ID),
			zap.String("instance", s.instance.ID), zap.Duration("after", time.Since(c.started)))
		cancel()
	})
	began := s.unresponsive.progressAt.Load()
	s.attemptTimeout = newAttemptTimeout(c.attemptTimeout(), s.mover, func() bool { return s.unresponsive.progressAt.Load() == began }, cancel)
}

func (s *send) stopWatching() {
	s.attemptTimeout.timer.Stop()
	s.unresponsive.timer.Stop()
}
