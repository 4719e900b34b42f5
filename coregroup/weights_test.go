package coregroup

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

func (m *machine) requireWeights(t *testing.T, model string, version uint64) *nodepb.State {
	t.Helper()
	m.Apply(0, encode(t, &nodepb.Command{Change: &nodepb.Command_RequireWeights{RequireWeights: &nodepb.WeightVersion{Model: model, Version: version}}}))
	state, _ := m.read()
	return state
}

// Guards against required weights that go back, that nobody named, or that name no model of their own.
func TestRequiredWeightsOfTheMachine(t *testing.T) {
	m := newMachine()
	require.Empty(t, m.requireWeights(t, "a", 2).GetRequiredWeights(), "not named")
	for _, w := range []*nodepb.WeightVersion{{Model: "a", Version: 4}, {Model: "b", Version: 9}} {
		m.Apply(0, encode(t, &nodepb.Command{Change: &nodepb.Command_NameWeights{NameWeights: w}}))
	}
	require.EqualValues(t, 2, versionOf(m.requireWeights(t, "a", 2).GetRequiredWeights(), "a"))
	before := m.requireWeights(t, "a", 4)
	require.EqualValues(t, 4, versionOf(before.GetRequiredWeights(), "a"))
	require.EqualValues(t, 4, versionOf(m.requireWeights(t, "a", 3).GetRequiredWeights(), "a"), "an older version")
	require.EqualValues(t, 4, versionOf(m.requireWeights(t, "a", 5).GetRequiredWeights(), "a"), "a version that was not named")
	after := m.requireWeights(t, "b", 9)
	require.Len(t, after.GetRequiredWeights(), 2)
	require.Len(t, before.GetRequiredWeights(), 1, "snapshots hold the state before")
	snapshot, err := m.Snapshot()()
	require.NoError(t, err)
	restored := newMachine()
	require.NoError(t, restored.Restore(snapshot))
	state, _ := restored.read()
	require.EqualValues(t, 9, versionOf(state.GetRequiredWeights(), "b"))
}
