package control

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// setWithAccounts returns the canonical set with one account per name.
func setWithAccounts(t require.TestingT, names ...string) []byte {
	set := &objectset.Set{}
	for _, name := range names {
		set.Accounts = append(set.Accounts, objectset.Account{Name: name, Weight: 1})
	}
	parsed, err := objectset.Parse(set.Canonical())
	require.NoError(t, err)
	return parsed.Canonical()
}

func publishCommand(id string, expect uint64, operator string, document []byte) *controlpb.Command {
	return &controlpb.Command{UnixMs: 1, Command: &controlpb.Command_Publish{Publish: &controlpb.PublishCommand{
		Operator: operator, OperationId: id, ExpectVersion: expect, Document: compress(document),
		PayloadHash: fmt.Appendf(nil, "%s %d %s", operator, expect, document),
	}}}
}

func registerCommand(member uint64, process, incarnation string, draining bool) *controlpb.Command {
	return &controlpb.Command{UnixMs: 1, Command: &controlpb.Command_Presence{Presence: &controlpb.PresenceBatch{
		MemberId: member, Registrations: []*controlpb.PresenceRequest{{
			ProcessId: process, Incarnation: incarnation, Role: "agent", Serves: "u1", Address: "127.0.1.1:7300", Draining: draining,
		}},
	}}}
}

func deadCommand(member uint64, process string, epoch uint64) *controlpb.Command {
	return &controlpb.Command{UnixMs: 1, Command: &controlpb.Command_Presence{Presence: &controlpb.PresenceBatch{
		MemberId: member, Processes: []*controlpb.ProcessState{{ProcessId: process, Epoch: epoch, State: "dead"}},
	}}}
}

// Guards against an operator who overwrites a version published by another since the expected one.
func TestTwoOperatorsWithTheSameVersion(t *testing.T) {
	m := NewStateMachine()
	first := m.Apply(1, publishCommand("op1", 0, "dana", setWithAccounts(t, "a"))).(*controlpb.PublishResponse)
	require.Equal(t, uint64(1), first.Version)
	second := m.Apply(2, publishCommand("op2", 0, "eli", setWithAccounts(t, "b"))).(*controlpb.PublishResponse)
	require.Equal(t, string(failure.VersionConflict), second.Failure.Kind)
	require.Equal(t, "dana", second.CurrentOperator)
	require.Equal(t, int64(1), second.CurrentUnixMs)
	page := m.auditPage(0, 10)
	require.Len(t, page, 2)
	require.False(t, page[1].Accepted)
}

// Guards against a resend that publishes twice, also after a restore, and against an operation id that is reused for
// another change.
func TestResendReturnsTheFirstOutcome(t *testing.T) {
	m := NewStateMachine()
	command := publishCommand("op1", 0, "dana", setWithAccounts(t, "a"))
	first := m.Apply(1, command)
	m.Apply(2, publishCommand("op2", 1, "dana", setWithAccounts(t, "b")))
	encoded, err := m.Snapshot()
	require.NoError(t, err)
	restored := NewStateMachine()
	require.NoError(t, restored.Restore(encoded))
	require.True(t, proto.Equal(first, restored.Apply(3, command)))
	_, version := restored.CurrentSet()
	require.Equal(t, uint64(2), version)
	reused := restored.Apply(4, publishCommand("op1", 2, "dana", setWithAccounts(t, "c"))).(*controlpb.PublishResponse)
	require.Equal(t, string(failure.KeyConflict), reused.Failure.Kind)
	require.Nil(t, restored.Apply(4, command), "an index is applied once")
	require.Error(t, m.Restore(func() []byte { b, _ := NewStateMachine().Snapshot(); return b }()), "older snapshot")
}

// Guards against a process that counts as live while any source reports it as leaving.
func TestLeavingWins(t *testing.T) {
	state := func(m *StateMachine) string { return m.processes()[0].State }
	m := NewStateMachine()
	vm := func(leaving bool, version uint64) *controlpb.Command {
		return &controlpb.Command{Command: &controlpb.Command_Presence{Presence: &controlpb.PresenceBatch{
			Vms: []*controlpb.VMState{{Vm: "vm1", Address: "127.0.1.1", Leaving: leaving, Version: version}},
		}}}
	}
	drain := func(id string, undo bool) *controlpb.Command {
		return &controlpb.Command{Command: &controlpb.Command_Drain{Drain: &controlpb.DrainRequest{OperationId: id, Upstream: "u1", Undo: undo}}}
	}
	steps := []struct {
		command *controlpb.Command
		state   string
	}{
		{registerCommand(1, "p", "i1", false), "live"},
		{vm(true, 5), "leaving"},
		{vm(false, 4), "leaving"},
		{vm(false, 5), "leaving"},
		{drain("o1", false), "leaving"},
		{vm(false, 6), "leaving"},
		{deadCommand(1, "p", 1), "leaving"},
		{registerCommand(1, "p", "i2", true), "leaving"},
		{drain("o2", true), "leaving"},
		{registerCommand(1, "p", "i2", false), "live"},
		{deadCommand(2, "p", 2), "live"},
		{deadCommand(1, "p", 1), "live"},
		{deadCommand(1, "p", 2), "dead"},
		{registerCommand(2, "p", "i2", false), "live"},
	}
	for i, step := range steps {
		m.Apply(uint64(i+1), step.command)
		require.Equal(t, step.state, state(m), "step %d", i)
	}
}

// Guards against an old incarnation that is active together with the new one, and against a lost process whose booking
// stays dispatched forever.
func TestNewIncarnationFencesTheOld(t *testing.T) {
	m := NewStateMachine()
	first := m.Apply(1, registerCommand(1, "p", "i1", false)).(*controlpb.PresenceResponse)
	key := &controlpb.BookingKey{Account: "a", IdempotencyKey: "k"}
	m.Apply(2, &controlpb.Command{Command: &controlpb.Command_ClaimBooking{ClaimBooking: &controlpb.ClaimBookingRequest{Key: key, ClaimId: "c"}}})
	dispatch := func(id string, epoch uint64) *controlpb.Command {
		return &controlpb.Command{Command: &controlpb.Command_DispatchBooking{DispatchBooking: &controlpb.DispatchBookingRequest{
			Key: key, ClaimEpoch: 1, DispatchId: id, ProcessId: "p", ProcessEpoch: epoch,
		}}}
	}
	require.False(t, m.Apply(3, dispatch("d0", first.Epoch+1)).(*controlpb.BookingResponse).Granted)
	require.True(t, m.Apply(4, dispatch("d1", first.Epoch)).(*controlpb.BookingResponse).Granted)
	second := m.Apply(5, registerCommand(1, "p", "i2", false)).(*controlpb.PresenceResponse)
	require.Greater(t, second.Epoch, first.Epoch)
	secondClaim := m.Apply(6, &controlpb.Command{Command: &controlpb.Command_ClaimBooking{ClaimBooking: &controlpb.ClaimBookingRequest{Key: key, ClaimId: "c2"}}})
	require.Equal(t, string(failure.OutcomeUnknown), secondClaim.(*controlpb.BookingResponse).Failure.Kind)
	late := m.Apply(7, registerCommand(1, "p", "i1", false)).(*controlpb.PresenceResponse)
	require.Equal(t, string(failure.Fenced), late.Failure.Kind)
}

// Guards against more engines of a deployment loading weights at once than allowed.
func TestLoadSlots(t *testing.T) {
	m := NewStateMachine()
	index := uint64(0)
	acquire := func(now int64, upstream string, epoch uint64) *controlpb.LoadSlotResponse {
		index++
		return m.Apply(index, &controlpb.Command{UnixMs: now, Command: &controlpb.Command_AcquireLoadSlot{
			AcquireLoadSlot: &controlpb.LoadSlotRequest{Deployment: "d", Upstream: upstream, Epoch: epoch},
		}}).(*controlpb.LoadSlotResponse)
	}
	require.True(t, acquire(0, "u1", 1).Granted)
	require.True(t, acquire(0, "u2", 2).Granted)
	require.False(t, acquire(0, "u3", 3).Granted)
	require.True(t, acquire(0, "u1", 1).Granted, "renewal")
	require.Equal(t, string(failure.Fenced), acquire(0, "u2", 1).Failure.GetKind())
	granted := acquire(slotLeaseMs, "u3", 3)
	require.True(t, granted.Granted)
	require.Less(t, granted.LeaseMs, int64(slotLeaseMs))
}

// randomCommand draws from a few ids, so that resends and late messages are frequent.
func randomCommand(t *rapid.T) *controlpb.Command {
	pick := func(name string, n int) string { return fmt.Sprintf("%s%d", name, rapid.IntRange(0, n).Draw(t, name)) }
	key := &controlpb.BookingKey{Account: "a", IdempotencyKey: pick("k", 2)}
	epoch := rapid.Uint64Range(0, 4).Draw(t, "epoch")
	commands := []func() *controlpb.Command{
		func() *controlpb.Command {
			return publishCommand(pick("op", 4), rapid.Uint64Range(0, 5).Draw(t, "expect"), "dana", setWithAccounts(t, pick("account", 3)))
		},
		func() *controlpb.Command { return registerCommand(epoch, pick("p", 2), pick("i", 3), epoch == 1) },
		func() *controlpb.Command {
			return deadCommand(rapid.Uint64Range(0, 4).Draw(t, "m"), pick("p", 2), epoch)
		},
		func() *controlpb.Command {
			return &controlpb.Command{Command: &controlpb.Command_ClaimBooking{ClaimBooking: &controlpb.ClaimBookingRequest{
				Key: key, ClaimId: pick("c", 3), IssuedUnixMs: int64(epoch) * 1000,
			}}}
		},
		func() *controlpb.Command {
			return &controlpb.Command{Command: &controlpb.Command_DispatchBooking{DispatchBooking: &controlpb.DispatchBookingRequest{
				Key: key, ClaimEpoch: epoch, DispatchId: pick("d", 3), ProcessId: pick("p", 2),
			}}}
		},
		func() *controlpb.Command {
			return &controlpb.Command{Command: &controlpb.Command_FinishBooking{FinishBooking: &controlpb.FinishBookingRequest{
				Key: key, DispatchId: pick("d", 3), InDoubt: epoch == 0,
			}}}
		},
		func() *controlpb.Command {
			return &controlpb.Command{Command: &controlpb.Command_RetireBookings{RetireBookings: &controlpb.RetireBookings{
				RetiredBeforeUnixMs: int64(epoch) * 100,
			}}}
		},
		func() *controlpb.Command {
			return &controlpb.Command{Command: &controlpb.Command_Drain{Drain: &controlpb.DrainRequest{OperationId: pick("op", 4), Upstream: "u1", Undo: epoch == 1}}}
		},
		func() *controlpb.Command { return evacuateCommand(pick("op", 4), pick("z", 2), epoch == 1) },
		func() *controlpb.Command {
			return &controlpb.Command{Command: &controlpb.Command_AcquireLoadSlot{AcquireLoadSlot: &controlpb.LoadSlotRequest{Deployment: "d", Upstream: pick("u", 3), Epoch: epoch}}}
		},
	}
	command := rapid.SampledFrom(commands).Draw(t, "command")()
	command.UnixMs = rapid.Int64Range(0, 20_000).Draw(t, "now")
	return command
}

// Guards against diverging members: one that restores a snapshot at any point must return the same results and end in
// the same state as one that does not. Versions, revisions and epochs must not decrease, and a repeated operation id
// must have one outcome.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, restored := NewStateMachine(), NewStateMachine()
		published := map[string]*controlpb.PublishResponse{}
		lastEpoch := uint64(0)
		for index := uint64(1); index <= uint64(rapid.IntRange(1, 40).Draw(t, "length")); index++ {
			command := randomCommand(t)
			version, revision := plain.Positions()
			result := plain.Apply(index, proto.Clone(command).(*controlpb.Command))
			require.True(t, proto.Equal(result, restored.Apply(index, proto.Clone(command).(*controlpb.Command))))
			nextVersion, nextRevision := plain.Positions()
			require.GreaterOrEqual(t, nextVersion, version)
			require.GreaterOrEqual(t, nextRevision, revision)
			if p, ok := result.(*controlpb.PublishResponse); ok && p.Version != 0 {
				id := command.GetPublish().OperationId
				if first := published[id]; first != nil {
					require.True(t, proto.Equal(first, p))
				}
				published[id] = p
			}
			for _, p := range plain.processes() {
				lastEpoch = max(lastEpoch, p.Epoch)
			}
			require.Equal(t, plain.members.Snapshot().LastEpoch, lastEpoch)
			if rapid.Bool().Draw(t, "snapshot") {
				encoded, err := restored.Snapshot()
				require.NoError(t, err)
				restored = NewStateMachine()
				require.NoError(t, restored.Restore(encoded))
			}
		}
		a, err := plain.Snapshot()
		require.NoError(t, err)
		b, err := restored.Snapshot()
		require.NoError(t, err)
		require.Equal(t, a, b)
	})
}
