package routing

import (
	"math"
	"time"
)

// penalty makes an upstream that fails look expensive. Without it an upstream that fails fast has an empty queue and
// attracts all work.
type penalty struct {
	size     time.Duration
	since    time.Time
	probes   int
	unusedTo time.Time
}

func (p *penalty) raise(s LoadSettings, now time.Time) {
	p.size = min(s.MaxPenalty, 2*p.at(s, now)+s.Penalty)
	p.since = now
}

func (p *penalty) at(s LoadSettings, now time.Time) time.Duration {
	if p.size == 0 {
		return 0
	}
	lives := now.Sub(p.since).Seconds() / s.PenaltyHalfLife.Seconds()
	return time.Duration(float64(p.size) * math.Exp2(-lives))
}

// succeed halves the penalty: one good answer among failures is not enough.
func (p *penalty) succeed() {
	p.size /= 2
	p.probes = 0
	p.unusedTo = time.Time{}
}

func (p *penalty) down(s LoadSettings, now time.Time) {
	wait := min(s.MaxProbe, s.ProbeAfter<<min(p.probes, 10))
	p.probes++
	p.unusedTo = now.Add(wait)
}

func (p *penalty) isDown(now time.Time) bool { return now.Before(p.unusedTo) }
