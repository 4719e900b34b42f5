package upstreamlimit

import (
	"time"

	"github.com/wasabishunt/wasabishunt/serving/coldstart"
)

const (
	// permitValidity is how long a permit may be used: the requests of one second reach the instance in little more than that.
	permitValidity = coldstart.PermitValidity
	// askAhead is the time for whose requests a node asks at once.
	askAhead = 100 * time.Millisecond
	// maxWant bounds the permits of one question.
	maxWant = 64
	// ownerPause is how long an owner that did not answer is not asked.
	ownerPause = time.Second
	// refusedPause is the wait for an instance none of whose owners answers.
	refusedPause = 500 * time.Millisecond
	// minWait is the shortest wait: about the time that a question takes.
	minWait = 5 * time.Millisecond
)

// Question asks an owner for permits. It carries what the asking node knows of the limit.
type Question struct {
	Hash      uint32
	PerSecond float64
	// Age is the time since Notice.At.
	Age  time.Duration
	Want int
	// Spare is set if the permits are for requests that leave a reserve to more urgent ones.
	Spare bool
	// Cold is set for permits for a cold instance, whose limit follows from the published set; Age is not used then.
	Cold bool
}

// Reply is the answer of an owner.
type Reply struct {
	Granted int
	Wait    time.Duration
	// Ended is set if the limit has ended since the asking node heard of it, EndedAge ago.
	Ended    bool
	EndedAge time.Duration
}

// Step is what a node has to do for a request to an instance: send it, ask Owner, or do without the instance for Wait.
type Step struct {
	Send bool
	// Until is when a permit to send expires; zero if none was needed.
	Until    time.Time
	Owner    string
	Question Question
	Wait     time.Duration
}

// permits are those that a node holds for one instance, and what it knows of the next ones.
type permits struct {
	count int
	until time.Time
	// wanted is the number of requests in the last askAhead, smoothed, and wantedAt the time of the last one.
	wanted   float64
	wantedAt time.Time
	// waitUntil is when an owner is asked again, spareUntil when it is asked again for requests that leave a reserve.
	waitUntil, spareUntil time.Time
	// askingUntil is until when the reply to a question for a cold instance may arrive. Meanwhile no other one is asked: each would get a turn
	// of its own, and the last one would count.
	askingUntil time.Time
}

// wait returns how long no owner is asked for a request.
func (p *permits) wait(spare bool, now time.Time) time.Duration {
	until := p.waitUntil
	if spare {
		until = later(until, p.spareUntil)
	}
	return max(0, until.Sub(now))
}

// Core decides for one node. It has neither a clock nor sockets.
type Core struct {
	notices Notices
	grants  Grants
	cold    cold
	// held has an entry for each instance with a limit to which this node wanted to send.
	held map[uint32]*permits
	// silentUntil is until when an owner is not asked.
	silentUntil map[string]time.Time
}

// NewCore returns the core of a node.
func NewCore(self string) *Core {
	return &Core{
		grants: Grants{owners: owners{self: self}}, cold: newCold(), held: map[uint32]*permits{}, silentUntil: map[string]time.Time{},
	}
}

// SetNodes replaces the list of all nodes. Until it is called, nothing is sent to an instance with a limit.
func (c *Core) SetNodes(nodes []string, now time.Time) { c.grants.owners.set(nodes, now) }

// Confirm records that this node is in contact with the leader, who keeps the list.
func (c *Core) Confirm(now time.Time) { c.grants.owners.confirm(now) }

// Retain drops what is known of instances that are not listed.
func (c *Core) Retain(listed func(hash uint32) bool, now time.Time) {
	c.notices.Retain(listed, now)
	c.retainCold(listed, now)
	for hash := range c.held {
		if _, limited := c.notices.Of(hash); !limited {
			delete(c.held, hash)
		}
	}
}

// News returns the instances whose limit began, changed or ended within a time.
func (c *Core) News(within time.Duration, now time.Time) map[uint32]Notice {
	var news map[uint32]Notice
	for hash, notice := range c.notices.byHash {
		if now.Sub(notice.ChangedAt) <= within {
			if news == nil {
				news = map[uint32]Notice{}
			}
			news[hash] = notice
		}
	}
	return news
}

// Named records that an instance named a limit in an answer that arrived now, to a request that was sent at sentAt.
func (c *Core) Named(hash uint32, perSecond float64, sentAt, now time.Time) Change {
	return c.notices.Name(hash, perSecond, sentAt, now, now)
}

// Told records that another node knows of a limit since at.
func (c *Core) Told(hash uint32, perSecond float64, at, now time.Time) Change {
	return c.notices.Name(hash, perSecond, at, at, now)
}

// NotNamed records that an instance named no limit in the answer to a request that was sent at sentAt.
func (c *Core) NotNamed(hash uint32, sentAt, now time.Time) Change {
	change := c.notices.Clear(hash, sentAt, now)
	if change == Ended {
		delete(c.held, hash)
	}
	return change
}

// Next returns what to do for one request to an instance. A spare one leaves a reserve of permits to more urgent ones.
func (c *Core) Next(hash uint32, spare bool, now time.Time) Step {
	perSecond, limited := c.notices.Of(hash)
	if !limited {
		return Step{Send: true}
	}
	p := c.held[hash]
	if p == nil {
		p = &permits{}
		c.held[hash] = p
	}
	p.record(now)
	if p.count > 0 && now.Before(p.until) {
		p.count--
		return Step{Send: true, Until: p.until}
	}
	p.count = 0
	if wait := p.wait(spare, now); wait > 0 {
		return Step{Wait: wait}
	}
	if c.grants.owners.nodes == nil {
		p.waitUntil = now.Add(refusedPause)
		return Step{Wait: refusedPause}
	}
	notice, _ := c.notices.Known(hash)
	question := Question{Hash: hash, PerSecond: perSecond, Age: now.Sub(notice.At), Want: p.want(), Spare: spare}
	first, second := Owners(hash, c.grants.owners.nodes)
	for _, owner := range []string{first, second} {
		if owner != "" && !now.Before(c.silentUntil[owner]) {
			return Step{Owner: owner, Question: question}
		}
	}
	p.waitUntil = now.Add(refusedPause)
	return Step{Wait: refusedPause}
}

// MaySend reports whether a request with a permit until this time may be sent to an instance now.
func (c *Core) MaySend(hash uint32, until, now time.Time) bool {
	_, limited := c.notices.Of(hash)
	return !limited || now.Before(until)
}

// record counts a request.
func (p *permits) record(now time.Time) {
	elapsed := now.Sub(p.wantedAt)
	p.wanted = p.wanted*max(0, 1-float64(elapsed)/float64(askAhead)) + 1
	p.wantedAt = now
}

func (p *permits) want() int { return max(1, min(maxWant, int(p.wanted))) }

// Serve answers a question as an owner.
func (c *Core) Serve(q Question, now time.Time) Reply {
	if q.Cold {
		return c.serveCold(q, now)
	}
	c.Told(q.Hash, q.PerSecond, now.Add(-q.Age), now)
	notice, _ := c.notices.Known(q.Hash)
	if !notice.Limited {
		return Reply{Ended: true, EndedAge: now.Sub(notice.At)}
	}
	granted, wait := c.grants.Grant(q.Hash, notice.PerSecond, q.Want, q.Spare, now)
	return Reply{Granted: granted, Wait: wait}
}

// Replied takes the reply of an owner to a question that was asked at asked, and returns what to do for the request.
func (c *Core) Replied(q Question, r Reply, asked, now time.Time) Step {
	if q.Cold {
		return c.repliedCold(q, r, asked, now)
	}
	if r.Ended {
		// EndedAge was measured between asked and now. A limit may have begun meanwhile.
		c.NotNamed(q.Hash, asked.Add(-r.EndedAge), now)
		if _, limited := c.notices.Of(q.Hash); !limited {
			return Step{Send: true}
		}
	}
	p := c.held[q.Hash]
	if p == nil {
		// The limit has ended meanwhile.
		return Step{Send: true}
	}
	if r.Granted > 0 {
		return p.take(r.Granted, asked, now)
	}
	return p.deny(q.Spare, r.Wait, now)
}

// take takes permits that were asked for at asked, and uses one of them.
func (p *permits) take(granted int, asked, now time.Time) Step {
	until := asked.Add(permitValidity)
	if !now.Before(until) {
		p.waitUntil = now
		return Step{Wait: minWait}
	}
	if p.count > 0 && p.until.Before(until) {
		// Permits of an earlier reply keep their end.
		until = p.until
	}
	p.count, p.until = p.count+granted-1, until
	return Step{Send: true, Until: asked.Add(permitValidity)}
}

// deny records that an owner granted nothing.
func (p *permits) deny(spare bool, wait time.Duration, now time.Time) Step {
	wait = max(minWait, min(maxWait, wait))
	if spare {
		p.spareUntil = now.Add(wait)
	} else {
		p.waitUntil = now.Add(wait)
	}
	return Step{Wait: wait}
}

// Waits returns how long the instances take no requests, spare ones or others, from this node, nil if there are none.
func (c *Core) Waits(spare bool, now time.Time) map[uint32]time.Duration {
	return waits(c.held, spare, now)
}

func waits(held map[uint32]*permits, spare bool, now time.Time) map[uint32]time.Duration {
	var waits map[uint32]time.Duration
	for hash, p := range held {
		if left := p.wait(spare, now); left > 0 && (p.count == 0 || !now.Before(p.until)) {
			if waits == nil {
				waits = map[uint32]time.Duration{}
			}
			waits[hash] = left
		}
	}
	return waits
}

// Failed records that an owner did not answer.
func (c *Core) Failed(owner string, now time.Time) {
	for name, until := range c.silentUntil {
		if !now.Before(until) {
			delete(c.silentUntil, name)
		}
	}
	c.silentUntil[owner] = now.Add(ownerPause)
}
