package agent

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// prefillTimes divides the time in which the engine has prompts to compute among them. Engines compute the most urgent
// prompt first, so the time counts for that one: a prompt that waits in the engine or was preempted does not make the
// engine look slow. The lock is a leaf lock.
type prefillTimes struct {
	mu sync.Mutex
	// prompts the engine has and has not computed yet, in its order.
	prompts []*prefillTime
	// since is the time up to which the busy time has been counted.
	since time.Time
}

// prefillTime is one prompt in the engine.
type prefillTime struct {
	priority int
	busy     time.Duration
}

// start notes a prompt that is given to the engine.
func (p *prefillTimes) start(priority int, now time.Time) *prefillTime {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(now)
	started := &prefillTime{priority: priority}
	at, _ := slices.BinarySearchFunc(p.prompts, started, func(a, b *prefillTime) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), -1) // After all of its priority.
	})
	p.prompts = slices.Insert(p.prompts, at, started)
	return started
}

// end notes that a prompt was computed or given up, and returns the time for which the engine computed it. Further calls
// return the same.
func (p *prefillTimes) end(prompt *prefillTime, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := slices.Index(p.prompts, prompt); at >= 0 {
		p.count(now)
		p.prompts = slices.Delete(p.prompts, at, at+1)
	}
	return prompt.busy
}

// count adds the time since the last call to the prompt that the engine computes. The caller holds mu.
func (p *prefillTimes) count(now time.Time) {
	if len(p.prompts) > 0 {
		p.prompts[0].busy += max(0, now.Sub(p.since))
	}
	p.since = now
}
