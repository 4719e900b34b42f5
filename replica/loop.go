package replica

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/raft/snap"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
	"github.com/wasabishunt/wasabishunt/supervise"
)

// inbound is a received message; data is the content of a snapshot.
type inbound struct {
	message *raftpb.Message
	data    []byte
}

// event is a report of another goroutine to the loop. One of applied, saved, transferred, transferLeadership and failed
// is set.
type event struct {
	// applied is the new applied index.
	applied uint64
	// saved is a snapshot that became durable.
	saved *raftpb.SnapshotMeta
	// transferred is the member to which a snapshot transfer ended; delivered is whether it succeeded.
	transferred uint64
	delivered   bool
	// transferLeadership starts a leadership transfer if the member leads.
	transferLeadership bool
	// failed is an error that stops the member.
	failed error
}

// drainState is the progress of a graceful stop.
type drainState struct {
	active, transferring bool
	deadline             time.Time
}

// maxBatch limits the queued messages, proposals or reads that one step of the loop processes. They share one sync.
const maxBatch = 1024

// maxApplyBatch limits the entries of one job of the applier.
const maxApplyBatch = 1024

// closedChannel is always ready.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// run is the loop that owns the core and the log.
func (r *Replica) run(ctx context.Context) {
	defer r.finish()
	defer func() {
		// After a panic the state of the core is unknown: the member stops, and its owner starts it again from the disk.
		if cause := recover(); cause != nil {
			r.fail(supervise.PanicError(r.log, "raft loop", cause))
		}
	}()
	if formed, err := r.form(ctx); err != nil || !formed {
		if err != nil {
			r.fail(err)
		}
		return
	}
	ticker := time.NewTicker(r.options.Tick)
	defer ticker.Stop()
	stopping := r.stopping
	for {
		began := time.Now()
		err := r.processReady()
		if refusedByFullDisk(err) {
			err = r.awaitRoom(err)
		}
		if err != nil {
			r.fail(err)
			return
		}
		var resumed chan struct{}
		if len(r.held) > 0 || time.Since(began) >= r.options.Tick {
			if err := r.stepArrived(); err != nil {
				r.fail(err)
				return
			}
			resumed = closedChannel
		}
		if r.drained() {
			return
		}
		select {
		case <-ticker.C:
			r.retryReads()
			r.tick()
			r.handOver()
			if err := r.shortenLog(); err != nil {
				r.fail(err)
				return
			}
		case m := <-r.inbox:
			r.tick()
			r.stepBatch(m)
		case p := <-r.proposals:
			r.tick()
			r.proposeBatch(p)
		case q := <-r.reads:
			r.tick()
			r.readBatch(q)
		case <-resumed:
			// What was stepped is processed without waiting for another event.
		case e := <-r.events:
			if err := r.handle(e); err != nil {
				r.fail(err)
				return
			}
		case <-stopping:
			stopping = nil
			r.drain = drainState{active: true, deadline: time.Now().Add(r.options.StopTimeout)}
		}
		if len(r.held) == 0 {
			r.tick()
		}
	}
}

// tick updates the core's time. It is called before other work of a step, so that a leader whose process was paused
// steps down first.
func (r *Replica) tick() { r.node.Tick(r.now()) }

func (r *Replica) fail(err error) {
	e := failure.Of(err)
	r.failed.Store(e)
	r.log.Error("raft member stopped after a failure", errno(err), r.logBytes(), r.lastSnapshotBytes(), r.diskSpace(), zap.Error(e))
}

// finish ends the other goroutines and answers all waiting callers.
func (r *Replica) finish() {
	close(r.done)
	r.cancel()
	close(r.applyJobs)
	for _, p := range r.pending {
		p.finish(outcome{err: failure.New(failure.OutcomeUnknown, failure.Unknown, "the member stopped before the command was applied")})
	}
	if err := r.storage.close(); err != nil {
		r.log.Warn("closing the log failed", zap.Error(err))
	}
}

// stepArrived handles what arrived during a slow sync before the time of the sync counts: what this member has not looked at is no silence of the
// others. Reports come first, because the limit of the log depends on what is applied and compacted.
func (r *Replica) stepArrived() error {
	r.node.Resume(r.now())
	for range len(r.events) {
		if err := r.handle(<-r.events); err != nil {
			return err
		}
	}
	if err := r.shortenLog(); err != nil {
		return err
	}
	r.stepQueued(len(r.held) + len(r.inbox))
	r.tick()
	return nil
}

func (r *Replica) stepBatch(m inbound) {
	r.step(m)
	r.stepQueued(maxBatch)
}

func (r *Replica) step(m inbound) {
	if entries := m.message.GetEntries(); len(entries) > 0 {
		accepted := r.acceptedEntries(entries)
		if accepted == 0 {
			r.metrics.dropped.Inc(1)
			return
		}
		m.message.Entries = entries[:accepted]
		for _, e := range m.message.GetEntries() {
			if !r.node.Holds(e) {
				r.addUnsaved(int64(len(e.GetData())))
			}
		}
	}
	if s := m.message.GetSnapshot(); s != nil {
		r.received[s.GetIndex()] = m.data
	}
	if err := r.node.Step(m.message); err != nil {
		r.log.Warn("raft message refused", zap.Error(err))
	}
}

// processReady does the work of the core's Ready until none is left.
func (r *Replica) processReady() error {
	for {
		ready := r.node.Ready()
		ready.Committed = r.nextCommitted(ready)
		if idle(ready) {
			break
		}
		if err := r.process(ready); err != nil {
			return err
		}
		r.node.Advance(ready)
	}
	clear(r.received)
	r.unsavedBytes = 0
	r.updateRole()
	r.publish()
	return nil
}

func idle(ready raft.Ready) bool {
	return !ready.MustSync() && len(ready.Messages) == 0 && len(ready.Committed) == 0 && len(ready.Reads) == 0
}

// nextCommitted returns the committed entries for the applier, none while it is busy. The entries stay in the core, so
// that a slow state machine never blocks the loop.
func (r *Replica) nextCommitted(ready raft.Ready) []*raftpb.Entry {
	if r.applying > 0 || ready.Snapshot != nil {
		return nil
	}
	return ready.Committed[:min(len(ready.Committed), maxApplyBatch)]
}

// process does the work of one Ready. It syncs first: messages may be sent and entries applied only when the state that
// they depend on is durable.
func (r *Replica) process(ready raft.Ready) error {
	received := r.receivedSnapshot(ready)
	if err := r.checkLogLimit(ready); err != nil {
		return err
	}
	if ready.MustSync() {
		begin := time.Now()
		if err := r.awaitDisk(func() error { return r.storage.persist(ready, received) }); err != nil {
			return err
		}
		r.metrics.syncMicros.Update(time.Since(begin).Microseconds())
	}
	for _, m := range ready.Messages {
		r.transport.send(m)
	}
	if received != nil {
		r.savedIndex = received.Meta.GetIndex()
		r.failSkipped(received.Meta.GetIndex())
		r.submit(applyJob{install: received})
	} else if len(ready.Committed) > 0 {
		r.submit(applyJob{entries: ready.Committed, waiters: r.takeWaiters(ready.Committed)})
	}
	r.confirmReads(ready.Reads)
	return nil
}

func (r *Replica) receivedSnapshot(ready raft.Ready) *snap.Snapshot {
	if ready.Snapshot == nil {
		return nil
	}
	return &snap.Snapshot{Meta: ready.Snapshot, Data: r.received[ready.Snapshot.GetIndex()]}
}

// submit queues a job for the applier. It does not block: while a batch is being applied only an installed snapshot can
// be submitted, and the channel has room for one job.
func (r *Replica) submit(job applyJob) {
	r.applying++
	r.applyJobs <- job
}

// failSkipped fails the proposals whose entries are included in an installed snapshot: their results are unknown here.
func (r *Replica) failSkipped(index uint64) {
	for i, p := range r.pending {
		if i <= index {
			delete(r.pending, i)
			p.finish(outcome{err: failure.New(failure.OutcomeUnknown, failure.Unknown, "the command may be part of an installed snapshot")})
		}
	}
}

func (r *Replica) handle(e event) error {
	switch {
	case e.failed != nil:
		return e.failed
	case e.transferLeadership:
		r.node.TransferLeadership()
	case e.applied > 0:
		r.applying--
		r.node.SetApplied(e.applied)
		r.releaseReads()
	case e.saved != nil:
		r.savedIndex = max(r.savedIndex, e.saved.GetIndex())
		r.commandSizes.snapshotSaved()
		r.room.askedAt = time.Time{}
		if r.node.Compact(e.saved, r.node.TrailingFrom(e.saved.GetIndex(), r.options.TrailingEntries, r.options.TrailingBytes)) {
			before := r.storage.wal.Bytes()
			if err := r.awaitDisk(func() error { return r.compact(e.saved) }); refusedByFullDisk(err) {
				// The compaction is made up for after the next snapshot.
				return nil
			} else if err != nil {
				return err
			}
			r.log.Info("raft log compacted", zap.Uint64("index", e.saved.GetIndex()), zap.Int64("bytes", before-r.storage.wal.Bytes()), r.logBytes(), r.lastSnapshotBytes())
		}
	case e.transferred != 0:
		r.node.ReportSnapshot(e.transferred, e.delivered)
	}
	return nil
}

func (r *Replica) compact(saved *raftpb.SnapshotMeta) error {
	if err := r.storage.compact(saved); err != nil {
		return err
	}
	if !r.logIsTooLong() && r.hasRoomFor(r.nextSnapshotBytes()) {
		return nil
	}
	if err := r.storage.dropSuperfluous(); err != nil {
		return err
	}
	r.freedIndex = saved.GetIndex()
	return nil
}

// report sends an event to the loop; it is dropped if the loop has ended.
func (r *Replica) report(e event) {
	select {
	case r.events <- e:
	case <-r.done:
	}
}

// publish makes the state of the core available to other goroutines.
func (r *Replica) publish() {
	s := r.node.Status()
	r.status.Store(&s)
	r.publishedAt.Store(int64(r.now()))
	r.freshAt.Store(int64(r.node.FreshAt()))
	r.setFreshUntil(r.node.FreshUntil())
	r.metrics.logBytes.Update(r.storage.wal.Bytes())
	r.metrics.snapshotBytes.Update(r.snapshotBytes.Load())
	r.transport.setMembers(s.Members.GetMembers())
}

// updateRole logs a change of leadership. If this member does not lead, it fails the uncommitted proposals, whose
// outcome it cannot determine any more.
func (r *Replica) updateRole() {
	s := r.node.Status()
	if s.Leader != r.lastLeader || s.Term != r.lastTerm {
		r.log.Info("raft leadership changed", zap.Uint64("leader", s.Leader), zap.Uint64("term", s.Term), zap.Stringer("raft_role", s.Role))
		r.lastLeader, r.lastTerm = s.Leader, s.Term
	}
	if s.Role == raft.Leader {
		return
	}
	for index, p := range r.pending {
		if index > s.Commit {
			delete(r.pending, index)
			p.finish(outcome{err: failure.New(failure.OutcomeUnknown, failure.Unknown, "leadership was lost before the command was committed")})
		}
	}
}

// drained advances a graceful stop and reports whether it is complete. The steps are: finish the accepted commands,
// transfer leadership, end.
func (r *Replica) drained() bool {
	if !r.drain.active {
		return false
	}
	leader := r.node.Status().Role == raft.Leader
	expired := time.Now().After(r.drain.deadline)
	switch {
	case !leader && (len(r.pending) == 0 && r.applying == 0 || expired):
		return true
	case !r.drain.transferring && (len(r.pending) == 0 || expired):
		r.drain.transferring = true
		r.drain.deadline = time.Now().Add(r.options.StopTimeout)
		if !r.node.TransferLeadership() {
			return true
		}
		if err := r.processReady(); err != nil {
			r.fail(err)
			return true
		}
	case r.drain.transferring && expired:
		return true
	}
	return false
}
