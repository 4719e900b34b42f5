// Package fairshare measures the upstream time that client accounts use and derives how long their requests may wait while a service
// is short of capacity. It has no clock and no sockets: time is an argument.
package fairshare

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// halfLife is the time after which recent upstream time counts half. A request for a long prompt takes up to 3 s, so a shorter
	// half-life would forget requests that still run.
	halfLife = 3 * time.Second
	// shortageShare is the part of its target that a request is expected to wait from which the service is short of capacity.
	shortageShare = 0.3
	// shortageTime is how long a service counts as short after the last such request: queues at engines vary within some hundred
	// milliseconds.
	shortageTime = 2 * time.Second
	// refreshInterval is the shortest time between two computations of the equal share. Reports of other nodes are 0.1 to 0.3 s old.
	refreshInterval = 100 * time.Millisecond
	// refreshPerAccount makes the interval longer with many accounts, which bounds the computation to a few thousandths of a core.
	refreshPerAccount = 50 * time.Microsecond
	// tolerance is the excess over the equal share that changes nothing: sums of other nodes are some percent too low or too high.
	tolerance = 1.1
	// minFactor and maxFactor bound the factor. A lower minFactor refuses urgent short prompts of a flooding account, which cost the engines
	// little. At maxFactor a request uses up its whole target; see placement.Admit.
	minFactor, maxFactor = 0.5, 1.1
	// floorShare is the served fraction of an account, relative to that of all requests, below which it is not limited any more. The
	// required floor is 0.25; the rest covers the variation of small counts.
	floorShare = 0.35
	// maxUnserved bounds the demand of an account relative to what it got: callers that repeat refused requests at once count many times.
	maxUnserved = 8
	// levelRounds bounds the rounds in which the equal share is computed; each one finds further accounts that need less.
	levelRounds = 24
	// maxScale is the age of the epoch in half-lives at which all sums are scaled to a new one.
	maxScale = 64
	// negligible is the upstream time in ms, and the number of requests, below which an account is forgotten.
	negligible = 0.05
)

// Key identifies an account at a service by hashes of the names.
type Key struct{ Service, Account uint32 }

// NewKey returns the key of an account at a service.
func NewKey(service, account string) Key { return Key{hashName(service), hashName(account)} }

func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Share is what an account uses of a service, relative to the others.
type Share struct {
	// Factor multiplies the limits on the wait of the account's requests; 1 without a shortage.
	Factor float64
	// Work is the recent upstream time of the account, and Equal the equal share, 0 if the service has enough for all accounts.
	Work, Equal time.Duration
	// Surplus is the time in which the part of Work above Equal decays.
	Surplus time.Duration
	// Began and Ended are set for the first request since a shortage of the service began or ended.
	Began, Ended bool
}

// Ledger holds the recent upstream time by service and account, of this node and of the others. Its mu is a leaf lock: no other lock is
// acquired while it is held.
//
// All sums are kept as they would be at the epoch: a sum at a later time is larger by a factor that is the same for all of them, so that
// decay costs nothing for accounts that send nothing.
type Ledger struct {
	mu       sync.Mutex
	epoch    time.Time
	services map[uint32]*service
	news     news
	// demands is reused between computations.
	demands []float64
}

// service is what a node knows of the accounts of a service.
type service struct {
	accounts map[uint32]*account
	all      counts
	short    bool
	// shortUntil is when the shortage ends without further requests that wait.
	shortUntil  time.Time
	refreshedAt time.Time
	// equal is the equal share in ms at the epoch, 0 if there is enough for all accounts.
	equal float64
}

// account is the recent use of one account, at the epoch.
type account struct {
	counts
	// own is the upstream time at this node in ms. others is that at the other nodes at the last refresh.
	own, others float64
}

// counts are decayed numbers of requests at this node, at the epoch.
type counts struct{ offered, served float64 }

func (a *account) work() float64 { return a.own + a.others }

// fade returns the factor by which a sum has decayed.
func fade(since, now time.Time) float64 {
	if !now.After(since) {
		return 1
	}
	return math.Exp2(-float64(now.Sub(since)) / float64(halfLife))
}

// scale returns the weight of the present at the epoch. The caller holds the lock.
func (l *Ledger) scale(now time.Time) float64 {
	if l.epoch.IsZero() {
		l.epoch = now
	}
	age := float64(now.Sub(l.epoch)) / float64(halfLife)
	if age < maxScale {
		return math.Exp2(age)
	}
	f := math.Exp2(-age)
	for _, s := range l.services {
		s.all.offered, s.all.served, s.equal = s.all.offered*f, s.all.served*f, s.equal*f
		for _, a := range s.accounts {
			a.offered, a.served, a.own, a.others = a.offered*f, a.served*f, a.own*f, a.others*f
		}
	}
	l.epoch = now
	return 1
}

// New returns an empty Ledger: every account is below its share.
func New() *Ledger {
	return &Ledger{services: map[uint32]*service{}, news: newNews()}
}

// service returns the record of a service. The caller holds the lock.
func (l *Ledger) service(hash uint32) *service {
	s := l.services[hash]
	if s == nil {
		s = &service{accounts: map[uint32]*account{}}
		l.services[hash] = s
	}
	return s
}

func (s *service) account(hash uint32) *account {
	a := s.accounts[hash]
	if a == nil {
		a = &account{}
		s.accounts[hash] = a
	}
	return a
}

// interval returns the time between two computations of the equal share.
func (s *service) interval() time.Duration {
	return max(refreshInterval, time.Duration(len(s.accounts))*refreshPerAccount)
}

// Decide returns the share of an account for a request that is expected to wait, of which the first event is due within target.
func (l *Ledger) Decide(key Key, wait, target time.Duration, now time.Time) Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	scale, s := l.scale(now), l.service(key.Service)
	var share Share
	if target > 0 && wait >= time.Duration(shortageShare*float64(target)) {
		s.shortUntil = now.Add(shortageTime)
	}
	short := now.Before(s.shortUntil)
	share.Began, share.Ended = short && !s.short, s.short && !short
	s.short = short
	if now.Sub(s.refreshedAt) >= s.interval() {
		l.refresh(key.Service, s, scale, now)
	}
	a := s.account(key.Account)
	share.Factor, share.Work, share.Equal = 1, fromMs(a.work()/scale), fromMs(s.equal/scale)
	if !short || s.equal == 0 {
		return share
	}
	ratio := a.work() / s.equal
	if ratio > 1 {
		share.Surplus = time.Duration(math.Log2(ratio) * float64(halfLife))
	}
	switch {
	case ratio <= 1:
		share.Factor = maxFactor - (maxFactor-1)*ratio
	case ratio > tolerance && !s.belowFloor(a):
		share.Factor = max(minFactor, tolerance/ratio)
	}
	return share
}

// belowFloor reports whether an account is served so much less often than all that it must not be limited further.
func (s *service) belowFloor(a *account) bool {
	return a.served*s.all.offered < floorShare*s.all.served*a.offered
}

// Admitted records a request that is sent to an upstream and takes it for work.
func (l *Ledger) Admitted(key Key, work time.Duration, now time.Time) {
	l.record(key, 1, work, now)
}

// Withdraw takes back the work of a request that was recorded as admitted at a time and was never sent; it counts as refused then.
func (l *Ledger) Withdraw(key Key, work time.Duration, at, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	weight, s := l.scale(now)*fade(at, now), l.service(key.Service)
	a := s.account(key.Account)
	s.all.served = max(0, s.all.served-weight)
	a.served = max(0, a.served-weight)
	a.own = max(0, a.own-weight*toMs(work))
}

// Refused records a request that was refused.
func (l *Ledger) Refused(key Key, now time.Time) { l.record(key, 0, 0, now) }

func (l *Ledger) record(key Key, served float64, work time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	scale, s := l.scale(now), l.service(key.Service)
	a := s.account(key.Account)
	s.all.offered += scale
	s.all.served += scale * served
	a.offered += scale
	a.served += scale * served
	a.own += scale * toMs(work)
}

// Add records further upstream time of an admitted request.
func (l *Ledger) Add(key Key, work time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	scale := l.scale(now)
	l.service(key.Service).account(key.Account).own += scale * toMs(work)
}

// refresh computes the sums of the other nodes and the equal share of a service, and forgets accounts without requests.
func (l *Ledger) refresh(hash uint32, s *service, scale float64, now time.Time) {
	s.refreshedAt = now
	l.news.expire(now)
	for _, a := range s.accounts {
		a.others = 0
	}
	for key, ms := range l.news.sums(now) {
		if key.Service == hash {
			s.account(key.Account).others = scale * ms
		}
	}
	demands, capacity := l.demands[:0], 0.0
	for name, a := range s.accounts {
		if a.work() < negligible*scale && a.offered < negligible*scale {
			delete(s.accounts, name)
			continue
		}
		capacity += a.work()
		demands = append(demands, a.work()*s.unserved(a, scale))
	}
	l.demands = demands
	s.equal = level(demands, capacity)
}

// unserved is what an account asked for relative to what it got.
func (s *service) unserved(a *account, scale float64) float64 {
	c := a.counts
	if c.offered < scale {
		// This node has no requests of the account.
		c = s.all
	}
	if c.offered <= c.served {
		return 1
	}
	return min(maxUnserved, c.offered/max(c.served, c.offered/maxUnserved))
}

// level returns the max-min share: the level at which the accounts that need less get what they need, the others get the level, and the
// sum is the capacity. It returns 0 if the capacity covers all demands.
func level(demands []float64, capacity float64) float64 {
	share, found := 0.0, 0
	for range levelRounds {
		left, others, below := capacity, len(demands), 0
		for _, demand := range demands {
			if demand <= share {
				left -= demand
				others--
				below++
			}
		}
		if others == 0 {
			return 0
		}
		if below == found && share > 0 {
			return share
		}
		found = below
		share = left / float64(others)
	}
	return share
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
