package replica

import (
	"context"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
)

// readRetryInterval is how long a read round may stay unanswered before its reads are retried in a new round.
const readRetryInterval = 300 * time.Millisecond

// readRequest is one waiting call of ReadBarrier.
type readRequest struct {
	ctx  context.Context
	done chan error
}

// readRound is a set of reads that share one ReadIndex call of the core.
type readRound struct {
	requests []*readRequest
	started  time.Time
	index    uint64
}

// ReadBarrier waits until the applied state holds everything that was committed before the call, so that a following
// read of the state machine is linearizable. It may be called on any member.
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
	r.lastRound++
	round.started = time.Now()
	r.rounds[r.lastRound] = round
	// Without a leader the round is retried until the contexts of its callers end.
	_ = r.node.ReadIndex(r.lastRound)
}

func (r *Replica) waitingReads() int {
	count := 0
	for _, round := range r.rounds {
		count += len(round.requests)
	}
	return count
}

func (round *readRound) finish(err error) {
	for _, request := range round.requests {
		request.done <- err
	}
}

// retryReads merges overdue rounds into a new one, without the reads whose contexts have ended.
func (r *Replica) retryReads() {
	retry := &readRound{}
	for id, round := range r.rounds {
		if time.Since(round.started) < readRetryInterval {
			continue
		}
		delete(r.rounds, id)
		for _, q := range round.requests {
			if q.ctx.Err() == nil {
				retry.requests = append(retry.requests, q)
			}
		}
	}
	if len(retry.requests) > 0 {
		r.tick()
		r.startRound(retry)
	}
}

// confirmReads moves the rounds that the core has confirmed to the confirmed rounds.
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
	waiting := r.confirmed[:0]
	for _, round := range r.confirmed {
		if round.index <= applied {
			round.finish(nil)
			continue
		}
		waiting = append(waiting, round)
	}
	r.confirmed = waiting
}
