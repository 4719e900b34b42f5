package upstreamlimit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Options of a Limiter.
type Options struct {
	// Self is the address at which other nodes ask this one.
	Self string
	// Ask sends a question to another node.
	Ask func(ctx context.Context, address string, q *nodepb.PermitRequest) (*nodepb.PermitReply, error)
	// ColdPerSecond returns what a cold instance accepts by the set of this node, 0 if that is not known; nil if no set has such limits.
	ColdPerSecond func(hash uint32) float64
	Log           *zap.Logger
	Metrics       gometrics.Registry
}

// Limiter keeps the limits that instances name. Limiter.mu is a leaf lock: no other lock is acquired while it is held.
type Limiter struct {
	options Options

	mu   sync.Mutex
	core *Core
	// malformed holds the instances whose limit could not be read, which is logged once.
	malformed map[uint32]bool

	// known is the number of instances that name a limit or have named one lately. Without any, requests take no lock.
	known atomic.Int64
	// heldCold is the number of cold instances to which this node wanted to send.
	heldCold atomic.Int64
}

const (
	// askTimeout is a few round trips between availability zones, and below the eighth of a target for which holding a request costs its
	// caller nothing.
	askTimeout = 50 * time.Millisecond
	// newsTime is how long other nodes are told of a change: a lost datagram is made up for.
	newsTime = time.Second
	// maxNews bounds the changes in one datagram.
	maxNews = 96
	// maxMalformed bounds the instances of which a limit that cannot be read is logged.
	maxMalformed = 1024
)

// New returns a Limiter that knows of no limit.
func New(options Options) *Limiter {
	return &Limiter{options: options, core: NewCore(options.Self), malformed: map[uint32]bool{}}
}

// unlock releases mu after a use of core.
func (l *Limiter) unlock() {
	l.known.Store(int64(len(l.core.notices.byHash)))
	l.heldCold.Store(int64(len(l.core.cold.held)))
	l.mu.Unlock()
}

// Named records that an instance named a limit in the answer to a request that was sent at sentAt.
func (l *Limiter) Named(instance *upstreams.Instance, perSecond float64, sentAt time.Time, request string, now time.Time) {
	l.mu.Lock()
	change := l.core.Named(instance.Key().Hash(), perSecond, sentAt, now)
	l.unlock()
	if change != Unchanged {
		l.counter("upstreamlimit.changes").Inc(1)
		l.options.Log.Info("instance names a limit", zap.String("instance", instance.ID), zap.Float64("per_second", perSecond), zap.String("request", request))
	}
}

// NotNamed records that an instance named no limit in the answer to a request that was sent at sentAt.
func (l *Limiter) NotNamed(instance *upstreams.Instance, sentAt time.Time, request string, now time.Time) {
	if l.Idle() {
		return
	}
	l.mu.Lock()
	change := l.core.NotNamed(instance.Key().Hash(), sentAt, now)
	l.unlock()
	if change == Ended {
		l.counter("upstreamlimit.changes").Inc(1)
		l.options.Log.Info("instance names no limit any more", zap.String("instance", instance.ID), zap.String("request", request))
	}
}

// Malformed records that an instance named something that is no limit.
func (l *Limiter) Malformed(instance *upstreams.Instance, request string) {
	hash := instance.Key().Hash()
	l.mu.Lock()
	logged := l.malformed[hash] || len(l.malformed) >= maxMalformed
	if !logged {
		l.malformed[hash] = true
	}
	l.unlock()
	l.counter("upstreamlimit.malformed").Inc(1)
	if !logged {
		l.options.Log.Warn("limit of an instance cannot be read", zap.String("instance", instance.ID), zap.String("request", request))
	}
}

// Idle reports whether no instance names a limit or has named one lately.
func (l *Limiter) Idle() bool { return l.known.Load() == 0 }

// Permit allows to send one request to an instance that had a limit, or had none, when it was acquired.
type Permit struct{ until time.Time }

// MaySend reports whether a request with this permit may be sent now. The permit may have expired since it was acquired, and a limit may have begun.
func (l *Limiter) MaySend(instance *upstreams.Instance, permit Permit, now time.Time) bool {
	if l.Idle() {
		return true
	}
	l.mu.Lock()
	defer l.unlock()
	return l.core.MaySend(instance.Key().Hash(), permit.until, now)
}

// Acquire takes a permit to send a request to an instance. Without one it returns the time after which the instance may take a request, otherwise 0.
// A spare request leaves a reserve of permits to more urgent ones. It asks at most two nodes, each for askTimeout.
func (l *Limiter) Acquire(ctx context.Context, instance *upstreams.Instance, spare bool, request string) (permit Permit, wait time.Duration) {
	if l.Idle() {
		return Permit{}, 0
	}
	hash := instance.Key().Hash()
	l.mu.Lock()
	step := l.core.Next(hash, spare, time.Now())
	l.unlock()
	owner := ""
	for range 2 {
		if step.Owner == "" || ctx.Err() != nil {
			break
		}
		owner = step.Owner
		step = l.ask(ctx, step)
	}
	if step.Send {
		return Permit{until: step.Until}, 0
	}
	// An owner that is still to be asked counts as one without an answer.
	wait = max(step.Wait, minWait)
	l.counter("upstreamlimit.denied").Inc(1)
	l.options.Log.Info("limit of an instance leaves no permit", zap.String("request", request), zap.String("instance", instance.ID),
		zap.Float64("per_second", l.perSecond(hash)), zap.Duration("wait", wait), zap.String("owner", owner))
	return Permit{}, wait
}

func (l *Limiter) perSecond(hash uint32) float64 {
	l.mu.Lock()
	defer l.unlock()
	perSecond, _ := l.core.notices.Of(hash)
	return perSecond
}

// ask asks an owner and returns what to do then.
func (l *Limiter) ask(ctx context.Context, step Step) Step {
	q, asked := step.Question, time.Now()
	if step.Owner == l.options.Self {
		l.mu.Lock()
		defer l.unlock()
		return l.core.Replied(q, l.core.Serve(q, asked), asked, asked)
	}
	askCtx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := l.options.Ask(askCtx, step.Owner, encodeQuestion(q))
	l.mu.Lock()
	defer l.unlock()
	if err != nil {
		l.counter("upstreamlimit.unanswered").Inc(1)
		l.options.Log.Debug("owner of a limit did not answer", zap.String("owner", step.Owner), zap.Error(err))
		if ctx.Err() == nil {
			l.core.Failed(step.Owner, time.Now())
		}
		if q.Cold {
			return l.core.nextColdAgain(q, time.Now())
		}
		return l.core.Next(q.Hash, q.Spare, time.Now())
	}
	return l.core.Replied(q, decodeReply(reply), asked, time.Now())
}

// Serve answers the question of another node.
func (l *Limiter) Serve(request *nodepb.PermitRequest) (*nodepb.PermitReply, error) {
	q, err := decodeQuestion(request)
	if err != nil {
		return nil, err
	}
	if q.Cold && l.options.ColdPerSecond != nil {
		// The asking node may have another version of the set.
		if own := l.options.ColdPerSecond(q.Hash); own > 0 {
			q.PerSecond = own
		}
	}
	l.mu.Lock()
	defer l.unlock()
	return encodeReply(l.core.Serve(q, time.Now())), nil
}

// Waits returns how long the instances take no requests, spare ones or others, from this node, by the hashes of their keys; nil if there are none.
func (l *Limiter) Waits(spare bool, now time.Time) map[uint32]time.Duration {
	if l.Idle() {
		return nil
	}
	l.mu.Lock()
	defer l.unlock()
	return l.core.Waits(spare, now)
}

// SetNodes replaces the list of the addresses of all nodes.
func (l *Limiter) SetNodes(nodes []string, now time.Time) {
	l.mu.Lock()
	defer l.unlock()
	l.core.SetNodes(nodes, now)
}

// Confirm records that this node is in contact with the leader, and drops what is known of instances that are not listed.
func (l *Limiter) Confirm(view *upstreams.View, now time.Time) {
	l.mu.Lock()
	defer l.unlock()
	l.core.Confirm(now)
	l.core.Retain(func(hash uint32) bool { return view.ByHash(hash) != nil }, now)
}

// News returns the changes that other nodes are told.
func (l *Limiter) News(now time.Time) []*nodepb.InstanceLimit {
	l.mu.Lock()
	defer l.unlock()
	var out []*nodepb.InstanceLimit
	for hash, notice := range l.core.News(newsTime, now) {
		if len(out) == maxNews {
			break
		}
		out = append(out, encodeNotice(hash, notice, now))
	}
	return out
}

// Apply takes what another node or zone tells.
func (l *Limiter) Apply(source string, news []*nodepb.InstanceLimit, now time.Time) {
	for _, n := range news[:min(len(news), maxNews)] {
		l.apply(source, n, now)
	}
}

func (l *Limiter) apply(source string, n *nodepb.InstanceLimit, now time.Time) {
	at := now.Add(-decodeAge(n.GetAgeMs()))
	l.mu.Lock()
	change := Unchanged
	switch {
	case n.GetEnded():
		change = l.core.NotNamed(n.GetInstance(), at, now)
	case Usable(n.GetPerSecond()):
		change = l.core.Told(n.GetInstance(), n.GetPerSecond(), at, now)
	}
	l.unlock()
	if change != Unchanged {
		l.counter("upstreamlimit.changes").Inc(1)
		l.options.Log.Info("limit by word of another node", zap.String("node", source), zap.Uint32("instance_hash", n.GetInstance()),
			zap.Float64("per_second", n.GetPerSecond()), zap.Bool("ended", n.GetEnded()), zap.Uint32("age_ms", n.GetAgeMs()))
	}
}

func (l *Limiter) counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, l.options.Metrics)
}
