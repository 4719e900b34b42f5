package control

import (
	"bytes"
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/audit"
	"github.com/wasabishunt/wasabishunt/booking"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/membership"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// A snapshot is snapshotMagic followed by sections, each prefixed by its length (8 bytes, little-endian): the state
// without the bookings, then one section per booking shard. Older versions wrote a single StateSnapshot,
// whose encoding cannot start with the first byte of the magic.
const (
	snapshotMagic = "\x00WSTATE2"
	lengthBytes   = 8
)

// Snapshot returns the encoded state; equal states have equal snapshots.
func (s *StateMachine) Snapshot() ([]byte, error) { return s.Capture()() }

// Capture captures the current state and returns a function that encodes it, which may run on any goroutine while
// further commands are applied. Only lists are copied under the lock; the objects in them are immutable.
func (s *StateMachine) Capture() func() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	state := &controlpb.StateSnapshot{
		AppliedIndex: s.applied,
		History:      s.history.Snapshot(),
		Operations:   s.operations.list(),
		Membership:   s.members.Snapshot(),
		Audit:        s.trail.Snapshot(),
		LoadSlots:    s.slots.list(),
	}
	shards := s.bookings.Capture()
	return func() ([]byte, error) {
		sections := []proto.Message{state}
		for _, shard := range shards {
			sections = append(sections, shard.Snapshot())
		}
		return encodeSections(sections)
	}
}

// encodeSections allocates the whole snapshot at once, because growing the buffer would need several times its size.
func encodeSections(sections []proto.Message) ([]byte, error) {
	size := len(snapshotMagic)
	for _, section := range sections {
		size += lengthBytes + proto.Size(section)
	}
	encoded := append(make([]byte, 0, size), snapshotMagic...)
	for _, section := range sections {
		var err error
		if encoded, err = appendSection(encoded, section); err != nil {
			return nil, err
		}
	}
	return encoded, nil
}

func appendSection(encoded []byte, section proto.Message) ([]byte, error) {
	options := proto.MarshalOptions{Deterministic: true}
	start := len(encoded)
	encoded, err := options.MarshalAppend(binary.LittleEndian.AppendUint64(encoded, 0), section)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "encode snapshot")
	}
	binary.LittleEndian.PutUint64(encoded[start:], uint64(len(encoded)-start-lengthBytes))
	return encoded, nil
}

// decodeSnapshot returns the state without its bookings, and the bookings. It also reads the format of older versions.
func decodeSnapshot(encoded []byte) (*controlpb.StateSnapshot, *booking.Shards, error) {
	state, bookings := &controlpb.StateSnapshot{}, booking.NewShards(booking.Limits{})
	rest, sectioned := bytes.CutPrefix(encoded, []byte(snapshotMagic))
	if !sectioned {
		if err := proto.Unmarshal(encoded, state); err != nil {
			return nil, nil, failure.Wrap(err, failure.StorageFailed, failure.NotRun, "decode snapshot")
		}
		bookings.RestoreUndivided(state.Bookings)
		return state, bookings, nil
	}
	rest, err := cutSection(rest, state)
	for shard := 0; shard < booking.ShardCount && err == nil; shard++ {
		section := &controlpb.BookingSnapshot{}
		if rest, err = cutSection(rest, section); err == nil {
			err = bookings.RestoreShard(shard, section)
		}
	}
	if err == nil && len(rest) > 0 {
		err = failure.New(failure.StorageFailed, failure.NotRun, "the snapshot has %d bytes after its last section", len(rest))
	}
	return state, bookings, err
}

func cutSection(encoded []byte, section proto.Message) (rest []byte, err error) {
	if len(encoded) < lengthBytes || binary.LittleEndian.Uint64(encoded) > uint64(len(encoded)-lengthBytes) {
		return nil, failure.New(failure.StorageFailed, failure.NotRun, "a section of the snapshot is truncated")
	}
	end := lengthBytes + int(binary.LittleEndian.Uint64(encoded))
	if err := proto.Unmarshal(encoded[lengthBytes:end], section); err != nil {
		return nil, failure.Wrap(err, failure.StorageFailed, failure.NotRun, "decode snapshot")
	}
	return encoded[end:], nil
}

// Restore replaces the state with a snapshot. It refuses a snapshot that is older than the state.
func (s *StateMachine) Restore(encoded []byte) error {
	snapshot, bookings, err := decodeSnapshot(encoded)
	if err != nil {
		return err
	}
	history, err := objectset.RestoreHistory(snapshot.History)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if snapshot.AppliedIndex < s.applied {
		return failure.New(failure.Internal, failure.NotRun,
			"snapshot at index %d is older than the state at %d", snapshot.AppliedIndex, s.applied)
	}
	s.applied = snapshot.AppliedIndex
	s.history = history
	s.operations = newOutcomes(maxOutcomes)
	for _, outcome := range snapshot.Operations {
		s.operations.add(outcome)
	}
	s.bookings = bookings
	s.members = membership.Restore(snapshot.Membership)
	s.trail = audit.Restore(snapshot.Audit)
	s.slots = restoreLoadSlots(snapshot.LoadSlots)
	notifyChanged(&s.setChanged)
	notifyChanged(&s.membersChanged)
	return nil
}
