package upstreamlimit

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/serving/coldstart"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

const (
	// coldReserve is the part of a permit that requests which leave a reserve must leave in the bucket: an urgent request then waits for at
	// most half of the time between two permits.
	coldReserve = 0.5
	// otherOwnerTime is how long the second owner is asked after the first one said that it is no owner.
	otherOwnerTime = 500 * time.Millisecond
)

// cold hands out and holds the permits for cold instances. These limits follow from the published set and not from answers, so they have
// buckets and permits of their own. Its owners are those of Grants.
type cold struct {
	bound   coldstart.Bound
	rates   map[float64]coldstart.Rates
	buckets map[uint32]*bucket
	// held has an entry for each cold instance to which this node wanted to send.
	held map[uint32]*permits
	// secondUntil is until when the second owner of an instance is asked first.
	secondUntil map[uint32]time.Time
}

func newCold() cold {
	return cold{rates: map[float64]coldstart.Rates{}, buckets: map[uint32]*bucket{}, held: map[uint32]*permits{}, secondUntil: map[uint32]time.Time{}}
}

// maxRates bounds the memory for the rates of limits that other nodes ask with.
const maxRates = 256

func (c *cold) ratesFor(perSecond float64) coldstart.Rates {
	rates, known := c.rates[perSecond]
	if !known {
		if len(c.rates) >= maxRates {
			clear(c.rates)
		}
		rates = coldstart.RatesFor(perSecond, c.bound)
		c.rates[perSecond] = rates
	}
	return rates
}

// role is the position of a node among the owners of an instance, by a list of nodes.
type role int

const (
	noOwner role = iota
	secondOwner
	firstOwner
)

func (o *owners) role(hash uint32, nodes []string) role {
	switch first, second := Owners(hash, nodes); o.self {
	case first:
		return firstOwner
	case second:
		return secondOwner
	}
	return noOwner
}

// coldRate returns the rate and the depth at which this node hands out permits for a cold instance, 0 if it is no owner. It is an owner only if
// it was one before the list of nodes changed: until then the others ask the owners of before, and each more of them adds to the sum. A node
// that has just started knows no list of before.
func (o *owners) coldRate(hash uint32, rates coldstart.Rates, now time.Time) (rate, depth float64) {
	current := o.role(hash, o.nodes)
	before := current
	if now.Sub(o.changedAt) < settleTime {
		before = o.role(hash, o.before)
	}
	switch {
	case current == noOwner || before == noOwner && o.before != nil:
		return 0, 0
	case before == noOwner || now.Sub(o.confirmedAt) > confirmTimeout || now.Sub(o.contactSince) < settleTime:
		return rates.Isolated, 1
	case current == firstOwner && before == firstOwner:
		return rates.Whole, rates.WholeDepth
	}
	return rates.Second, 1
}

// NextCold returns what to do for one request to a cold instance that accepts so many requests a second. A spare one leaves a reserve.
func (c *Core) NextCold(hash uint32, perSecond float64, spare bool, now time.Time) Step {
	p := c.cold.held[hash]
	if p == nil {
		p = &permits{}
		c.cold.held[hash] = p
	}
	p.record(now)
	return c.nextCold(p, hash, perSecond, spare, now)
}

func (c *Core) nextCold(p *permits, hash uint32, perSecond float64, spare bool, now time.Time) Step {
	if p.count > 0 && now.Before(p.until) {
		p.count--
		return Step{Send: true, Until: p.until}
	}
	p.count = 0
	if wait := p.coldWait(spare, now); wait > 0 {
		return Step{Wait: wait}
	}
	first, second := Owners(hash, c.grants.owners.nodes)
	if now.Before(c.cold.secondUntil[hash]) {
		first = ""
	}
	question := Question{Hash: hash, PerSecond: perSecond, Want: p.want(), Spare: spare, Cold: true}
	for _, owner := range []string{first, second} {
		if owner != "" && !now.Before(c.silentUntil[owner]) {
			p.askingUntil = now.Add(askTimeout)
			return Step{Owner: owner, Question: question}
		}
	}
	p.waitUntil = now.Add(refusedPause)
	return Step{Wait: refusedPause}
}

// nextColdAgain returns what to do for a request after an owner did not answer.
func (c *Core) nextColdAgain(q Question, now time.Time) Step {
	p := c.cold.held[q.Hash]
	if p == nil {
		return Step{Wait: minWait}
	}
	p.askingUntil = time.Time{}
	return c.nextCold(p, q.Hash, q.PerSecond, q.Spare, now)
}

// coldWait returns how long no owner is asked for a request to a cold instance.
func (p *permits) coldWait(spare bool, now time.Time) time.Duration {
	wait := p.wait(spare, now)
	if now.Before(p.askingUntil) {
		wait = max(wait, minWait)
	}
	return wait
}

// serveCold answers a question for permits for a cold instance. Ended means that this node is no owner.
func (c *Core) serveCold(q Question, now time.Time) Reply {
	rate, depth := c.grants.owners.coldRate(q.Hash, c.cold.ratesFor(q.PerSecond), now)
	if rate <= 0 {
		return Reply{Ended: true}
	}
	granted, wait := c.cold.grant(q, rate, depth, now)
	return Reply{Granted: granted, Wait: wait}
}

// grant hands out up to the wanted permits. A new bucket is empty: the owner before may have handed out all that the limit allows.
func (c *cold) grant(q Question, rate, depth float64, now time.Time) (granted int, wait time.Duration) {
	b := c.buckets[q.Hash]
	if b == nil {
		for hash, old := range c.buckets {
			if now.Sub(old.at) > grantMemory {
				delete(c.buckets, hash)
			}
		}
		b = &bucket{at: now}
		c.buckets[q.Hash] = b
	}
	// Time that passed under a higher rate counts with the lower one.
	b.tokens = math.Min(depth, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	reserve := 0.0
	if q.Spare && depth > 1 {
		reserve = coldReserve
	}
	if granted = int(math.Min(float64(q.Want), b.tokens-reserve)); granted > 0 {
		b.tokens -= float64(granted)
		return granted, 0
	}
	if q.Spare {
		missing := (1 + reserve - b.tokens) / rate
		return 0, max(minSpareWait, time.Duration(math.Min(missing, maxWait.Seconds())*float64(time.Second)))
	}
	return 0, b.turn(rate, now)
}

// repliedCold takes the reply of an owner to a question that was asked at asked.
func (c *Core) repliedCold(q Question, r Reply, asked, now time.Time) Step {
	p := c.cold.held[q.Hash]
	if p == nil {
		// Dropped meanwhile, because the instance is no longer listed.
		return Step{Wait: minWait}
	}
	p.askingUntil = time.Time{}
	if r.Ended {
		if now.Before(c.cold.secondUntil[q.Hash]) {
			p.waitUntil = now.Add(refusedPause)
			return Step{Wait: refusedPause}
		}
		c.cold.secondUntil[q.Hash] = now.Add(otherOwnerTime)
		return c.nextCold(p, q.Hash, q.PerSecond, q.Spare, now)
	}
	if r.Granted <= 0 {
		return p.deny(q.Spare, r.Wait, now)
	}
	return p.take(r.Granted, asked, now)
}

// ColdWait is how long a cold instance takes no requests from a node.
type ColdWait struct {
	// Urgent is the wait of requests that leave no reserve, Spare that of the others.
	Urgent, Spare time.Duration
}

// coldWaits returns the waits for cold instances, nil if there are none.
func (c *Core) coldWaits(now time.Time) map[uint32]ColdWait {
	var out map[uint32]ColdWait
	for hash, p := range c.cold.held {
		if p.count > 0 && now.Before(p.until) {
			continue
		}
		if wait := (ColdWait{Urgent: p.coldWait(false, now), Spare: p.coldWait(true, now)}); wait.Spare > 0 {
			if out == nil {
				out = map[uint32]ColdWait{}
			}
			out[hash] = wait
		}
	}
	return out
}

// retainCold drops what is held for instances that are not listed.
func (c *Core) retainCold(listed func(hash uint32) bool, now time.Time) {
	for hash, p := range c.cold.held {
		if !listed(hash) || now.Sub(p.wantedAt) > grantMemory {
			delete(c.cold.held, hash)
			delete(c.cold.secondUntil, hash)
		}
	}
}

// ColdPermit allows to send one request to a cold instance.
type ColdPermit struct{ until time.Time }

// IsValid reports whether a request with this permit may be sent now.
func (p ColdPermit) IsValid(now time.Time) bool { return now.Before(p.until) }

// SetColdBound sets the bound on the requests that reach a cold instance. It is called before the limiter is used.
func (l *Limiter) SetColdBound(bound coldstart.Bound) {
	l.mu.Lock()
	defer l.unlock()
	l.core.cold.bound = bound
}

// AcquireCold takes a permit to send a request to a cold instance that accepts so many requests a second. Without one it returns the time after
// which the instance may take a request, otherwise 0. It asks at most two nodes, each for askTimeout.
func (l *Limiter) AcquireCold(ctx context.Context, instance *upstreams.Instance, perSecond float64, spare bool, request string) (permit ColdPermit, wait time.Duration) {
	hash := instance.Key().Hash()
	l.mu.Lock()
	step := l.core.NextCold(hash, perSecond, spare, time.Now())
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
		l.counter("coldstart.permits").Inc(1)
		return ColdPermit{until: step.Until}, 0
	}
	wait = max(step.Wait, minWait)
	l.counter("coldstart.denied").Inc(1)
	l.options.Log.Info("cold instance leaves no permit", zap.String("request", request), zap.String("instance", instance.ID),
		zap.Float64("per_second", perSecond), zap.Duration("wait", wait), zap.String("owner", owner))
	return ColdPermit{}, wait
}

// ColdWaits returns how long cold instances take no requests from this node, by the hashes of their keys; nil if there are none.
func (l *Limiter) ColdWaits(now time.Time) map[uint32]ColdWait {
	if l.heldCold.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.unlock()
	return l.core.coldWaits(now)
}
