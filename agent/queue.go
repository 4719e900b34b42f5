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

// newQueue returns the upstream's queue. An engine takes a prompt as a whole, so one chunk is a whole prompt. The engine
// interleaves prompts by priority, so an urgent one is granted while a long one of a less urgent rank is computed; the
// limit of outstanding tokens keeps prompts of the same rank apart.
func newQueue(options Options) *sched.Queue {
	settings := sched.Defaults()
	settings.MaxQueued = options.MaxQueued
	settings.MaxRunning = options.Workers
	settings.WholePrompts = true
	settings.EnginePriorities = true
	return sched.New(settings, sched.Config{})
}

// configure takes ranks and weights of a new set.
func (a *Agent) configure(set *objectset.Set) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Configure(sched.ConfigOf(set))
}

// admissible refuses a job early that could not meet its deadline even if all of its whole pieces were in the engine's
// cache, before anything is fetched for it.
func (a *Agent) admissible(j *job) error {
	check := a.admission(j)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropLate(check.state.Now)
	tokens := j.promptTokens - int64(len(j.pieces))*piece.TokensPerPiece
	if refusal := check.decide(tokens).Refusal; refusal != nil {
		a.noteRefused(j, tokens)
		return refusal
	}
	return nil
}

// noteRefused counts refused work as demand of its rank, so that the rank earns its floor although none of its work waits.
// The caller holds Agent.mu.
func (a *Agent) noteRefused(j *job, tokens int64) {
	if !a.draining {
		a.queue.Refused(j.rank.Name, tokens)
	}
}

// admissionCheck asks admission about one job.
type admissionCheck struct {
	agent   *Agent
	request admission.Request
	state   admission.State
}

// admission collects what admission weighs beside the queue; it takes locks that are not taken under Agent.mu.
func (a *Agent) admission(j *job) admissionCheck {
	deadline, _ := j.ctx.Deadline()
	prefill, _ := a.rates.current()
	return admissionCheck{
		agent:   a,
		request: admission.Request{Account: j.account.Name, Rank: j.rank.Name, Deadline: deadline, VersionWait: a.weights.expectedWait()},
		state:   admission.State{Now: a.deps.Clock.Now(), PrefillRate: prefill, RunTime: a.rates.runTime()},
	}
}

// decide takes the number of tokens that the engine must compute. The caller holds Agent.mu.
func (c admissionCheck) decide(tokens int64) admission.Decision {
	c.request.PromptTokens, c.request.Draining = tokens, c.agent.draining
	c.state.Ahead = c.agent.queue.AheadOf(c.request.Rank, c.request.Account, tokens)
	return admission.Decide(c.agent.options.Admission, c.request, c.state)
}

// enqueue decides whether a job can meet its deadline with the tokens that are left to compute, then registers and
// queues it.
func (a *Agent) enqueue(j *job) error {
	check := a.admission(j)
	now := check.state.Now
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropLate(now)
	if _, exists := a.jobs[j.id]; exists {
		return failure.New(failure.InvalidRequest, failure.NotRun, "request id %s is in use", j.id)
	}
	tokens := max(0, j.promptTokens-j.cached)
	decision := check.decide(tokens)
	j.decisions = append(j.decisions, decision.Reasons()...)
	if decision.Refusal != nil {
		a.noteRefused(j, tokens)
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
	a.dropLate(now)
	a.wakeWorker()
	return nil
}

// longTokens marks prompts whose recomputation has its own prefill budget: two kept pieces or more.
const longTokens = 4000

// dequeue removes a job from the queue; it reports false when a worker already has it.
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

// dropLate ends the jobs that the queue has given up. The caller holds Agent.mu.
func (a *Agent) dropLate(now time.Time) {
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
	switch removed.Why {
	case sched.RemovedExpired:
		kind = failure.DeadlineExceeded
	case sched.RemovedUnreachable:
		kind = failure.DeadlineUnreachable
	}
	e := retryable(kind, "left the queue: %s", removed.Why)
	if removed.Started {
		e.Execution = failure.Ran
	}
	return e
}

// next waits for the next job to run. It gives out no work while the engine lacks the weight version in force.
func (a *Agent) next(ctx context.Context) (*job, bool) {
	for {
		if j, ok := a.takeNext(); ok {
			return j, true
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-a.wake:
		}
	}
}

func (a *Agent) takeNext() (*job, bool) {
	if !a.weights.ready() {
		return nil, false
	}
	prefill, _ := a.rates.current()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.deps.Clock.Now()
	a.queue.SetPrefillRate(prefill)
	grant, ok := a.queue.Next(now)
	a.dropLate(now)
	if !ok {
		return nil, false
	}
	j := a.jobs[grant.Item.ID]
	j.queued = false
	j.priority = grant.Priority
	j.decisions = append(j.decisions, grant.Reasons()...)
	a.running++
	// One wake-up value may stand for several pushed jobs, so each worker passes it on.
	a.wakeWorker()
	return j, true
}

// firstToken reports that a job's prompt has been computed; the next prompt may start.
func (a *Agent) firstToken(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.ChunkDone(j.id)
	a.wakeWorker()
}

// progress charges one generated token to the job's account.
func (a *Agent) progress(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Progress(j.id, 1)
}

func (a *Agent) finish(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.jobs, j.id)
	a.running--
	a.queue.Finish(j.id)
	a.wakeWorker()
}

func (a *Agent) wakeWorker() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
