// Package prefillpool decides which engines of a service read its long prompts.
//
// An engine reads a prompt in chunks between the steps of its running streams. A few long prompts at one engine, one after the other, stop its
// streams for longer than their callers allow, although their first events were on time. All nodes order the engines in the same way. Long prompts
// go to as many engines from the begin of that order as the demand for them needs in proportion to that for other requests. Each node estimates
// both from what all nodes have in progress, so no node has to be told the share. The package has neither a clock nor sockets.
package prefillpool

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readingShare is the share of their time that the engines of the pool read prompts, and runningShare the share of the places of the other
	// engines that are taken. Both leave room because nodes learn of each other's requests up to 0.3 s late, so that several requests meet at one
	// engine although others are idle. If there are too few engines, or too many, both kinds get more, or less, in proportion.
	readingShare = 0.6
	runningShare = 0.35
	// maxShare leaves engines to short prompts at any demand.
	maxShare = 0.85
	// riseTime and fallTime are the time constants of a growing and of a falling demand. A stream runs for seconds: it must not begin at an engine
	// that long prompts need soon.
	riseTime = 300 * time.Millisecond
	fallTime = 6 * time.Second
	// sizeWeight is the weight of one prompt in the learned size.
	sizeWeight = 0.01
)

// Position returns the place of an engine in the order of its service, in [0, 1).
func Position(service, instance string) float64 {
	return float64(xxhash.Sum64String(service+"\x00"+instance)>>11) / (1 << 53)
}

// Demand estimates how many engines of a service long prompts and the other requests need.
type Demand struct {
	// size and square are moving means of the tokens that long prompts have to be read, and of their squares.
	size, square float64
	// long and other are the smoothed numbers of engines that are needed, at the time at.
	long, other float64
	at          time.Time
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

// Observe records what is in progress at all engines: the tokens of the long prompts that wait or are being read, the number of requests, and the
// places of one engine. By Little's law the mean of the tokens is the number of engines that read long prompts, times the mean size of the prompts
// weighted by their size.
func (d *Demand) Observe(longTokens, requests, slots int, now time.Time) {
	if d.square == 0 || slots <= 0 {
		return
	}
	prompts := float64(longTokens) / d.size
	reading := prompts * d.size * d.size / d.square
	elapsed := now.Sub(d.at)
	if d.at.IsZero() {
		elapsed = riseTime
	}
	if elapsed < 0 {
		// Requests read the clock before they take the caller's lock, so a delayed one brings an earlier time.
		return
	}
	d.at = now
	d.long = follow(d.long, reading/readingShare, elapsed)
	d.other = follow(d.other, max(0, float64(requests)-prompts)/(runningShare*float64(slots)), elapsed)
}

// follow moves a smoothed value towards a new one.
func follow(value, next float64, elapsed time.Duration) float64 {
	constant := riseTime
	if next < value {
		constant = fallTime
	}
	return value - (next-value)*math.Expm1(-float64(elapsed)/float64(constant))
}

// Share returns the share of the engines that read long prompts; 0 if there are no such prompts.
func (d *Demand) Share() float64 {
	if d.long == 0 {
		return 0
	}
	return min(maxShare, d.long/(d.long+d.other))
}
