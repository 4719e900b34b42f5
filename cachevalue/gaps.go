package cachevalue

import (
	"math"
	"time"
)

// Gaps are counted in buckets of a quarter octave from 1 s to about 12 days.
const (
	bucketsPerOctave = 4
	buckets          = 20 * bucketsPerOctave
	maxGap           = time.Second << 20
)

// gaps is a histogram of the times between uses of a piece in one class. total is the sum of count; neverCount counts
// the pieces that were not used again while they were tracked.
type gaps struct {
	count      [buckets]float64
	total      float64
	neverCount float64
}

func (g *gaps) recordReturn(gap time.Duration, maxObservations float64) {
	g.count[bucketOf(gap)]++
	g.total++
	g.decay(maxObservations)
}

func (g *gaps) recordNoReturn(maxObservations float64) {
	g.neverCount++
	g.decay(maxObservations)
}

// decay halves all counts once there are maxObservations, so that the estimate follows a class whose behaviour changes.
func (g *gaps) decay(maxObservations float64) {
	if g.total+g.neverCount < maxObservations {
		return
	}
	for i := range g.count {
		g.count[i] /= 2
	}
	g.total /= 2
	g.neverCount /= 2
}

// priorWeight is the number of observed gaps that the prior is equivalent to.
const priorWeight = 2

// probability estimates the probability that a piece is used again in (idle, idle+horizon] after its last use, given
// that it was not used within idle.
func (g *gaps) probability(idle, horizon time.Duration) float64 {
	from, to := bucketPosition(idle), bucketPosition(idle+horizon)
	inside := g.sum(from, to)
	later := g.sum(from, buckets) + g.neverCount
	prior := horizon.Seconds() / (horizon.Seconds() + idle.Seconds() + 60)
	return (inside + priorWeight*prior/2) / (later + priorWeight)
}

// sum counts the gaps between two positions; partly covered buckets count in proportion.
func (g *gaps) sum(from, to float64) float64 {
	total := 0.0
	for i := int(from); i < buckets && float64(i) < to; i++ {
		low := math.Max(from, float64(i))
		high := math.Min(to, float64(i+1))
		total += g.count[i] * (high - low)
	}
	return total
}

func bucketPosition(gap time.Duration) float64 {
	if gap <= time.Second {
		return 0
	}
	return math.Min(buckets, math.Log2(gap.Seconds())*bucketsPerOctave)
}

func bucketOf(gap time.Duration) int { return min(buckets-1, int(bucketPosition(gap))) }
