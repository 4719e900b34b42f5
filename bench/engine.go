package bench

import (
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/sched"
)

// kick starts an iteration of the engine if it is idle.
func (a *agent) kick() {
	if a.stepping || a.frozen || a.failed {
		return
	}
	a.answerDropped()
	a.limitStep()
	a.takeGrants()
	grants, tokens := a.prefill()
	if tokens == 0 && len(a.decoding) == 0 {
		return
	}
	a.stepping = true
	took := a.hardware.step(tokens, len(a.decoding))
	decoding, freezes := len(a.decoding), a.freezes
	a.run.after(took, func() {
		if a.freezes == freezes {
			a.cost.Observe(tokens, decoding, took)
			a.stepped(grants, tokens, a.fullTime(decoding, took))
		}
	})
}

// prompt is a granted chunk that the engine computes.
type prompt struct {
	grant sched.Grant
	left  int64
}

// limitStep bounds the prefill of the next step while requests decode. An engine that takes whole prompts fills its steps
// itself.
func (a *agent) limitStep() {
	a.limit = engineChunk
	if a.run.policy.NoStepLimit || a.run.policy.WholePrompts {
		return
	}
	late := func(rate, reserve float64) bool { return a.queue.LateAt(rate, reserve, a.run.time()) }
	a.limit = a.run.policy.step().Limit(a.cost, len(a.decoding), engineChunk, late)
	a.queue.SetStepLimit(a.limit)
}

// fullTime is the time that a step's prefill would have taken in steps without limit. Estimates count on that rate,
// because the limit is lifted for work that needs it.
func (a *agent) fullTime(decoding int, took time.Duration) time.Duration {
	saved := a.cost.Decode(decoding) * (1 - float64(a.limit)/engineChunk)
	return max(0, took-time.Duration(saved*float64(time.Second)))
}

// takeGrants hands all granted chunks to the engine.
func (a *agent) takeGrants() {
	for {
		grant, ok := a.queue.Next(a.run.time())
		if !ok {
			return
		}
		a.prompts = append(a.prompts, prompt{grant: grant, left: grant.Tokens})
	}
}

// prefill computes at most one engine chunk of the granted prompts in a step, by priority and then by arrival, and
// returns the prompts that it completes and the tokens computed.
func (a *agent) prefill() (done []sched.Grant, tokens int64) {
	slices.SortStableFunc(a.prompts, func(x, y prompt) int {
		return x.grant.Priority - y.grant.Priority
	})
	kept := a.prompts[:0]
	for _, p := range a.prompts {
		n := min(p.left, engineChunk-tokens)
		tokens += n
		if p.left -= n; p.left > 0 {
			kept = append(kept, p)
			continue
		}
		done = append(done, p.grant)
	}
	a.prompts = kept
	return done, tokens
}

func (a *agent) stepped(grants []sched.Grant, tokens int64, took time.Duration) {
	a.stepping = false
	a.meter.Observe(tokens, took)
	a.queue.SetPrefillRate(a.meter.Rate())
	a.decode()
	for _, grant := range grants {
		w := a.work[grant.Item.ID]
		a.queue.ChunkDone(grant.Item.ID)
		if w == nil {
			continue
		}
		if grant.First {
			w.started = a.run.now
		}
		a.run.result.served(w.request, grant.Tokens)
		if grant.Last {
			a.prefilled(w)
		}
	}
	a.kick()
}

// decode generates one token for each running request.
func (a *agent) decode() {
	kept := a.decoding[:0]
	for _, w := range a.decoding {
		w.left--
		a.queue.Progress(w.id, 1)
		a.run.result.served(w.request, 1)
		a.run.result.gap(w.request, a.run.now-w.token)
		w.token = a.run.now
		if w.left > 0 {
			kept = append(kept, w)
			continue
		}
		a.finished(w)
	}
	clear(a.decoding[len(kept):])
	a.decoding = kept
}

// prefilled is the end of the prefill: the first token leaves, and the prompt's pieces are in the cache.
func (a *agent) prefilled(w *work) {
	a.run.result.firstToken(w.request, a.run.now+network)
	a.countComputed(w)
	for _, name := range w.names {
		a.keep(w, name)
	}
	a.release(w)
	w.left--
	w.token = a.run.now
	if w.left > 0 {
		a.decoding = append(a.decoding, w)
		return
	}
	a.finished(w)
}

// countComputed counts the prompt tokens computed, and which of them some engine had computed before.
func (a *agent) countComputed(w *work) {
	recomputed := w.lost
	for i, step := range w.plan.Steps {
		name := w.names[i]
		if step.Action == fetchplan.Recompute && a.run.computed[name] {
			recomputed += 2000
		}
		a.run.computed[name] = true
	}
	a.run.result.computed(w.request, w.plan.ComputeTokens+w.lost, recomputed)
}

func (a *agent) finished(w *work) {
	a.queue.Finish(w.id)
	a.runTime = (7*a.runTime + (a.run.now - w.started)) / 8
	a.forget(w)
	w.entry.answered(w.request, a, a.report())
}

func (a *agent) answerDropped() {
	for _, removed := range a.queue.Dropped(a.run.time()) {
		if w := a.work[removed.Item.ID]; w != nil {
			a.forget(w)
			a.refuse(w.request, failure.DeadlineExceeded)
		}
	}
}

// freeze stops the engine. Its agent notices after the watchdog and fails all its work.
func (a *agent) freeze() {
	a.frozen = true
	a.freezes++
	a.run.after(watchdog, func() {
		if !a.frozen {
			return
		}
		a.failed = true
		a.decoding, a.prompts = nil, nil
		works := slices.Clone(a.order)
		a.order = nil
		for _, w := range works {
			if !w.gone {
				a.queue.Cancel(w.id)
				a.forget(w)
				a.refuse(w.request, failure.UpstreamFailed)
			}
		}
	})
}

// thaw lets a frozen engine work again.
func (a *agent) thaw() {
	a.frozen, a.failed, a.stepping = false, false, false
	a.kick()
}

// hold keeps a request until its weight version is loaded, unless its deadline comes first.
func (a *agent) hold(q *request) {
	wait := 2 * loadWeights
	if a.loadedBy > 0 {
		wait = a.loadedBy - a.run.now
	}
	if a.run.time().Add(wait).After(q.deadline) && !a.run.policy.NoAdmission {
		a.refuse(q, failure.DeadlineUnreachable)
		return
	}
	a.held = append(a.held, q)
}

// wantVersion loads a weight version once one of the load slots is free.
func (a *agent) wantVersion(version uint64) {
	if a.run.loading[a.model] >= maxLoading {
		a.run.after(50*time.Millisecond, func() { a.wantVersion(version) })
		return
	}
	a.run.loading[a.model]++
	a.loadedBy = a.run.now + loadWeights
	a.run.after(loadWeights, func() {
		a.run.loading[a.model]--
		a.loaded, a.loadedBy = version, 0
		held := a.held
		a.held = nil
		for _, q := range held {
			a.receive(q)
		}
	})
}
