package replica

import (
	"context"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// States of a proposal. Only a queued one can be withdrawn; once dequeued it may enter the log.
const (
	proposalQueued int32 = iota
	proposalDequeued
	proposalWithdrawn
)

type outcome struct {
	result proto.Message
	err    error
}

// proposal is a command or membership change that is to be replicated.
type proposal struct {
	data   []byte
	change *raft.Change
	state  atomic.Int32
	term   uint64
	done   chan outcome
}

// finish answers the proposer. It is called at most once.
func (p *proposal) finish(o outcome) { p.done <- o }

// Propose replicates a command and returns the result of applying it. The execution of an error is not_run only if the
// command cannot have entered the log; otherwise it is unknown and the caller must resend with the same operation id.
func (r *Replica) Propose(ctx context.Context, data []byte) (proto.Message, error) {
	if len(data) > r.options.MaxCommandBytes {
		return nil, failure.New(failure.BodyTooLarge, failure.NotRun, "command of %d bytes, the limit is %d", len(data), r.options.MaxCommandBytes)
	}
	return r.propose(ctx, &proposal{data: data, done: make(chan outcome, 1)})
}

// ChangeMembers replicates one membership change and returns the new member list.
func (r *Replica) ChangeMembers(ctx context.Context, change raft.Change) ([]*raftpb.Member, error) {
	result, err := r.propose(ctx, &proposal{change: &change, done: make(chan outcome, 1)})
	if err != nil {
		return nil, err
	}
	return result.(*raftpb.Members).GetMembers(), nil
}

func (r *Replica) propose(ctx context.Context, p *proposal) (proto.Message, error) {
	select {
	case <-r.done:
		return nil, r.stopped()
	case <-r.stopping:
		return nil, r.stopped()
	default:
	}
	select {
	case r.proposals <- p:
	default:
		return nil, failure.New(failure.Overloaded, failure.NotRun, "%d proposals are queued", r.options.QueueLength)
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
		return p.withdraw(failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.NotRun, "proposal withdrawn from the queue"))
	case <-r.done:
		return p.withdraw(r.stopped())
	}
}

// withdraw ends the wait for a proposal. It fails with notRun if the proposal was still queued; otherwise it returns the
// outcome if there is one already, or an error of unknown outcome.
func (p *proposal) withdraw(notRun *failure.Error) (proto.Message, error) {
	if p.state.CompareAndSwap(proposalQueued, proposalWithdrawn) {
		return nil, notRun
	}
	select {
	case o := <-p.done:
		return o.result, o.err
	default:
		return nil, failure.Wrap(notRun.Cause, failure.OutcomeUnknown, failure.Unknown, "the wait ended before the command in the log was applied")
	}
}

func (r *Replica) stopped() *failure.Error {
	if e := r.failed.Load(); e != nil {
		return failure.Wrap(e, failure.StorageFailed, failure.NotRun, "the member stopped after a failure")
	}
	return failure.New(failure.Draining, failure.NotRun, "the member is stopping")
}

// proposeBatch appends p and the queued proposals; the batch shares one sync and one round of messages.
func (r *Replica) proposeBatch(p *proposal) {
	r.proposeOne(p)
	for range min(len(r.proposals), maxBatch) {
		r.proposeOne(<-r.proposals)
	}
	r.node.Replicate()
}

func (r *Replica) proposeOne(p *proposal) {
	if !p.state.CompareAndSwap(proposalQueued, proposalDequeued) {
		return
	}
	r.metrics.proposals.Inc(1)
	index, term, err := r.appendProposal(p)
	if err != nil {
		p.finish(outcome{err: err})
		return
	}
	p.term = term
	r.addUnsaved(int64(len(p.data)))
	r.pending[index] = p
}

func (r *Replica) appendProposal(p *proposal) (index, term uint64, err error) {
	s := r.status.Load()
	switch {
	case r.drain.active:
		return 0, 0, r.stopped()
	case s.Commit-min(s.Applied, s.Commit) > r.options.MaxUnapplied:
		return 0, 0, failure.New(failure.Overloaded, failure.NotRun, "the state machine is %d entries behind", s.Commit-s.Applied)
	case p.change != nil:
		return r.node.ProposeChange(*p.change)
	case r.logIsTooLong():
		r.requestSnapshot()
		return 0, 0, failure.New(failure.StorageFailed, failure.NotRun, "the log has reached %d bytes and waits for a snapshot", r.options.MaxLogBytes)
	case !r.makeRoomFor(int64(len(p.data))):
		r.refusedBytes = int64(len(p.data))
		r.requestSnapshot()
		return 0, 0, failure.New(failure.StorageFailed, failure.NotRun, "the disk has no room for a command of %d bytes and the next snapshot", len(p.data))
	}
	return r.node.Propose(p.data)
}

// takeWaiters removes the pending proposals of committed entries and returns them, aligned with the entries. A proposal
// whose index holds an entry of another term fails with an unknown outcome.
func (r *Replica) takeWaiters(entries []*raftpb.Entry) []*proposal {
	waiters := make([]*proposal, len(entries))
	for i, e := range entries {
		p, ok := r.pending[e.GetIndex()]
		if !ok {
			continue
		}
		delete(r.pending, e.GetIndex())
		if p.term != e.GetTerm() {
			p.finish(outcome{err: failure.New(failure.OutcomeUnknown, failure.Unknown, "the command was replaced in the log by an entry of another leader")})
			continue
		}
		waiters[i] = p
	}
	return waiters
}
