package control

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/audit"
	"github.com/wasabishunt/wasabishunt/booking"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/membership"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// StateMachine is the replicated state. Apply is deterministic: its only source of time is Command.unix_ms.
// Invariants: the set version, the membership revision and the epochs never decrease, and an operation id has at most
// one outcome.
type StateMachine struct {
	mu         sync.RWMutex
	applied    uint64
	history    *objectset.History
	operations *outcomes
	bookings   *booking.Shards
	members    *membership.Table
	trail      *audit.Trail
	slots      *loadSlots
	// setChanged is closed when the set version changes, membersChanged when the membership revision changes.
	setChanged, membersChanged chan struct{}

	// document caches the canonical set of documentVersion.
	document        []byte
	documentVersion uint64
}

// NewStateMachine returns an empty state machine.
func NewStateMachine() *StateMachine {
	return &StateMachine{
		history:    objectset.NewHistory(),
		operations: newOutcomes(maxOutcomes),
		bookings:   booking.NewShards(booking.Limits{}),
		members:    membership.NewTable(),
		trail:      &audit.Trail{},
		slots:      newLoadSlots(),

		setChanged: make(chan struct{}), membersChanged: make(chan struct{}),
	}
}

// Apply executes one committed command and returns its result, or nil if the index was applied before.
func (s *StateMachine) Apply(index uint64, command *controlpb.Command) proto.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.applied {
		return nil
	}
	s.applied = index
	version, revision := s.positions()
	result := s.execute(command)
	v, r := s.positions()
	if v != version {
		notifyChanged(&s.setChanged)
	}
	if r != revision {
		notifyChanged(&s.membersChanged)
	}
	return result
}

// notifyChanged wakes all waiters by closing the channel, and replaces it.
func notifyChanged(changed *chan struct{}) {
	close(*changed)
	*changed = make(chan struct{})
}

// positions returns the set version and the membership revision.
func (s *StateMachine) positions() (version, revision uint64) {
	_, version = s.history.Current()
	return version, s.members.Revision()
}

func (s *StateMachine) execute(command *controlpb.Command) proto.Message {
	now := command.UnixMs
	switch c := command.Command.(type) {
	case *controlpb.Command_Publish:
		return s.publish(now, c.Publish)
	case *controlpb.Command_ClaimBooking:
		return s.bookings.Claim(now, c.ClaimBooking)
	case *controlpb.Command_DispatchBooking:
		return s.dispatch(c.DispatchBooking)
	case *controlpb.Command_FinishBooking:
		return s.bookings.Finish(c.FinishBooking)
	case *controlpb.Command_ReleaseBooking:
		return s.bookings.Release(c.ReleaseBooking)
	case *controlpb.Command_Presence:
		return s.presence(now, c.Presence)
	case *controlpb.Command_Drain:
		return s.drain(now, c.Drain)
	case *controlpb.Command_Evacuate:
		return s.evacuate(now, c.Evacuate)
	case *controlpb.Command_MemberAudit:
		return s.memberAudit(now, c.MemberAudit)
	case *controlpb.Command_AcquireLoadSlot:
		return s.acquireSlot(now, c.AcquireLoadSlot)
	case *controlpb.Command_ReleaseLoadSlot:
		return s.slots.release(c.ReleaseLoadSlot)
	case *controlpb.Command_RetireBookings:
		s.bookings.Retire(c.RetireBookings.RetiredBeforeUnixMs)
		s.members.RemoveExpired(now)
		return c.RetireBookings
	}
	return &controlpb.BookingResponse{Failure: failureMessage(
		failure.New(failure.Internal, failure.NotRun, "unknown command; this member runs an older release"))}
}

// dispatch refuses a process that was declared dead or replaced. The outcomes of its bookings became unknown at that
// moment, and a booking dispatched later would stay dispatched forever.
func (s *StateMachine) dispatch(q *controlpb.DispatchBookingRequest) proto.Message {
	r := s.members.Lookup(q.ProcessId)
	alive := r == nil || !r.Dead && (q.ProcessEpoch == 0 || q.ProcessEpoch == r.Epoch)
	return s.bookings.Dispatch(q, alive)
}

func (s *StateMachine) presence(now int64, batch *controlpb.PresenceBatch) proto.Message {
	response := &controlpb.PresenceResponse{}
	for _, registration := range batch.Registrations {
		record, fenced, err := s.members.Register(now, batch.MemberId, registration)
		if err != nil {
			response.Failure = failureMessage(err)
			continue
		}
		if fenced {
			s.bookings.ProcessLost(registration.ProcessId)
		}
		response.Epoch = record.Epoch
	}
	for _, p := range batch.Processes {
		if p.State == membership.Dead && s.members.DeclareDead(now, batch.MemberId, p.ProcessId, p.Epoch) {
			s.bookings.ProcessLost(p.ProcessId)
		}
	}
	if len(batch.Vms) > 0 {
		s.members.ObserveVMs(now, batch.Vms)
	}
	response.SetVersion, response.MembershipRevision = s.positions()
	return response
}

func (s *StateMachine) acquireSlot(now int64, q *controlpb.LoadSlotRequest) proto.Message {
	set, _ := s.history.Current()
	limit := defaultLoadSlots
	for i := range set.Deployments {
		if set.Deployments[i].Name == q.Deployment {
			limit = set.Deployments[i].MaxLoading
		}
	}
	return s.slots.acquire(now, q, limit)
}

// failureMessage encodes a typed error for the wire.
func failureMessage(err error) *controlpb.Failure {
	e := failure.Of(err)
	f := &controlpb.Failure{
		Kind: string(e.Kind), Message: e.Message, Execution: string(e.Execution),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
	if e.Cause != nil {
		f.Message += ": " + e.Cause.Error()
	}
	for _, p := range e.Problems {
		f.Problems = append(f.Problems, &controlpb.Problem{Path: p.Path, Message: p.Message})
	}
	return f
}
