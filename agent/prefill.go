package agent

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// prefillTimes splits the time in which the engine has prompts to compute among these prompts. Engines compute the most
// urgent prompt first, so the time is charged to that one: a prompt that waits in the engine or was preempted does not
// lower the measured rate. prefillTimes.mu is a leaf lock.
type prefillTimes struct {
	mu sync.Mutex
	// prompts holds the prompts that the engine has received and not yet computed, in the order in which it computes them.
	prompts []*prefillTime
	// countedUntil is the time up to which busy time has been charged.
	countedUntil time.Time
}

// prefillTime is the measured time of one prompt on the engine.
type prefillTime struct {
	priority int
	busy     time.Duration
}

// start records a prompt that is given to the engine.
func (p *prefillTimes) start(priority int, now time.Time) *prefillTime {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addBusyTime(now)
	started := &prefillTime{priority: priority}
	position, _ := slices.BinarySearchFunc(p.prompts, started, func(a, b *prefillTime) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), -1) // After all prompts of the same priority.
	})
	p.prompts = slices.Insert(p.prompts, position, started)
	return started
}

// end records that a prompt was computed or aborted, and returns how long the engine computed it. Further calls return
// the same time.
func (p *prefillTimes) end(prompt *prefillTime, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if position := slices.Index(p.prompts, prompt); position >= 0 {
		p.addBusyTime(now)
		p.prompts = slices.Delete(p.prompts, position, position+1)
	}
	return prompt.busy
}

// addBusyTime charges the time since the last call to the prompt that the engine computes. The caller holds mu.
func (p *prefillTimes) addBusyTime(now time.Time) {
	if len(p.prompts) > 0 {
		p.prompts[0].busy += max(0, now.Sub(p.countedUntil))
	}
	p.countedUntil = now
}
