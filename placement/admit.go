package placement

import (
	"sync"
	"time"
)

// Requirements holds the time limits of a request and the queue limits of its route.
type Requirements struct {
	// Target is the time to the first event within which an answer has its full value.
	Target time.Duration
	// TimeLeft is the time until the request must have its answer.
	TimeLeft time.Duration
	// Short is set for prompts that engines read before the others of their priority.
	Short  bool
	Limits QueueLimits
	// Factor multiplies the limits on the wait; 0 means 1. It is below 1 for an account that uses more than its share of a
	// service that is short of capacity. See package fairshare.
	Factor float64
}

const (
	// targetShare is the part of the target that queued work may use up: estimates are too low when queues grow.
	targetShare = 0.9
	// timeLeftShare is the part of the time left that a short prompt may use up.
	timeLeftShare = 0.8
	// minRetryAfter and maxRetryShare bound the Retry-After of a refused request: callers wait for a third of their
	// time at most.
	minRetryAfter = 200 * time.Millisecond
	maxRetryShare = 0.3
)

// Admit decides whether a request may join the queue of the picked engine, which has the shortest queue.
//
// A flood beyond what engines can read fills their queues until every answer is late, while they do the same work as
// with short queues. A request that would get its first event after its target is therefore refused at once, with the
// time after which the queue has room; admitted requests are on time.
//
// All prompts of a route share one limit on the wait, which is low enough for the large ones: with a limit for each
// size, a flood of mixed sizes would hold the queue at a length at which only small prompts are admitted. MaxQueue
// keeps prompts with a late target from filling the queue up to it while prompts with an earlier target wait behind.
//
// A prompt whose shared parts the engine holds already takes little of it, so it may join a longer queue: in a flood that fills
// the engines' memory, more prompts are served than if the first ones to arrive took it.
//
// The wait includes the wait for memory: an engine with more requests than memory preempts running ones and reads them
// again, and does not recover while new ones take their place.
func Admit(requirements Requirements, f Forecast) (admitted bool, retryAfter time.Duration) {
	timeLeft := requirements.TimeLeft
	requirements.applyFactor()
	var excess time.Duration
	if requirements.Short || requirements.Target == 0 {
		excess = f.FirstEvent() - time.Duration(timeLeftShare*float64(requirements.TimeLeft))
	} else {
		excess = f.Wait + requirements.Limits.LargeService - time.Duration(targetShare*float64(requirements.Target))
		if requirements.Limits.MaxQueue > 0 {
			excess = max(excess, f.Queue-f.Reused-requirements.Limits.MaxQueue)
		}
	}
	if excess <= 0 {
		return true, 0
	}
	return false, BoundRetryAfter(excess, timeLeft)
}

// BoundRetryAfter returns the advice for a refused request after whose wait there is room.
func BoundRetryAfter(wait, timeLeft time.Duration) time.Duration {
	return min(time.Duration(maxRetryShare*float64(timeLeft)), max(minRetryAfter, wait))
}

// applyFactor scales the limits on the wait. A short prompt, which may be late otherwise, has to be on time if its account is above its
// share: prompts of other accounts could be on time in its place.
func (r *Requirements) applyFactor() {
	if r.Factor == 0 || r.Factor == 1 {
		return
	}
	scale := func(limit time.Duration) time.Duration { return time.Duration(r.Factor * float64(limit)) }
	r.Target, r.Limits.MaxQueue = scale(r.Target), scale(r.Limits.MaxQueue)
	if r.Short && r.Factor < 1 && r.Target > 0 {
		r.TimeLeft = min(r.TimeLeft, time.Duration(float64(r.Target)/timeLeftShare))
	}
}

// QueueLimits limits the length of a queue, so that other prompts can still be served on time.
type QueueLimits struct {
	// LargeService is the service time of the large prompts of the route.
	LargeService time.Duration
	// MaxQueue is the longest queue at which the large prompts of each route of the service are on time; 0 (no limit)
	// for a route whose prompts are mostly not long: engines read those before the others of their priority.
	MaxQueue time.Duration
}

const (
	// largeQuantile is the share of a route's prompts that are not large.
	largeQuantile = 0.9
	// quantileStep is the relative change of the learned time by one prompt.
	quantileStep = 0.03
	// minLargeService keeps the learned time from getting stuck at 0, since steps are relative to it.
	minLargeService = 5 * time.Millisecond
	// longShareWeight is the weight of one prompt in the moving share of long ones.
	longShareWeight = 0.05
	// longRouteShare is the share of long prompts from which a route counts as one of long prompts.
	longRouteShare = 0.5
	// routeTimeout is how long a route counts after its last prompt.
	routeTimeout = 10 * time.Second
)

// QueueLimitEstimator learns the service time of the large prompts of each route. Its mu is a leaf lock: no other lock
// is acquired while it is held.
type QueueLimitEstimator struct {
	mu       sync.Mutex
	services map[string]map[string]*routeEstimate
}

type routeEstimate struct {
	largeService, target time.Duration
	longShare            float64
	observedAt           time.Time
}

// NewQueueLimitEstimator returns an estimator without observations.
func NewQueueLimitEstimator() *QueueLimitEstimator {
	return &QueueLimitEstimator{services: map[string]map[string]*routeEstimate{}}
}

// Observe records the service time of one prompt of a route and returns the limits that apply to the route. Each
// prompt moves the estimated quantile of the service times by a step.
func (r *QueueLimitEstimator) Observe(service, route string, u Urgency, target, serviceTime time.Duration, now time.Time) QueueLimits {
	r.mu.Lock()
	defer r.mu.Unlock()
	routes := r.services[service]
	if routes == nil {
		routes = map[string]*routeEstimate{}
		r.services[service] = routes
	}
	estimate := routes[route]
	if estimate == nil {
		estimate = &routeEstimate{largeService: serviceTime, longShare: longRouteShare}
		routes[route] = estimate
	}
	estimate.longShare *= 1 - longShareWeight
	if u.isLong() {
		estimate.longShare += longShareWeight
	}
	estimate.target, estimate.observedAt = target, now
	step := quantileStep * float64(max(estimate.largeService, minLargeService))
	if serviceTime > estimate.largeService {
		estimate.largeService += time.Duration(largeQuantile * step)
	} else {
		estimate.largeService -= time.Duration((1 - largeQuantile) * step)
	}
	limits := QueueLimits{LargeService: estimate.largeService, MaxQueue: estimate.maxQueue()}
	for name, other := range routes {
		if now.Sub(other.observedAt) > routeTimeout {
			delete(routes, name)
		} else if other.target > 0 {
			limits.MaxQueue = min(limits.MaxQueue, other.maxQueue())
		}
	}
	if estimate.longShare < longRouteShare {
		limits.MaxQueue = 0
	}
	return limits
}

// maxQueue is the longest queue at which the large prompts of the route are on time.
func (r *routeEstimate) maxQueue() time.Duration {
	return max(time.Millisecond, time.Duration(targetShare*float64(r.target))-r.largeService)
}
