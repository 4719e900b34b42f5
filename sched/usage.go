package sched

import (
	"math"
	"time"
)

// usageWindow is the time constant for averaging a rank's use of the engine.
const usageWindow = 2 * time.Second

// usage is a decaying count of prefill tokens granted to a rank.
type usage struct {
	tokens    float64
	updatedAt time.Time
}

func (u *usage) add(tokens int64, now time.Time) {
	u.tokens = u.decayed(now) + float64(tokens)
	u.updatedAt = now
}

func (u *usage) decayed(now time.Time) float64 {
	if u.tokens == 0 {
		return 0
	}
	return u.tokens * math.Exp(-now.Sub(u.updatedAt).Seconds()/usageWindow.Seconds())
}

// minShare is the least share of the prefill rate that is assumed to be left for a rank without a floor.
const minShare = 0.05

// shareLeft returns the share of the prefill rate that more urgent ranks have recently left for a rank. A request is expected
// to be served at that share, because more urgent work keeps arriving while it is computed.
func (q *Queue) shareLeft(r *rankQueue) float64 {
	used := 0.0
	for _, other := range q.ranks {
		if other == r {
			break
		}
		used += other.recent.decayed(q.now)
	}
	if q.prefillRate <= 0 || q.settings.Off.ShareLeft {
		return 1
	}
	return max(minShare, r.Floor, 1-used/usageWindow.Seconds()/q.prefillRate)
}
