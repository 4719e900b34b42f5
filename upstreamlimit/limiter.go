package upstreamlimit

import (
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Options of a Limiter.
type Options struct {
	Log     *zap.Logger
	Metrics gometrics.Registry
}

// Limiter records the limits that instances name. Limiter.mu is a leaf lock: no other lock is acquired while it is held.
type Limiter struct {
	options Options

	mu      sync.Mutex
	notices Notices
	// malformed holds the instances whose limit could not be read, which is logged once.
	malformed map[uint32]bool
}

// New returns a Limiter that knows of no limit.
func New(options Options) *Limiter {
	return &Limiter{options: options, malformed: map[uint32]bool{}}
}

// Named records that an instance named a limit in the answer to a request.
func (l *Limiter) Named(instance *upstreams.Instance, perSecond float64, request string, now time.Time) {
	l.mu.Lock()
	change := l.notices.Name(instance.Key().Hash(), perSecond, now, now)
	l.mu.Unlock()
	if change != Unchanged {
		l.counter("upstreamlimit.changes").Inc(1)
		l.options.Log.Info("instance names a limit", zap.String("instance", instance.ID), zap.Float64("per_second", perSecond), zap.String("request", request))
	}
}

// NotNamed records that an instance named no limit in the answer to a request that was sent at sentAt.
func (l *Limiter) NotNamed(instance *upstreams.Instance, sentAt time.Time, request string, now time.Time) {
	l.mu.Lock()
	change := l.notices.Clear(instance.Key().Hash(), sentAt, now)
	l.mu.Unlock()
	if change == Ended {
		l.counter("upstreamlimit.changes").Inc(1)
		l.options.Log.Info("instance names no limit any more", zap.String("instance", instance.ID), zap.String("request", request))
	}
}

// maxMalformed bounds the instances of which a limit that cannot be read is logged.
const maxMalformed = 1024

// Malformed records that an instance named something that is no limit.
func (l *Limiter) Malformed(instance *upstreams.Instance, request string) {
	hash := instance.Key().Hash()
	l.mu.Lock()
	logged := l.malformed[hash] || len(l.malformed) >= maxMalformed
	if !logged {
		l.malformed[hash] = true
	}
	l.mu.Unlock()
	l.counter("upstreamlimit.malformed").Inc(1)
	if !logged {
		l.options.Log.Warn("limit of an instance cannot be read", zap.String("instance", instance.ID), zap.String("request", request))
	}
}

func (l *Limiter) counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, l.options.Metrics)
}
