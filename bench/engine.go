package bench

import (
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/sched"
)

// startStep starts the engine's next iteration if it is idle and has work.
func (a *agent) startStep() {
	if a.stepping || a.frozen || a.failed {
		return
	}
	a.refuseDropped()
	a.limitStep()
	a.dispatchGrants()
	grants, tokens := a.prefill()
	if tokens == 0 && len(a.decoding) == 0 {
		return
	}
	a.stepping = true
	took := a.hardware.stepTime(tokens, len(a.decoding))
	decoding, freezes := len(a.decoding), a.freezes
	a.run.after(took, func() {
		if a.freezes == freezes {
			a.cost.Observe(tokens, decoding, took)
			a.finishStep(grants, tokens, a.unlimitedDuration(decoding, took))
		}
	})
}

// prompt is a granted chunk that the engine computes.
type prompt struct {
	grant     sched.Grant
	remaining int64
}

// limitStep bounds the prefill of the next step while requests decode. An engine that receives whole prompts composes its
// steps itself, so no limit applies.
func (a *agent) limitStep() {
	a.stepLimit = engineChunkTokens
	if a.run.policy.NoStepLimit || a.run.policy.WholePrompts {
		return
	}
	late := func(rate, reserve float64) bool { return a.queue.LateAt(rate, reserve, a.run.time()) }
	a.stepLimit = a.run.policy.step().Limit(a.cost, len(a.decoding), engineChunkTokens, late)
	a.queue.SetStepLimit(a.stepLimit)
}

// unlimitedDuration is the time that a step's prefill would have taken in steps without a limit. Estimates use that rate,
// because the limit is lifted for work that would be late.
func (a *agent) unlimitedDuration(decoding int, took time.Duration) time.Duration {
	saved := a.cost.Decode(decoding) * (1 - float64(a.stepLimit)/engineChunkTokens)
	return max(0, took-time.Duration(saved*float64(time.Second)))
}

// dispatchGrants moves all granted chunks to the engine.
func (a *agent) dispatchGrants() {
	for {
		grant, ok := a.queue.Next(a.run.time())
		if !ok {
			return
		}
		a.prompts = append(a.prompts, prompt{grant: grant, remaining: grant.Tokens})
	}
}

// prefill computes at most one engine chunk of the granted prompts in a step, by priority and then by arrival, and
// returns the prompts that it completes and the tokens computed.
func (a *agent) prefill() (done []sched.Grant, tokens int64) {
	slices.SortStableFunc(a.prompts, func(x, y prompt) int {
		return x.grant.Priority - y.grant.Priority
	})
	rest := a.prompts[:0]
	for _, p := range a.prompts {
		n := min(p.remaining, engineChunkTokens-tokens)
		tokens += n
		if p.remaining -= n; p.remaining > 0 {
			rest = append(rest, p)
			continue
		}
		done = append(done, p.grant)
	}
	a.prompts = rest
	return done, tokens
}

func (a *agent) finishStep(grants []sched.Grant, tokens int64, took time.Duration) {
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
		a.run.result.recordServed(w.request, grant.Tokens)
		if grant.Last {
			a.finishPrefill(w)
		}
	}
	a.startStep()
}

// decode generates one token for each running request.
func (a *agent) decode() {
	rest := a.decoding[:0]
	for _, w := range a.decoding {
		w.remaining--
		a.queue.Progress(w.id, 1)
		a.run.result.recordServed(w.request, 1)
		a.run.result.recordGap(w.request, a.run.now-w.lastTokenAt)
		w.lastTokenAt = a.run.now
		if w.remaining > 0 {
			rest = append(rest, w)
			continue
		}
		a.finish(w)
	}
	clear(a.decoding[len(rest):])
	a.decoding = rest
}

// finishPrefill records the first token, caches the prompt's pieces and starts decoding.
func (a *agent) finishPrefill(w *work) {
	a.run.result.recordFirstToken(w.request, a.run.now+networkDelay)
	a.countComputed(w)
	for _, name := range w.names {
		a.cachePiece(w, name)
	}
	a.replanWaiters(w)
	w.remaining--
	w.lastTokenAt = a.run.now
	if w.remaining > 0 {
		a.decoding = append(a.decoding, w)
		return
	}
	a.finish(w)
}

// countComputed counts the prompt tokens computed, and those of them that any engine had computed before.
func (a *agent) countComputed(w *work) {
	recomputed := w.unfetched
	for i, step := range w.plan.Steps {
		name := w.names[i]
		if step.Action == fetchplan.Recompute && a.run.computed[name] {
			recomputed += 2000
		}
		a.run.computed[name] = true
	}
	a.run.result.recordComputed(w.request, w.plan.ComputeTokens+w.unfetched, recomputed)
}

func (a *agent) finish(w *work) {
	a.queue.Finish(w.id)
	a.runTime = (7*a.runTime + (a.run.now - w.started)) / 8
	a.remove(w)
	w.entry.handleCompleted(w.request, a, a.report())
}

func (a *agent) refuseDropped() {
	for _, removed := range a.queue.Dropped(a.run.time()) {
		if w := a.work[removed.Item.ID]; w != nil {
			a.remove(w)
			a.refuse(w.request, failure.DeadlineExceeded)
		}
	}
}

// freeze stops the engine. Its agent detects that after the watchdog time and fails all its work.
func (a *agent) freeze() {
	a.frozen = true
	a.freezes++
	a.run.after(watchdogTimeout, func() {
		if !a.frozen {
			return
		}
		a.failed = true
		a.decoding, a.prompts = nil, nil
		works := slices.Clone(a.order)
		a.order = nil
		for _, w := range works {
			if !w.removed {
				a.queue.Cancel(w.id)
				a.remove(w)
				a.refuse(w.request, failure.UpstreamFailed)
			}
		}
	})
}

// thaw resumes a frozen engine.
func (a *agent) thaw() {
	a.frozen, a.failed, a.stepping = false, false, false
	a.startStep()
}

// queueForVersion queues a request until its weight version is loaded; it refuses the request if that is after its deadline.
func (a *agent) queueForVersion(q *request) {
	wait := 2 * weightLoadTime
	if a.loadEndsAt > 0 {
		wait = a.loadEndsAt - a.run.now
	}
	if a.run.time().Add(wait).After(q.deadline) && !a.run.policy.NoAdmission {
		a.refuse(q, failure.DeadlineUnreachable)
		return
	}
	a.awaitingVersion = append(a.awaitingVersion, q)
}

// loadVersion loads a weight version once one of the load slots is free.
func (a *agent) loadVersion(version uint64) {
	if a.run.loading[a.model] >= maxLoading {
		a.run.after(50*time.Millisecond, func() { a.loadVersion(version) })
		return
	}
	a.run.loading[a.model]++
	a.loadEndsAt = a.run.now + weightLoadTime
	a.run.after(weightLoadTime, func() {
		a.run.loading[a.model]--
		a.loaded, a.loadEndsAt = version, 0
		waiting := a.awaitingVersion
		a.awaitingVersion = nil
		for _, q := range waiting {
			a.receive(q)
		}
	})
}
