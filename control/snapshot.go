package control

import (
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/audit"
	"github.com/wasabishunt/wasabishunt/booking"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/membership"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// Snapshot returns the whole state; equal states have equal snapshots.
func (s *StateMachine) Snapshot() ([]byte, error) {
	snapshot := s.collect()
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "encode snapshot")
	}
	return encoded, nil
}

func (s *StateMachine) collect() *controlpb.StateSnapshot {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return &controlpb.StateSnapshot{
		AppliedIndex: s.applied,
		History:      s.history.Snapshot(),
		Operations:   s.operations.list(),
		Bookings:     s.bookings.Snapshot(),
		Membership:   s.members.Snapshot(),
		Audit:        s.trail.Snapshot(),
		LoadSlots:    s.slots.list(),
	}
}

// Restore replaces the state by a snapshot. A snapshot older than the state is refused.
func (s *StateMachine) Restore(encoded []byte) error {
	snapshot := &controlpb.StateSnapshot{}
	if err := proto.Unmarshal(encoded, snapshot); err != nil {
		return failure.Wrap(err, failure.StorageFailed, failure.NotRun, "decode snapshot")
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
	s.bookings = booking.Restore(snapshot.Bookings, booking.Limits{})
	s.members = membership.Restore(snapshot.Membership)
	s.trail = audit.Restore(snapshot.Audit)
	s.slots = restoreLoadSlots(snapshot.LoadSlots)
	renew(&s.setChanged)
	renew(&s.membersChanged)
	return nil
}
