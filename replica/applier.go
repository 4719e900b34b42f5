package replica

import (
	"context"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft/snap"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
	"github.com/wasabishunt/wasabishunt/supervise"
)

// applyJob is a batch of committed entries, or a received snapshot that is already durable, or a request to take a snapshot.
type applyJob struct {
	entries []*raftpb.Entry
	waiters []*proposal
	install *snap.Snapshot
	// snapshot asks for a snapshot, however little was applied since the last one.
	snapshot bool
}

// applier owns the state machine.
type applier struct {
	replica *Replica
	machine StateMachine
	// last holds the index and term of the last applied entry and the member list at that entry.
	last *raftpb.SnapshotMeta
	// lastSnapshot is the index of the last captured or installed snapshot, and bytes the size of the commands applied since.
	lastSnapshot uint64
	bytes        int64
	// due is set if a snapshot was asked for.
	due bool
}

func newApplier(r *Replica, snapshot *raftpb.SnapshotMeta) *applier {
	a := &applier{replica: r, machine: r.options.StateMachine, last: &raftpb.SnapshotMeta{}}
	if snapshot != nil {
		a.last = proto.CloneOf(snapshot)
		a.lastSnapshot = snapshot.GetIndex()
	}
	return a
}

func (a *applier) run() {
	defer close(a.replica.saveJobs)
	for job := range a.replica.applyJobs {
		if err := a.runJob(job); err != nil {
			a.replica.report(event{failed: err})
			continue
		}
		a.replica.report(event{applied: a.last.GetIndex()})
		a.due = a.due || job.snapshot
		a.maybeSnapshot()
	}
}

// runJob runs a job and converts a panic of the state machine to an error.
func (a *applier) runJob(job applyJob) (err error) {
	panicked := supervise.Call(a.replica.log, "state machine", func() { err = a.executeJob(job) })
	if panicked != nil {
		return panicked
	}
	return err
}

func (a *applier) executeJob(job applyJob) error {
	if job.install != nil {
		return a.install(job.install)
	}
	for i, e := range job.entries {
		result, err := a.apply(e)
		if err != nil {
			return err
		}
		if p := job.waiters[i]; p != nil {
			p.finish(outcome{result: result})
		}
	}
	return nil
}

func (a *applier) apply(e *raftpb.Entry) (result proto.Message, err error) {
	if e.GetIndex() <= a.last.GetIndex() {
		return nil, failure.New(failure.Internal, failure.Unknown, "entry %d is at or before the last applied entry %d", e.GetIndex(), a.last.GetIndex())
	}
	switch e.GetType() {
	case raftpb.EntryType_ENTRY_COMMAND:
		result = a.machine.Apply(e.GetIndex(), e.GetData())
	case raftpb.EntryType_ENTRY_MEMBERS:
		members := &raftpb.Members{}
		if err := proto.Unmarshal(e.GetData(), members); err != nil {
			return nil, failure.Wrap(err, failure.StorageFailed, failure.Unknown, "member list in entry %d", e.GetIndex())
		}
		a.last.Members = members
		result = members
	}
	a.last.Index, a.last.Term = e.GetIndex(), e.GetTerm()
	a.bytes += int64(len(e.GetData()))
	return result, nil
}

func (a *applier) install(s *snap.Snapshot) error {
	if s.Meta.GetIndex() <= a.last.GetIndex() {
		return nil
	}
	if err := a.machine.Restore(s.Data); err != nil {
		return failure.Wrap(err, failure.StorageFailed, failure.Unknown, "install snapshot %d", s.Meta.GetIndex())
	}
	a.last = proto.CloneOf(s.Meta)
	a.lastSnapshot, a.bytes = s.Meta.GetIndex(), 0
	a.replica.snapshotBytes.Store(int64(len(s.Data)))
	return nil
}

// saveJob is a captured state that the saver encodes and writes.
type saveJob struct {
	meta   *raftpb.SnapshotMeta
	encode func() ([]byte, error)
}

// isSnapshotDue reports whether enough was applied since the last snapshot, or the last one could not be saved a while ago. The bytes grow
// with the state, so that the log stays within a small multiple of it and a large state is not written all the time.
func (a *applier) isSnapshotDue() bool {
	if retryAt := a.replica.snapshotRetryAt.Load(); retryAt != 0 {
		return int64(a.replica.now()) >= retryAt
	}
	o := a.replica.options
	applied := a.last.GetIndex() - a.lastSnapshot
	return applied >= o.SnapshotEvery || applied > 0 && (a.due || a.bytes >= max(o.SnapshotBytes, 2*a.replica.snapshotBytes.Load()))
}

// maybeSnapshot captures the state when a snapshot is due. The saver encodes and writes it, so that commands are delayed by the
// capture only.
func (a *applier) maybeSnapshot() {
	if !a.isSnapshotDue() || len(a.replica.saveJobs) > 0 {
		return
	}
	a.lastSnapshot, a.bytes, a.due = a.last.GetIndex(), 0, false
	a.replica.snapshotRetryAt.Store(0)
	// The applier is the only sender and the queue was empty, so this does not block.
	a.replica.saveJobs <- saveJob{meta: proto.CloneOf(a.last), encode: a.machine.Snapshot()}
}

// saveSnapshots encodes and writes snapshots until the applier ends.
func (r *Replica) saveSnapshots(ctx context.Context) {
	for job := range r.saveJobs {
		if ctx.Err() != nil {
			continue
		}
		data, err := job.encode()
		if err != nil {
			r.report(event{failed: failure.Wrap(err, failure.Internal, failure.Unknown, "encode the snapshot at %d", job.meta.GetIndex())})
			continue
		}
		job.meta.Bytes = uint64(len(data))
		r.saving.Store(true)
		err = r.storage.saveSnapshot(snap.Snapshot{Meta: job.meta, Data: data})
		r.saving.Store(false)
		switch {
		case failure.Is(err, failure.VersionConflict):
			// A newer snapshot was received in the meantime.
			r.snapshotFailed.Store(false)
		case err != nil:
			// The log holds everything that the snapshot would.
			r.metrics.snapshotsFailed.Inc(1)
			r.log.Warn("snapshot not saved", errno(err), zap.Uint64("index", job.meta.GetIndex()), zap.Int("bytes", len(data)), r.diskSpace(), zap.Error(err))
			r.snapshotFailed.Store(true)
			r.snapshotRetryAt.Store(int64(r.now() + snapshotRetryInterval))
		default:
			r.snapshotFailed.Store(false)
			r.snapshotBytes.Store(int64(len(data)))
			r.log.Info("snapshot saved", zap.Uint64("index", job.meta.GetIndex()), zap.Int("bytes", len(data)))
			r.report(event{saved: job.meta})
		}
	}
}
