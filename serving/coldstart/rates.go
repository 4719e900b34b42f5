// Package coldstart decides which instances count as cold for a node, and at which rates the owners of a cold instance hand out permits to
// send to it.
//
// A cold instance started lately and accepts few requests a second from all nodes together. States and the functions of this package have no
// clock, no sockets and no goroutines; Guard joins them with those.
package coldstart

import (
	"math"
	"time"
)

// PermitValidity is how long a permit may be used after the question for it.
const PermitValidity = 250 * time.Millisecond

// Bound gives the requests that may reach a cold instance in any second: the accepted rate times Overshoot, and Slack. The zero value means
// that no bound is known.
type Bound struct{ Overshoot, Slack float64 }

// Requests returns the bound for an instance that accepts so many requests a second.
func (b Bound) Requests(perSecond float64) float64 { return perSecond*b.Overshoot + b.Slack }

// Rates are the rate and the depth of the token buckets of the owners of one instance, by what an owner knows of the others.
type Rates struct {
	// Whole is the rate of the first owner, WholeDepth the depth of its bucket.
	Whole, WholeDepth float64
	// Second is the rate of the second owner, and of a first owner while another node may be one as well. Isolated is that of either owner
	// without contact to the leader. The depth is 1 for both.
	Second, Isolated float64
}

const (
	// wholeDepth lets a node use its turn some time later than it was told, and leaves a reserve to urgent requests.
	wholeDepth = 2
	// secondShare is the share of the rate that the second owner hands out, isolatedShare that of each owner without contact to the
	// leader. Both owners may be on the side of a partition that has no leader, which hands out secondShare in all then.
	secondShare   = 1.0 / 4
	isolatedShare = 1.0 / 8
	// rateSteps is the number of steps in which a rate is lowered until the bound holds.
	rateSteps = 64
)

// RatesFor returns the highest rates up to perSecond with which the permits that can be used in one second stay within the bound. At one
// time there are one first owner, one second owner, and two isolated ones. Their permits are used up to PermitValidity after they were handed
// out.
func RatesFor(perSecond float64, b Bound) Rates {
	bound := b.Requests(perSecond)
	if b == (Bound{}) || math.IsNaN(bound) || bound < 0 {
		return ratesAt(perSecond, wholeDepth, 1)
	}
	for _, depth := range []float64{wholeDepth, 1} {
		// Below half of the rate, the first owner alone serves more.
		for step := rateSteps; step > rateSteps/2; step-- {
			if r := ratesAt(perSecond*float64(step)/rateSteps, depth, 1); r.most() <= bound {
				return r
			}
		}
	}
	for step := rateSteps; step > 0; step-- {
		if r := ratesAt(perSecond*float64(step)/rateSteps, 1, 0); r.most() <= bound {
			return r
		}
	}
	return Rates{}
}

func ratesAt(perSecond, depth, others float64) Rates {
	return Rates{Whole: perSecond, WholeDepth: depth, Second: others * secondShare * perSecond, Isolated: others * isolatedShare * perSecond}
}

// most returns how many permits of all owners can be used within one second.
func (r Rates) most() float64 {
	span := (time.Second + PermitValidity).Seconds()
	used := func(rate, depth float64) float64 {
		if rate <= 0 {
			return 0
		}
		return math.Floor(rate*span + depth)
	}
	return used(r.Whole, r.WholeDepth) + used(r.Second, 1) + 2*used(r.Isolated, 1)
}
