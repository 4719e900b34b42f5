package placement

import (
	"time"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Work is the size of a request at an instance.
type Work struct {
	Urgency Urgency
	// PrefillTokens is the number of tokens that the engine is expected to read.
	PrefillTokens int
	// HeldTokens is the memory that the request takes, in tokens.
	HeldTokens int
	// FirstEvent is the expected time to the first event.
	FirstEvent time.Duration
	// UsualFirstEvent is what FirstEvent would be if work took the usual time at the instance.
	UsualFirstEvent time.Duration
	// Transfers holds the transfer times by the address of the store.
	Transfers map[string]time.Duration
	// Salt and Parts identify what an engine holds once it has read the prompt; CacheTokens is the size of its cache.
	Salt        string
	Parts       []Part
	CacheTokens int
}

// Attempt is one send in progress.
type Attempt struct {
	tracker *Tracker
	key     upstreams.Key
	work    Work
	began   time.Time
	// aheadTokens is the number of tokens that the engine reads up to the end of this prompt.
	aheadTokens int
	prefilled   bool
	// prefilledByEvent is set once the first event of a stream has arrived.
	prefilledByEvent bool
	done             bool
}

// Begin records the start of a send.
func (t *Tracker) Begin(instance *upstreams.Instance, work Work) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(instance.Key())
	began := time.Now()
	s.requests++
	s.prefillTokens += work.PrefillTokens
	if work.Urgency.isLong() {
		s.longTokens += work.PrefillTokens
		if d := t.longDemand[instance.Service]; d != nil {
			d.RecordPrompt(work.PrefillTokens)
		}
	}
	t.priorities.record(work.Urgency, work.PrefillTokens)
	s.heldTokens += work.HeldTokens
	for address, transfer := range work.Transfers {
		t.links.addTransfer(address, transfer, began)
	}
	if len(work.Parts) > 0 {
		use := promptUse{sentAt: began, readAt: began.Add(work.FirstEvent), size: work.Urgency.size()}
		t.recordRead(s, promptRead{hashKey(instance.ID), keyParts(work.Salt, work.Parts), work.CacheTokens, use})
	}
	t.speedOf(s, instance)
	ahead := t.priorities.aheadTokens(work.Urgency, s.prefillTokens+s.others.prefillTokens, s.longTokens+s.others.longTokens)
	return &Attempt{tracker: t, key: instance.Key(), work: work, began: began, aheadTokens: ahead}
}

// Prefilled records that the prompt was read: the first event has arrived.
func (a *Attempt) Prefilled() {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if !a.prefilled {
		a.learnFrom(time.Since(a.began))
		a.observeFirstEvent(time.Now())
	}
	a.prefilledByEvent = true
	a.prefill(a.tracker.state(a.key))
}

func (a *Attempt) prefill(s *instanceState) {
	if !a.prefilled {
		a.prefilled = true
		s.prefillTokens -= a.work.PrefillTokens
		if a.work.Urgency.isLong() {
			s.longTokens -= a.work.PrefillTokens
		}
	}
}

// RecordAnswer records the load and the weight version that an answer carries.
func (a *Attempt) RecordAnswer(load *Load, model string, version uint64, now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	s := a.tracker.state(a.key)
	if load != nil {
		s.load, s.loadAt = *load, now
	}
	if version > 0 && model != "" {
		s.setVersion(model, version)
	}
}

// End records how the send ended. Calls after the first have no effect.
func (a *Attempt) End(outcome Outcome, now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.done {
		return
	}
	a.done = true
	t := a.tracker
	s := t.state(a.key)
	delete(s.watchers, a)
	a.prefill(s)
	s.requests--
	s.heldTokens -= a.work.HeldTokens
	switch outcome {
	case Answered:
		a.observeAnswer(s, now)
		if len(a.work.Parts) > 0 {
			t.runTimes.observe(a.work.Urgency.size(), now.Sub(a.began))
		}
		s.answeredAt = now
		s.failures, s.ejections = 0, 0
		s.markReachable(now)
		s.failureShare *= 1 - failureWeight
	case Failed:
		s.fail(now)
	case Unresponsive:
		s.foundHere = true
		s.markUnresponsive(now)
	case Rejected:
		s.avoidedUntil = now.Add(rejectPause)
		t.unusual[s] = struct{}{}
	case Replaced:
		if !s.replaced {
			t.replaced = append(t.replaced, hashKey(s.id))
		}
		s.replaced = true
		t.unusual[s] = struct{}{}
	case Canceled:
	}
}

// learnFrom updates the read rate and the slowness of links with the time to the first event of a request. A request
// that waits for several stores is skipped: its time does not show which link was slow.
func (a *Attempt) learnFrom(took time.Duration) {
	switch len(a.work.Transfers) {
	case 0:
		a.tracker.rate.observe(a.aheadTokens, took)
		a.tracker.links.observe("", took, a.work.FirstEvent, time.Now())
	case 1:
		for address := range a.work.Transfers {
			a.tracker.links.observe(address, took, a.work.FirstEvent, time.Now())
		}
	}
}
