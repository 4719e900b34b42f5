// Package prefillpool decides which engines of a service read its long prompts.
//
// An engine reads a prompt in chunks between the steps of its running streams. A few long prompts at one engine, one after the other, stop its
// streams for longer than their callers allow, while their first events were on time. All nodes order the engines in the same way, and long prompts
// go to as many engines from the begin of that order as the demand for them needs. Demand and share are estimated from what all nodes have in
// progress, so no node has to be told the share. The package has neither a clock nor sockets.
package prefillpool

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// targetUtilization is the share of their time that the engines of the pool read prompts. Nodes learn of each other's prompts up to 0.3 s
	// late, so several prompts meet at one engine although others are idle.
	targetUtilization = 0.5
	// maxShare leaves engines to short prompts at any demand.
	maxShare = 0.75
	// riseTime and fallTime are the time constants of a growing and of a falling demand. A short stream runs for seconds: it must not begin at an
	// engine that long prompts need soon.
	riseTime = 300 * time.Millisecond
	fallTime = 6 * time.Second
	// sizeWeight is the weight of one prompt in the learned size.
	sizeWeight = 0.01
)

// Position returns the place of an engine in the order of its service, in [0, 1).
func Position(service, instance string) float64 {
	return float64(xxhash.Sum64String(service+"\x00"+instance)>>11) / (1 << 53)
}

// Demand estimates how many engines of a service the long prompts keep busy.
type Demand struct {
	// size and square are moving means of the tokens that long prompts have to be read, and of their squares.
	size, square float64
	// busy is the smoothed number of busy engines, at the time at.
	busy float64
	at   time.Time
}

// RecordPrompt records a long prompt of which an engine has to read some tokens.
func (d *Demand) RecordPrompt(tokens int) {
	t := float64(tokens)
	if d.size == 0 {
		d.size, d.square = t, t*t
		return
	}
	d.size += sizeWeight * (t - d.size)
	d.square += sizeWeight * (t*t - d.square)
}

// Observe records the tokens of all long prompts that are waiting or being read at all engines. By Little's law the mean of these tokens is the number
// of busy engines times the mean size of the prompts, weighted by their size.
func (d *Demand) Observe(tokens int, now time.Time) {
	if d.square == 0 {
		return
	}
	busy := float64(tokens) * d.size / d.square
	if d.at.IsZero() {
		d.busy, d.at = busy, now
		return
	}
	constant := riseTime
	if busy < d.busy {
		constant = fallTime
	}
	d.busy += (busy - d.busy) * -math.Expm1(-float64(now.Sub(d.at))/float64(constant))
	d.at = now
}

// Share returns the share of the engines that read long prompts; 0 if there are no such prompts.
func (d *Demand) Share(engines int) float64 {
	if engines == 0 {
		return 0
	}
	return min(maxShare, d.busy/targetUtilization/float64(engines))
}
