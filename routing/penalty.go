package routing

import (
	"math"
	"time"
)

// penalty is a cost added to a failing upstream. Without it an upstream that fails fast has an empty queue and attracts all
// requests.
type penalty struct {
	size      time.Duration
	since     time.Time
	probes    int
	downUntil time.Time
}

func (p *penalty) raise(s LoadSettings, now time.Time) {
	p.size = min(s.MaxPenalty, 2*p.decayed(s, now)+s.Penalty)
	p.since = now
}

// decayed returns the penalty at a time, after its decay.
func (p *penalty) decayed(s LoadSettings, now time.Time) time.Duration {
	if p.size == 0 {
		return 0
	}
	halfLives := now.Sub(p.since).Seconds() / s.PenaltyHalfLife.Seconds()
	return time.Duration(float64(p.size) * math.Exp2(-halfLives))
}

// succeed halves the penalty. It does not clear it, because a single success among failures does not show that the upstream
// has recovered.
func (p *penalty) succeed() {
	p.size /= 2
	p.probes = 0
	p.downUntil = time.Time{}
}

func (p *penalty) markDown(s LoadSettings, now time.Time) {
	wait := min(s.MaxProbe, s.ProbeAfter<<min(p.probes, 10))
	p.probes++
	p.downUntil = now.Add(wait)
}

func (p *penalty) isDown(now time.Time) bool { return now.Before(p.downUntil) }
