package replica

import (
	"errors"
	"path/filepath"
	"slices"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/raft/snap"
	"github.com/wasabishunt/wasabishunt/raft/wal"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Directories below Options.Dir.
const (
	walName  = "wal"
	snapName = "snap"
)

// storage holds the log and the snapshots of one member.
type storage struct {
	wal   *wal.Log
	snaps *snap.Store
}

// loadedState is the state read from the disk at start.
type loadedState struct {
	state          raft.State
	snapshot       *snap.Snapshot
	truncatedBytes int64
	// forming is set for a first member with an empty directory that has to query other first members.
	forming   bool
	formation *formation
}

func openStorage(o Options) (*storage, loadedState, error) {
	snaps, err := snap.Open(o.FS, filepath.Join(o.Dir, snapName))
	if err != nil {
		return nil, loadedState{}, err
	}
	newest, err := snaps.Newest()
	if err != nil {
		return nil, loadedState{}, err
	}
	log, contents, err := wal.Open(wal.Options{
		FS: o.FS, Dir: filepath.Join(o.Dir, walName), Group: o.Group, MemberID: o.ID, SegmentBytes: o.SegmentBytes, MustExist: newest != nil,
	})
	if err != nil {
		return nil, loadedState{}, err
	}
	s := &storage{wal: log, snaps: snaps}
	// The directories and the formation record may have names that were not made durable before the last end of the process.
	var loaded loadedState
	if err = o.FS.SyncDir(o.Dir); err != nil {
		err = failure.Wrap(err, failure.StorageFailed, failure.NotRun, "sync the data directory")
	} else {
		loaded, err = s.load(o, contents, newest)
	}
	if err != nil {
		_ = log.Close()
		return nil, loadedState{}, err
	}
	return s, loaded, nil
}

func (s *storage) load(o Options, contents wal.Contents, newest *snap.Snapshot) (loadedState, error) {
	formation, err := openFormation(o.FS, o.Dir, !contents.Empty() || newest != nil)
	if err != nil {
		return loadedState{}, err
	}
	loaded := loadedState{snapshot: newest, truncatedBytes: contents.TruncatedBytes, formation: formation}
	switch {
	case contents.Empty() && newest == nil && len(o.Bootstrap) == 1:
		loaded.state, err = s.bootstrap(o)
		return loaded, err
	case contents.Empty() && newest == nil && len(o.Bootstrap) > 0:
		loaded.forming = true
		if _, err := firstState(o); err != nil {
			return loaded, err
		}
		return loaded, loaded.formation.createIncarnation()
	}
	loaded.state.HardState = contents.HardState
	if newest != nil {
		loaded.state.Snapshot = newest.Meta
	}
	entries, err := entriesAfter(contents, loaded.state.Snapshot)
	loaded.state.Entries = entries
	return loaded, err
}

// bootstrap makes the first state durable, before the member participates in the group.
func (s *storage) bootstrap(o Options) (raft.State, error) {
	state, err := firstState(o)
	if err != nil {
		return raft.State{}, err
	}
	return state, s.wal.Save(state.HardState, state.Entries)
}

func firstState(o Options) (raft.State, error) {
	if slices.ContainsFunc(o.Bootstrap, func(m *raftpb.Member) bool { return m.GetId() == o.ID }) {
		return raft.Bootstrap(o.Bootstrap)
	}
	return raft.State{}, failure.New(failure.InvalidRequest, failure.NotRun, "the list of first members does not contain member %d", o.ID)
}

// entriesAfter returns the entries that follow the snapshot. A log whose entry at the snapshot's index has another term
// is discarded: the snapshot was installed, and the process ended before it was marked in the log.
func entriesAfter(contents wal.Contents, snapshot *raftpb.SnapshotMeta) ([]*raftpb.Entry, error) {
	index := snapshot.GetIndex()
	entries := contents.Entries
	if contents.Mark.GetIndex() > index && (len(entries) == 0 || entries[0].GetIndex() > index+1) {
		return nil, failure.New(failure.StorageFailed, failure.NotRun, "the log requires snapshot %d, but the newest valid one is %d", contents.Mark.GetIndex(), index)
	}
	for len(entries) > 0 && entries[0].GetIndex() < index {
		entries = entries[1:]
	}
	if len(entries) > 0 && entries[0].GetIndex() == index {
		if entries[0].GetTerm() != snapshot.GetTerm() {
			return nil, nil
		}
		entries = entries[1:]
	}
	if len(entries) > 0 && entries[0].GetIndex() != index+1 {
		return nil, failure.New(failure.StorageFailed, failure.NotRun, "the log begins at entry %d, but the newest valid snapshot is %d", entries[0].GetIndex(), index)
	}
	return entries, nil
}

// persist saves a Ready in an order in which a crash between the steps is harmless: snapshot, mark in the log, entries.
func (s *storage) persist(ready raft.Ready, received *snap.Snapshot) error {
	if received != nil {
		if err := s.saveSnapshot(*received); err != nil && !failure.Is(err, failure.VersionConflict) {
			return err
		}
		if err := s.wal.Mark(received.Meta, true); err != nil {
			return err
		}
	}
	return s.wal.Save(ready.HardState, ready.Entries)
}

// compact marks a durable snapshot in the log and drops the segments that no stored snapshot needs.
func (s *storage) compact(meta *raftpb.SnapshotMeta) error {
	err := s.wal.Mark(meta, false)
	if refusedByFullDisk(err) {
		if err = s.dropSuperfluous(); err == nil {
			err = s.wal.Mark(meta, false)
		}
	}
	if err != nil {
		return err
	}
	oldest, err := s.snaps.Oldest()
	if err != nil {
		return err
	}
	return s.wal.DropBefore(oldest)
}

// saveSnapshot saves a snapshot, on a full disk in the place of the older one of those that are kept.
func (s *storage) saveSnapshot(snapshot snap.Snapshot) error {
	err := s.saveOrConfirm(snapshot)
	if !diskfs.IsFull(err) {
		return err
	}
	if dropped := s.snaps.DropOld(); dropped != nil {
		return errors.Join(err, dropped)
	}
	return s.saveOrConfirm(snapshot)
}

// saveOrConfirm saves a snapshot, or completes an earlier attempt that failed in its last step.
func (s *storage) saveOrConfirm(snapshot snap.Snapshot) error {
	err := s.snaps.Save(snapshot)
	if !failure.Is(err, failure.VersionConflict) {
		return err
	}
	if saved, unsynced := s.snaps.Confirm(snapshot.Meta.GetIndex()); saved || unsynced != nil {
		return unsynced
	}
	return err
}

// dropSuperfluous removes all segments and snapshots that the newest snapshot makes superfluous. Without a full disk another one is kept, in
// case the newest cannot be read; here it has been read.
func (s *storage) dropSuperfluous() error {
	if err := s.snaps.DropOld(); err != nil {
		return err
	}
	newest, err := s.snaps.Newest()
	if err != nil || newest == nil {
		return err
	}
	return s.wal.Shorten(newest.Meta.GetIndex())
}

func (s *storage) close() error { return s.wal.Close() }
