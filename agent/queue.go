package agent

import (
	"context"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

// Work is what a Scheduler sees of a request.
type Work struct {
	ID      string
	Account string
	Rank    string
	// Weight is the account's share within a rank.
	Weight       float64
	PromptTokens int64
	// CachedTokens of the prompt are expected in the engine's cache.
	CachedTokens int64
	MaxTokens    int64
	Arrived      time.Time
	Deadline     time.Time
}

// Scheduler orders queued work. It is called under the agent's lock and does no I/O.
type Scheduler interface {
	// Push queues work, or refuses it with a typed failure.
	Push(work Work, now time.Time) error
	// Next removes and returns the id of the work to run now.
	Next(now time.Time) (id string, ok bool)
	// Cancel removes queued work.
	Cancel(id string)
	// Done reports the end of a run that Next returned, with the prompt tokens it computed.
	Done(id string, computedTokens int64)
	// Queued returns the queued requests and their prompt tokens.
	Queued() (requests, tokens int64)
}

// FIFO is a bounded queue in order of arrival.
type FIFO struct {
	limit  int
	queue  []Work
	tokens int64
}

// NewFIFO returns an empty queue that takes at most limit requests.
func NewFIFO(limit int) *FIFO { return &FIFO{limit: limit} }

// Push implements Scheduler.
func (f *FIFO) Push(work Work, _ time.Time) error {
	if len(f.queue) >= f.limit {
		e := failure.New(failure.Overloaded, failure.NotRun, "the queue holds %d requests", len(f.queue))
		e.RetryAfter = time.Second
		return e
	}
	f.queue = append(f.queue, work)
	f.tokens += work.PromptTokens
	return nil
}

// Next implements Scheduler.
func (f *FIFO) Next(time.Time) (string, bool) {
	if len(f.queue) == 0 {
		return "", false
	}
	work := f.queue[0]
	f.remove(0)
	return work.ID, true
}

// Cancel implements Scheduler.
func (f *FIFO) Cancel(id string) {
	for i, work := range f.queue {
		if work.ID == id {
			f.remove(i)
			return
		}
	}
}

func (f *FIFO) remove(i int) {
	f.tokens -= f.queue[i].PromptTokens
	f.queue = append(f.queue[:i], f.queue[i+1:]...)
}

// Done implements Scheduler.
func (f *FIFO) Done(string, int64) {}

// Queued implements Scheduler.
func (f *FIFO) Queued() (int64, int64) { return int64(len(f.queue)), f.tokens }

// enqueue registers and queues a job.
func (a *Agent) enqueue(j *job, work Work) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, exists := a.jobs[j.id]; exists {
		return failure.New(failure.InvalidRequest, failure.NotRun, "request id %s is in use", j.id)
	}
	if err := a.queue.Push(work, a.deps.Clock.Now()); err != nil {
		return err
	}
	j.queued = true
	a.jobs[j.id] = j
	a.wakeWorker()
	return nil
}

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
	a.mu.Lock()
	defer a.mu.Unlock()
	id, ok := a.queue.Next(a.deps.Clock.Now())
	if !ok {
		return nil, false
	}
	j := a.jobs[id]
	j.queued = false
	a.running++
	// One wake-up value may stand for several pushed jobs, so each worker passes it on.
	a.wakeWorker()
	return j, true
}

func (a *Agent) finish(j *job, computed int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.jobs, j.id)
	a.running--
	a.queue.Done(j.id, computed)
	a.wakeWorker()
}

func (a *Agent) wakeWorker() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
