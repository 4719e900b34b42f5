package coregroup

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

func evacuationCommand(zone string, evacuated bool, operationID string) *nodepb.Command {
	return &nodepb.Command{Change: &nodepb.Command_SetEvacuation{SetEvacuation: &nodepb.SetEvacuation{AvailabilityZone: zone, Evacuated: evacuated, OperationId: operationID}}}
}

func (m *machine) applyEvacuation(t *testing.T, zone string, evacuated bool, operationID string) *nodepb.State {
	t.Helper()
	m.Apply(0, encode(t, evacuationCommand(zone, evacuated, operationID)))
	state, _ := m.read()
	return state
}

// Guards against a call that is sent again and counts as a change, and against a change that nodes cannot tell from the one before it.
func TestEvacuationsOfTheMachine(t *testing.T) {
	m := newMachine()
	require.EqualValues(t, 1, m.applyEvacuation(t, "b", true, "").GetEvacuationsRevision())
	require.EqualValues(t, 1, m.applyEvacuation(t, "b", true, "").GetEvacuationsRevision(), "the same call again")
	require.EqualValues(t, 1, m.applyEvacuation(t, "c", false, "").GetEvacuationsRevision(), "the end of no evacuation")
	before := m.applyEvacuation(t, "a", true, "")
	require.Equal(t, []string{"a", "b"}, before.GetEvacuatedZones())
	after := m.applyEvacuation(t, "b", false, "")
	require.Equal(t, []string{"a"}, after.GetEvacuatedZones())
	require.EqualValues(t, 3, after.GetEvacuationsRevision())
	require.Equal(t, []string{"a", "b"}, before.GetEvacuatedZones(), "snapshots hold the state before")
	m.Apply(0, encode(t, &nodepb.Command{Change: &nodepb.Command_Publish{Publish: &nodepb.PublishSet{Version: 1}}}))
	state, _ := m.read()
	require.Equal(t, []string{"a"}, state.GetEvacuatedZones(), "another change lost the evacuations")
	require.EqualValues(t, 3, state.GetEvacuationsRevision())
}

// Guards against an operation id that brings an ended evacuation back when its call is sent again, or that is used for two calls.
func TestEvacuationCallsWithAnOperationID(t *testing.T) {
	m := newMachine()
	m.applyEvacuation(t, "a", true, "one")
	m.applyEvacuation(t, "a", false, "two")
	state := m.applyEvacuation(t, "a", true, "one")
	require.Empty(t, state.GetEvacuatedZones(), "a late copy of the first call")
	state = m.applyEvacuation(t, "b", true, "one")
	require.Empty(t, state.GetEvacuatedZones(), "the id of another call")
	require.Equal(t, "a", evacuationCall(state, "one").GetAvailabilityZone())
	for i := range 2 * maxEvacuationCalls {
		state = m.applyEvacuation(t, "c", i%2 == 0, fmt.Sprint(i))
	}
	require.Len(t, state.GetEvacuationCalls(), maxEvacuationCalls)
	require.Equal(t, fmt.Sprint(maxEvacuationCalls), state.GetEvacuationCalls()[0].GetOperationId(), "the newest ones are kept, in order")
}

// Guards against refusing the copy of an accepted call whose zone is named nowhere any more, and against calls without an id that displace
// those with one.
func TestZonesOfEndedEvacuationsStayKnown(t *testing.T) {
	m := newMachine()
	require.False(t, HasSeenZone(m.applyEvacuation(t, "a", false, ""), "a"), "a call that changed nothing")
	require.True(t, HasSeenZone(m.applyEvacuation(t, "a", true, ""), "a"))
	m.applyEvacuation(t, "x", true, "one")
	require.True(t, HasSeenZone(m.applyEvacuation(t, "a", false, ""), "a"))
	var state *nodepb.State
	for i := range 3 * maxEvacuationCalls {
		zone := fmt.Sprint("z", i)
		m.applyEvacuation(t, zone, true, "")
		state = m.applyEvacuation(t, zone, false, "")
	}
	require.Len(t, state.GetEvacuationCalls(), maxEvacuationCalls+1)
	require.NotNil(t, evacuationCall(state, "one"))
	require.False(t, HasSeenZone(state, "a"))
}

// Guards against members that differ after the same log, against an evacuation that a snapshot loses or brings back, and against a revision that
// stays or falls when the zones change.
func TestEvacuationsSurviveSnapshotsAtAnyPoint(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			zone      string
			evacuated bool
			id        string
		}
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"), rapid.Bool().Draw(t, "evacuated"), rapid.SampledFrom([]string{"", "1", "2", "3"}).Draw(t, "id")}
		}), 1, 40).Draw(rt, "log")
		cut := rapid.IntRange(0, len(steps)-1).Draw(rt, "snapshot")
		whole, member := newMachine(), newMachine()
		restored := newMachine()
		for i, s := range steps {
			if i == cut {
				snapshot, err := member.Snapshot()()
				require.NoError(t, err)
				require.NoError(t, restored.Restore(snapshot))
			}
			before, _ := whole.read()
			after := whole.applyEvacuation(t, s.zone, s.evacuated, s.id)
			if changed := !slices.Equal(before.GetEvacuatedZones(), after.GetEvacuatedZones()); changed != (after.GetEvacuationsRevision() == before.GetEvacuationsRevision()+1) {
				rt.Fatalf("step %d: revision %d follows %d", i, after.GetEvacuationsRevision(), before.GetEvacuationsRevision())
			}
			member.applyEvacuation(t, s.zone, s.evacuated, s.id)
		}
		for _, s := range steps[cut:] {
			restored.applyEvacuation(t, s.zone, s.evacuated, s.id)
		}
		want, _ := whole.read()
		got, _ := restored.read()
		if !slices.Equal(want.GetEvacuatedZones(), got.GetEvacuatedZones()) || want.GetEvacuationsRevision() != got.GetEvacuationsRevision() {
			rt.Fatalf("with a snapshot before step %d: %v, without %v", cut, got, want)
		}
	})
}

// setEvacuationAt calls the members in turn until one acknowledges, as operators do.
func setEvacuationAt(t *testing.T, nodes []*testNode, zone string, evacuated bool, operationID string) error {
	t.Helper()
	var err error
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			err = n.group.SetEvacuation(ctx, &nodepb.SetEvacuation{AvailabilityZone: zone, Evacuated: evacuated, OperationId: operationID})
			cancel()
			if err == nil || failure.Is(err, failure.KeyConflict) {
				return true
			}
		}
		return false
	}, convergenceTimeout, 10*time.Millisecond)
	return err
}

func evacuatedAt(t *testing.T, n *testNode) *nodepb.State {
	t.Helper()
	var state *nodepb.State
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var err error
		state, err = n.group.Read(ctx)
		return err == nil
	}, convergenceTimeout, 10*time.Millisecond)
	return state
}

// Guards against an acknowledged evacuation that is lost, or an ended one that returns, when the leader ends, a member loses its disk, or all
// members restart from logs and snapshots.
func TestAcknowledgedEvacuationsSurvive(t *testing.T) {
	t.Parallel()
	nodes := startNodes(t, true, true, true)
	require.NoError(t, setEvacuationAt(t, nodes, "a", true, ""))
	require.NoError(t, setEvacuationAt(t, nodes, "b", true, ""))
	require.NoError(t, setEvacuationAt(t, nodes, "a", false, ""))
	for _, n := range nodes {
		if n.group.Leads() {
			n.stop()
			require.NoError(t, setEvacuationAt(t, slices.DeleteFunc(slices.Clone(nodes), func(o *testNode) bool { return o == n }), "b", true, ""), "sent again to the next leader")
			n.start()
			break
		}
	}
	for version := uint64(1); version <= snapshotEvery+50; version++ {
		publishDocument(t, nodes, version, []byte{1})
	}
	for _, n := range nodes {
		n.stop()
	}
	for _, n := range nodes {
		n.start()
	}
	for _, n := range nodes {
		state := evacuatedAt(t, n)
		require.Equal(t, []string{"b"}, state.GetEvacuatedZones())
		require.EqualValues(t, 3, state.GetEvacuationsRevision())
	}
}

// Guards against a call whose leader ends between the command and the ack: the next leader must acknowledge the copy, whether or not the command
// was executed, and the revision must not count it twice.
func TestLeaderEndsBetweenCommandAndAck(t *testing.T) {
	t.Parallel()
	nodes := startNodes(t, true, true, true)
	require.NoError(t, setEvacuationAt(t, nodes, "a", true, ""))
	for _, n := range nodes {
		if !n.group.Leads() {
			continue
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = n.group.SetEvacuation(context.Background(), &nodepb.SetEvacuation{AvailabilityZone: "b", Evacuated: true})
		}()
		n.stop()
		<-done
		rest := slices.DeleteFunc(slices.Clone(nodes), func(o *testNode) bool { return o == n })
		require.NoError(t, setEvacuationAt(t, rest, "b", true, ""))
		state := evacuatedAt(t, rest[0])
		require.Equal(t, []string{"a", "b"}, state.GetEvacuatedZones())
		require.EqualValues(t, 2, state.GetEvacuationsRevision())
		return
	}
	t.Fatal("no leader")
}

// Guards against a conflict that is acknowledged: its call changed nothing.
func TestOperationIDOfAnotherEvacuationIsRefused(t *testing.T) {
	t.Parallel()
	nodes := startNodes(t, true)
	require.NoError(t, setEvacuationAt(t, nodes, "a", true, "one"))
	require.NoError(t, setEvacuationAt(t, nodes, "a", true, "one"))
	require.True(t, errors.Is(setEvacuationAt(t, nodes, "b", true, "one"), errOperationReused))
	require.True(t, errors.Is(setEvacuationAt(t, nodes, "a", false, "one"), errOperationReused))
	require.Equal(t, []string{"a"}, evacuatedAt(t, nodes[0]).GetEvacuatedZones())
}

// Guards against an acknowledged evacuation, or an acknowledged end, that is lost with the power of all machines and one disk.
func TestEvacuationsSurviveAPowerLoss(t *testing.T) {
	t.Parallel()
	var disks []*simdisk.Disk
	for range 3 {
		disks = append(disks, simdisk.New())
	}
	nodes := startNodesOn(t, func(i int) diskfs.FS { return disks[i] }, true, true, true)
	for round := range 6 {
		evacuated := round%2 == 0
		require.NoError(t, setEvacuationAt(t, nodes, "a", evacuated, ""))
		random := rand.New(rand.NewPCG(1, uint64(round)))
		for i := range disks {
			disks[i] = disks[i].Clone()
			disks[i].Crash(random)
		}
		if round == 3 {
			disks[1] = simdisk.New()
		}
		for i, n := range nodes {
			n.stop()
			n.fs = disks[i]
		}
		for _, n := range nodes {
			n.start()
		}
		state := evacuatedAt(t, nodes[round%3])
		require.EqualValues(t, round+1, state.GetEvacuationsRevision(), "round %d", round)
		require.Equal(t, evacuated, slices.Contains(state.GetEvacuatedZones(), "a"), "round %d", round)
	}
}
