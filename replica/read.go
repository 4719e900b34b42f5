package replica

import (
	"context"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
)

// readRetry is how long a read round may stay unanswered before a new one is started.
const readRetry = 300 * time.Millisecond

// readRequest is one waiting read barrier.
type readRequest struct {
	ctx  context.Context
	done chan error
}

// readRound is a set of reads that share one confirmation.
type readRound struct {
	requests []*readRequest
	started  time.Time
	index    uint64
}

// ReadBarrier waits until the applied state holds everything that was committed before the call, so that a read of
// the state machine is linearizable. It may be called on any member.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	q := &readRequest{ctx: ctx, done: make(chan error, 1)}
	select {
	case <-r.done:
		return r.stopped()
	default:
	}
	select {
	case r.reads <- q:
	default:
		return failure.New(failure.Overloaded, failure.NotRun, "%d reads are queued", r.options.QueueLength)
	}
	select {
	case err := <-q.done:
		return err
	case <-ctx.Done():
		return failure.Wrap(ctx.Err(), failure.NoQuorum, failure.NotRun, "no quorum confirmed the read")
	case <-r.done:
		return r.stopped()
	}
}

func (r *Replica) readBatch(q *readRequest) {
	round := &readRound{requests: []*readRequest{q}}
	for range min(len(r.reads), maxBatch) {
		round.requests = append(round.requests, <-r.reads)
	}
	r.startRound(round)
}

func (r *Replica) startRound(round *readRound) {
	if r.waitingReads() > 4*r.options.QueueLength {
		round.finish(failure.New(failure.Overloaded, failure.NotRun, "too many reads wait for a quorum"))
		return
	}
	r.nextRound++
	round.started = time.Now()
	r.rounds[r.nextRound] = round
	// Without a leader the round stays and is retried until its callers give up.
	_ = r.node.ReadIndex(r.nextRound)
}

func (r *Replica) waitingReads() int {
	count := 0
	for _, round := range r.rounds {
		count += len(round.requests)
	}
	return count
}

func (q *readRound) finish(err error) {
	for _, request := range q.requests {
		request.done <- err
	}
}

// retryReads joins unanswered rounds into a new one, without the reads whose callers gave up.
func (r *Replica) retryReads() {
	again := &readRound{}
	for id, round := range r.rounds {
		if time.Since(round.started) < readRetry {
			continue
		}
		delete(r.rounds, id)
		for _, q := range round.requests {
			if q.ctx.Err() == nil {
				again.requests = append(again.requests, q)
			}
		}
	}
	if len(again.requests) > 0 {
		r.tick()
		r.startRound(again)
	}
}

func (r *Replica) confirmReads(states []raft.ReadState) {
	for _, s := range states {
		round, ok := r.rounds[s.Context]
		if !ok {
			continue
		}
		delete(r.rounds, s.Context)
		round.index = s.Index
		r.confirmed = append(r.confirmed, round)
	}
	if len(states) > 0 {
		r.releaseReads()
	}
}

// releaseReads answers the confirmed reads whose index is applied.
func (r *Replica) releaseReads() {
	applied := r.node.Status().Applied
	kept := r.confirmed[:0]
	for _, round := range r.confirmed {
		if round.index <= applied {
			round.finish(nil)
			continue
		}
		kept = append(kept, round)
	}
	r.confirmed = kept
}
