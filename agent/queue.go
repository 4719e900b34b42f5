package agent

import (
	"context"
	"time"

	"github.com/wasabishunt/wasabishunt/admission"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/sched"
)

// newQueue returns the upstream's queue. An engine accepts only complete prompts, so each chunk is a complete prompt. The
// engine itself computes the most urgent prompt first, so the queue grants an urgent prompt while a less urgent one is
// computed. Among prompts of the same rank, the limit of outstanding tokens decides when the next one is granted.
func newQueue(options Options) *sched.Queue {
	settings := sched.Defaults()
	settings.MaxQueued = options.MaxQueued
	settings.MaxRunning = options.Workers
	settings.WholePrompts = true
	settings.EnginePriorities = true
	return sched.New(settings, sched.Config{})
}

// configureQueue applies the ranks and weights of a new set.
func (a *Agent) configureQueue(set *objectset.Set) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Configure(sched.ConfigOf(set))
}

// checkAdmissible refuses, before anything is fetched for it, a job that could not meet its deadline even if all of its
// whole pieces were in the engine's cache.
func (a *Agent) checkAdmissible(j *job) error {
	check := a.newAdmissionCheck(j)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endDroppedJobs(check.state.Now)
	tokens := j.promptTokens - int64(len(j.pieces))*piece.TokensPerPiece
	if refusal := check.decide(tokens).Refusal; refusal != nil {
		a.recordRefused(j, tokens)
		return refusal
	}
	return nil
}

// recordRefused counts refused work as demand of its rank, so that the rank gets its floor although none of its work is
// queued. The caller holds Agent.mu.
func (a *Agent) recordRefused(j *job, tokens int64) {
	if !a.draining {
		a.queue.RecordRefused(j.rank.Name, tokens)
	}
}

// admissionCheck holds the input of an admission decision for one job.
type admissionCheck struct {
	agent   *Agent
	request admission.Request
	state   admission.State
}

// newAdmissionCheck collects the input that does not come from the queue. It acquires locks that must not be acquired
// under Agent.mu.
func (a *Agent) newAdmissionCheck(j *job) admissionCheck {
	deadline, _ := j.ctx.Deadline()
	prefill, _ := a.rates.current()
	return admissionCheck{
		agent:   a,
		request: admission.Request{Account: j.account.Name, Rank: j.rank.Name, Deadline: deadline, VersionWait: a.weights.expectedWait()},
		state:   admission.State{Now: a.deps.Clock.Now(), PrefillRate: prefill, RunTime: a.rates.runTime()},
	}
}

// decide makes the decision for a job with the given number of tokens to compute. The caller holds Agent.mu.
func (c admissionCheck) decide(tokens int64) admission.Decision {
	c.request.PromptTokens, c.request.Draining = tokens, c.agent.draining
	c.state.Ahead = c.agent.queue.AheadOf(c.request.Rank, c.request.Account, tokens)
	return admission.Decide(c.agent.options.Admission, c.request, c.state)
}

// enqueue queues a job if it can meet its deadline with the tokens that remain to be computed.
func (a *Agent) enqueue(j *job) error {
	check := a.newAdmissionCheck(j)
	now := check.state.Now
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endDroppedJobs(now)
	if _, exists := a.jobs[j.id]; exists {
		return failure.New(failure.InvalidRequest, failure.NotRun, "request id %s is in use", j.id)
	}
	tokens := max(0, j.promptTokens-j.cachedTokens)
	decision := check.decide(tokens)
	j.decisions = append(j.decisions, decision.Reasons()...)
	if decision.Refusal != nil {
		a.recordRefused(j, tokens)
		return decision.Refusal
	}
	j.estimate = decision.FirstToken
	item := sched.Item{
		ID: j.id, Account: j.account.Name, Rank: j.rank.Name, Deadline: check.request.Deadline, PromptTokens: tokens, Long: tokens > longTokens,
	}
	if err := a.queue.Push(item, now); err != nil {
		return err
	}
	j.queued = true
	a.jobs[j.id] = j
	a.endDroppedJobs(now)
	a.wakeWorker()
	return nil
}

// longTokens is the number of tokens above which a recomputation is charged to the prefill budget of long prompts: two
// whole pieces.
const longTokens = 4000

// dequeue removes a job from the queue; it returns false if a worker has already taken it.
func (a *Agent) dequeue(j *job) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !j.queued {
		return false
	}
	j.queued = false
	a.queue.Cancel(j.id)
	delete(a.jobs, j.id)
	return true
}

// endDroppedJobs ends the jobs that the queue has dropped. The caller holds Agent.mu.
func (a *Agent) endDroppedJobs(now time.Time) {
	for _, removed := range a.queue.Dropped(now) {
		j, ok := a.jobs[removed.Item.ID]
		if !ok {
			continue
		}
		j.drop(dropFailure(removed))
		if j.queued {
			j.queued = false
			delete(a.jobs, j.id)
			close(j.events)
		}
	}
}

func dropFailure(removed sched.Removed) *failure.Error {
	kind := failure.Overloaded
	switch removed.Reason {
	case sched.RemovedExpired:
		kind = failure.DeadlineExceeded
	case sched.RemovedUnreachable:
		kind = failure.DeadlineUnreachable
	}
	e := retryable(kind, "left the queue: %s", removed.Reason)
	if removed.Started {
		e.Execution = failure.Ran
	}
	return e
}

// nextJob waits for the next job to run; it returns false if ctx ends first. No job is ready while the engine lacks the
// weight version in force.
func (a *Agent) nextJob(ctx context.Context) (*job, bool) {
	for {
		if j, ok := a.popJob(); ok {
			return j, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-a.wakeup:
		}
	}
}

func (a *Agent) popJob() (*job, bool) {
	if !a.weights.ready() {
		return nil, false
	}
	prefill, _ := a.rates.current()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	a.queue.SetPrefillRate(prefill)
	grant, ok := a.queue.Next(now)
	a.endDroppedJobs(now)
	if !ok {
		return nil, false
	}
	j := a.jobs[grant.Item.ID]
	j.queued = false
	j.priority = grant.Priority
	j.decisions = append(j.decisions, grant.Reasons()...)
	a.running++
	// The buffer of wakeup holds one value for several queued jobs, so each worker wakes the next one.
	a.wakeWorker()
	return j, true
}

// promptComputed reports to the queue that a job's prompt has been computed, so that the next prompt may start.
func (a *Agent) promptComputed(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.ChunkDone(j.id)
	a.wakeWorker()
}

// recordProgress charges one generated token to the job's account.
func (a *Agent) recordProgress(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Progress(j.id, 1)
}

func (a *Agent) finishJob(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.jobs, j.id)
	a.running--
	a.queue.Finish(j.id)
	a.wakeWorker()
}

func (a *Agent) wakeWorker() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}
