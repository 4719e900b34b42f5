package replica

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/raft/wal"
)

const (
	// roomInterval is the pause between attempts to write to a full disk.
	roomInterval = 100 * time.Millisecond
	// snapshotRetryInterval is the pause after a snapshot that could not be saved.
	snapshotRetryInterval = time.Second
	// handOverInterval is the shortest time between two transfers of leadership for lack of room. Without a limit, members that all have
	// no room would pass the leadership around all the time.
	handOverInterval = 5 * time.Second
	// slowSnapshotLimit is how long a leader refuses commands before another member takes over. A snapshot takes a few syncs of up to 500 ms.
	slowSnapshotLimit = 2 * time.Second
)

// refusedByFullDisk reports whether an error is a write that can be repeated.
func refusedByFullDisk(err error) bool {
	return errors.As(err, new(*wal.FullError)) || diskfs.IsFull(err) && !errors.As(err, new(*wal.FailedError))
}

// WaitsForRoom reports whether the disk is full. The member then neither votes, leads, replicates nor answers reads.
func (r *Replica) WaitsForRoom() bool { return r.waitsForRoom.Load() }

// awaitRoom repeats the work that a full disk refused until it succeeds, or until the member is stopped. For the other members it is as if
// this one were paused: it sends nothing, because what it would say is not durable, and drops what it receives, except snapshots. Calls are refused at once,
// so that callers go to another member.
func (r *Replica) awaitRoom(cause error) error {
	r.waitsForRoom.Store(true)
	defer r.waitsForRoom.Store(false)
	began := time.Now()
	r.log.Error("raft member waits for room on its disk", errno(cause), r.logBytes(), r.lastSnapshotBytes(), r.diskSpace(), zap.Error(cause))
	ticker := time.NewTicker(roomInterval)
	defer ticker.Stop()
	// The leader does not repeat a snapshot that was delivered, so the last one is kept.
	var snapshot *inbound
	for _, m := range r.held {
		if m.message.GetSnapshot() != nil {
			snapshot = &m
			continue
		}
		r.metrics.dropped.Inc(1)
	}
	r.held = nil
	// Only a newer snapshot makes more superfluous, and it takes reading a snapshot to know what that is.
	freed := false
	for {
		if !freed {
			err := r.freeRoom()
			if err != nil && !refusedByFullDisk(err) {
				return err
			}
			freed = err == nil
		}
		r.requestSnapshot()
		err := r.processReady()
		if err == nil {
			r.log.Info("raft member has room on its disk again", zap.Duration("waited", time.Since(began)), r.logBytes(), r.lastSnapshotBytes())
			r.tick()
			if snapshot != nil {
				r.step(*snapshot)
			}
			return nil
		}
		if !refusedByFullDisk(err) {
			return err
		}
		for wait := true; wait; {
			select {
			case <-ticker.C:
				wait = false
				// A snapshot that does not fit takes the last room for a moment. Only a wait that is longer fails the calls.
				r.failWaiting()
			case m := <-r.inbox:
				if m.message.GetSnapshot() != nil {
					snapshot = &m
					continue
				}
				r.metrics.dropped.Inc(1)
			case p := <-r.proposals:
				if p.state.CompareAndSwap(proposalQueued, proposalDequeued) {
					p.finish(outcome{err: diskFull()})
				}
			case q := <-r.reads:
				q.done <- diskFull()
			case e := <-r.events:
				freed = freed && e.saved == nil
				if err := r.handle(e); err != nil && !refusedByFullDisk(err) {
					return err
				}
			case <-r.stopping:
				return err
			}
		}
	}
}

func diskFull() error {
	return failure.New(failure.StorageFailed, failure.NotRun, "the disk of this member is full")
}

// failWaiting answers the commands in the log, whose outcome is unknown, and refuses the reads that wait for a quorum or for the state
// machine.
func (r *Replica) failWaiting() {
	for _, p := range r.pending {
		p.finish(outcome{err: failure.New(failure.OutcomeUnknown, failure.Unknown, "the disk is full: the command is not durable yet")})
	}
	clear(r.pending)
	for _, round := range r.rounds {
		round.finish(diskFull())
	}
	clear(r.rounds)
	for _, round := range r.confirmed {
		round.finish(diskFull())
	}
	r.confirmed = nil
}

// logIsTooLong reports whether commands are refused until a snapshot has shortened the log. The commands that share the next sync count,
// because a queue of large ones is longer than a small disk.
func (r *Replica) logIsTooLong() bool {
	return r.options.MaxLogBytes > 0 && r.storage.wal.Bytes()+r.unsavedBytes > r.options.MaxLogBytes
}

// shortenLog removes what the newest snapshot makes superfluous if the log is too long and nothing was applied since that snapshot. A new snapshot
// would not shorten the log then, and its entries have to be taken: one of them may be what the commit of the others waits for.
func (r *Replica) shortenLog() error {
	if r.freedIndex >= r.savedIndex || !r.logIsTooLong() || r.node.Status().Applied > r.savedIndex {
		return nil
	}
	r.freedIndex = r.savedIndex
	err := r.awaitDisk(r.freeRoom)
	if refusedByFullDisk(err) {
		return nil
	}
	return err
}

// checkLogLimit refuses entries as a full disk does if no snapshot can be saved, and the log would exceed MaxLogBytes by more than a command, or by
// a half, or take the room of the next snapshot. A follower cannot refuse the commands of its leader, and a log that has taken the whole disk
// leaves no room for the snapshot that would shorten it. All entries of the sync count, because a follower that was behind gets many at once.
func (r *Replica) checkLogLimit(ready raft.Ready) error {
	if len(ready.Entries) == 0 || ready.Snapshot != nil {
		return nil
	}
	if r.lacksRoomFor(ready.Entries) {
		return &wal.FullError{Cause: failure.New(failure.StorageFailed, failure.NotRun, "the disk would have no room for the next snapshot")}
	}
	if !r.exceedsLogLimit(dataBytes(ready.Entries)) {
		return nil
	}
	return &wal.FullError{Cause: failure.New(failure.StorageFailed, failure.NotRun, "the log would have more than %d bytes and no snapshot could be saved", r.logLimit())}
}

// logLimit is the size that the log of a follower may have while no snapshot can be saved, 0 for no limit.
func (r *Replica) logLimit() int64 {
	return r.options.MaxLogBytes + min(r.options.MaxLogBytes/2, int64(r.options.MaxCommandBytes))
}

// exceedsLogLimit reports whether bytes more make the log too long for a member that could not save its last snapshot.
func (r *Replica) exceedsLogLimit(bytes int64) bool {
	limit := r.logLimit()
	return limit > 0 && r.snapshotFailed.Load() && r.storage.wal.Bytes()+bytes > limit
}

// handOver transfers the leadership if this member refuses commands because its disk has no room for the snapshot that would shorten the log, or
// takes too long to write it. The disks of the others may be better.
func (r *Replica) handOver() {
	if r.status.Load().Role != raft.Leader || r.refusedBytes > 0 && r.makeRoomFor(r.refusedBytes) {
		r.refusedBytes = 0
	}
	if !r.logIsTooLong() && r.refusedBytes == 0 {
		r.tooLongSince = time.Time{}
		return
	}
	if r.tooLongSince.IsZero() {
		r.tooLongSince = time.Now()
	}
	failing := r.snapshotFailed.Load() || time.Since(r.tooLongSince) >= slowSnapshotLimit
	if !failing || time.Since(r.handedOverAt) < handOverInterval {
		return
	}
	if r.node.TransferLeadership() {
		// A command that fits no disk causes one transfer each time it is refused.
		r.handedOverAt, r.refusedBytes = time.Now(), 0
	}
}

// requestSnapshot has the applier take a snapshot if it is idle and something was applied since the last one.
func (r *Replica) requestSnapshot() {
	if r.applying == 0 && r.node.Status().Applied > 0 {
		r.submit(applyJob{snapshot: true})
	}
}
