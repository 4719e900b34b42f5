package control

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

func evacuateCommand(id, zone string, undo bool) *controlpb.Command {
	return &controlpb.Command{UnixMs: 1, Command: &controlpb.Command_Evacuate{Evacuate: &controlpb.EvacuateRequest{
		Operator: &controlpb.Operator{Name: "dana"}, OperationId: id, AvailabilityZone: zone, Undo: undo,
	}}}
}

// setWithZones returns a canonical set with these zones.
func setWithZones(t *testing.T, names ...string) []byte {
	t.Helper()
	set := &objectset.Set{}
	for _, name := range names {
		set.Zones = append(set.Zones, objectset.Zone{Name: name, Region: "r"})
	}
	parsed, err := objectset.Parse(set.Canonical())
	require.NoError(t, err)
	return parsed.Canonical()
}

// Guards against an operation id that is used for two evacuations, against a call that is sent again and brings back an ended evacuation, against an
// evacuation that a snapshot loses or the audit trail does not show, and against one that can't be ended once its zone has left the set.
func TestEvacuations(t *testing.T) {
	m := NewStateMachine()
	index := uint64(0)
	evacuate := func(id, zone string, undo bool) string {
		index++
		return m.Apply(index, evacuateCommand(id, zone, undo)).(*controlpb.EvacuateResponse).Failure.GetKind()
	}
	index++
	m.Apply(index, publishCommand("set1", 0, "dana", setWithZones(t, "z1", "z2")))
	require.Equal(t, string(failure.NotFound), evacuate("o0", "z9", false))
	require.Empty(t, evacuate("o1", "z2", false))
	require.Empty(t, evacuate("o2", "z1", false))
	_, revision := m.Positions()
	require.Empty(t, evacuate("o1", "z2", false), "the same call again")
	require.Empty(t, evacuate("o3", "z2", false), "a zone that is evacuated already")
	_, same := m.Positions()
	require.Equal(t, revision, same)
	require.Equal(t, string(failure.KeyConflict), evacuate("o1", "z1", false))
	require.Equal(t, string(failure.KeyConflict), evacuate("o1", "z2", true))
	require.Equal(t, string(failure.KeyConflict), evacuate("set1", "z2", true), "the id of a publish")
	require.Equal(t, []string{"z1", "z2"}, m.evacuatedZones())
	update := m.membershipChangesSince(0)
	require.Empty(t, evacuate("o4", "z1", true))
	require.Empty(t, evacuate("o2", "z1", false), "a late copy of the start")
	require.Equal(t, []string{"z2"}, m.evacuatedZones())
	require.Equal(t, []string{"z1", "z2"}, update.EvacuatedZones, "an update that was sent changed")
	require.Equal(t, []string{"z2"}, m.membershipChangesSince(update.Revision).GetEvacuatedZones())

	encoded, err := m.Snapshot()
	require.NoError(t, err)
	m = NewStateMachine()
	require.NoError(t, m.Restore(encoded))
	require.Equal(t, []string{"z2"}, m.evacuatedZones())
	require.Empty(t, evacuate("o2", "z1", false), "the outcomes are in the snapshot")
	require.Equal(t, []string{"z2"}, m.evacuatedZones())
	index++
	m.Apply(index, publishCommand("set2", 1, "dana", setWithZones(t, "z1")))
	require.Empty(t, evacuate("o5", "z2", true), "the zone has left the set")
	require.Empty(t, m.evacuatedZones())
	require.Equal(t, string(failure.NotFound), evacuate("o6", "z2", true))
	var actions []string
	for _, record := range m.auditPage(0, 100) {
		if record.Action == "evacuate" && record.Accepted {
			require.Equal(t, "dana", record.Operator)
			actions = append(actions, record.Reason)
		}
	}
	require.Equal(t, []string{"evacuate z2", "evacuate z1", "evacuate z2", "undo evacuation of z1", "undo evacuation of z2"}, actions)
}

// Guards against watchers that are not told of an evacuation when no process changes, and against a status without it.
func TestWatchersAreToldOfEvacuations(t *testing.T) {
	_, _, addresses := startGroup(t, 1, Options{})
	client := newClient(t, addresses)
	_, err := publish(t, client, "op1", 0, setWithZones(t, "z1"))
	require.NoError(t, err)
	stream, closeStream := watchStream(t, addresses[0], 1)
	defer closeStream()
	operator := &controlpb.Operator{Name: "dana", Token: operatorToken}
	for _, zone := range []string{"", "a/b"} {
		_, err = client.Evacuate(context.Background(), &controlpb.EvacuateRequest{Operator: operator, OperationId: "o0", AvailabilityZone: zone})
		require.True(t, failure.Is(err, failure.InvalidRequest), "%q", zone)
	}
	_, err = client.Evacuate(context.Background(), &controlpb.EvacuateRequest{Operator: operator, OperationId: "o1", AvailabilityZone: "z1"})
	require.NoError(t, err)
	told := make(chan error, 1)
	go func() {
		for {
			update, err := stream.Recv()
			if err != nil || len(update.GetMembership().GetEvacuatedZones()) == 1 {
				told <- err
				return
			}
		}
	}()
	select {
	case err := <-told:
		require.NoError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the watcher was not told")
	}
	status, err := client.StatusOf(t.Context(), addresses[0], true)
	require.NoError(t, err)
	require.Equal(t, []string{"z1"}, status.EvacuatedZones)
	require.EqualValues(t, 2, status.StateAgeMs, "1.5 ms, rounded up")
}
