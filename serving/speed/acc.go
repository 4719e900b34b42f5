package speed

import (
	"math"
	"time"
)

// mean is a weighted mean of logarithms of relative times whose weight halves with each half-life. Means with the same half-life
// can be added and subtracted.
type mean struct {
	weight, sum float64
	at          time.Time
}

// minWeight is the weight below which a mean counts as empty, so that rounding errors don't accumulate.
const minWeight = 1e-6

// decayed returns the mean at a later time. An earlier time changes nothing: clocks of callers may differ by a few ms.
func (m mean) decayed(now time.Time, halfLife time.Duration) mean {
	if m.weight == 0 {
		return mean{at: now}
	}
	age := now.Sub(m.at)
	if age <= 0 {
		return m
	}
	factor := math.Exp2(-float64(age) / float64(halfLife))
	if m.weight*factor < minWeight {
		return mean{at: now}
	}
	return mean{m.weight * factor, m.sum * factor, now}
}

// plus adds another mean, with sign -1 for a subtraction.
func (m mean) plus(other mean, sign float64, now time.Time, halfLife time.Duration) mean {
	m, other = m.decayed(now, halfLife), other.decayed(now, halfLife)
	m.weight, m.sum = m.weight+sign*other.weight, m.sum+sign*other.sum
	if m.weight < minWeight {
		return mean{at: m.at}
	}
	return m
}

// value returns the mean logarithm.
func (m mean) value() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}
