package upstreamlimit

import (
	"math"
	"time"
)

const (
	// probeRate is the lowest number of permits a second. Without any request nobody would learn that a limit of 0 has ended.
	probeRate = 0.25
	// depthTime is the time for which unused permits are kept, and so the most that is granted at once. At low limits it is minDepth permits:
	// one in reserve, one for other requests, and one more, as a permit is lost whenever the node whose turn it is has no request.
	depthTime = 250 * time.Millisecond
	minDepth  = 3
	// reserveShare is the share of the depth, at least one permit, that spare requests leave.
	reserveShare = 1.0 / 3
	// minSpareWait bounds how often a node asks for spare requests.
	minSpareWait = 20 * time.Millisecond
	// doubtShare is the share of a limit that a node hands out while another one may hand out permits as well.
	doubtShare = 0.25
	// settleTime is how long a new first owner hands out doubtShare only: the one before it may not have learned of the change yet.
	settleTime = 2 * time.Second
	// confirmTimeout is the time without a word of the leader, who sends one each half a second, after which a node hands out doubtShare only.
	confirmTimeout = 2 * time.Second
	// maxWait bounds the time after which a node asks again.
	maxWait = 4 * time.Second
	// grantMemory is how long an unused bucket is kept.
	grantMemory = time.Minute
)

// bucket holds the permits of one instance that can be granted.
type bucket struct {
	tokens float64
	at     time.Time
	// nextTurn is when the next node that is told to wait has its turn.
	nextTurn time.Time
}

// Grants hands out the permits of the instances of which a node is an owner.
type Grants struct {
	owners  owners
	buckets map[uint32]*bucket
}

// Grant grants up to want permits, for spare requests without the reserve. Without any it returns the time after which to ask again. A new bucket is
// empty, since the owner before may have granted all that the limit allows.
func (g *Grants) Grant(hash uint32, perSecond float64, want int, spare bool, now time.Time) (granted int, wait time.Duration) {
	b := g.buckets[hash]
	if b == nil {
		if g.buckets == nil {
			g.buckets = map[uint32]*bucket{}
		}
		g.expire(now)
		b = &bucket{at: now}
		g.buckets[hash] = b
	}
	share := g.owners.share(hash, now)
	rate, depth := math.Max(perSecond, probeRate)*share, 1.0
	if share == 1 {
		depth = minDepth
	}
	depth = math.Max(depth, rate*depthTime.Seconds())
	b.tokens = math.Min(depth, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	reserve := 0.0
	if spare && share == 1 {
		reserve = math.Max(1, reserveShare*depth)
	}
	if granted = int(math.Min(float64(want), b.tokens-reserve)); granted > 0 {
		b.tokens -= float64(granted)
		return granted, 0
	}
	if spare {
		missing := (1 + reserve - b.tokens) / rate
		return 0, max(minSpareWait, time.Duration(math.Min(missing, maxWait.Seconds())*float64(time.Second)))
	}
	return 0, b.turn(rate, now)
}

// turn returns the time until a node that gets no permit now has its turn. Each has its own, so that not all of them come back for the same
// permit.
func (b *bucket) turn(rate float64, now time.Time) time.Duration {
	interval := time.Duration(float64(time.Second) / rate)
	at := now.Add(time.Duration((1 - b.tokens) * float64(interval)))
	if b.nextTurn.After(at) {
		at = b.nextTurn
	}
	if at.Sub(now) > maxWait {
		return maxWait
	}
	b.nextTurn = at.Add(interval)
	return at.Sub(now)
}

func (g *Grants) expire(now time.Time) {
	for hash, b := range g.buckets {
		if now.Sub(b.at) > grantMemory {
			delete(g.buckets, hash)
		}
	}
}
