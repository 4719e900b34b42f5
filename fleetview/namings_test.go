package fleetview

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rollout"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// weightsLimit is the time limit of the nodes of the tests.
const weightsLimit = 9 * time.Second

// Guards against a node that starts or returns late and counts the time limit of a weight version from then on.
func TestNodesLearnWhenWeightsWereNamed(t *testing.T) {
	start := time.Now()
	state := &nodepb.State{Weights: []*nodepb.WeightVersion{{Model: "m", Version: 3}, {Model: "n", Version: 8}}}
	newest := &nodepb.WatchUpdate{Weights: state.GetWeights()}
	sender, _ := rollout.NewNamed(weightsLimit).Accept([]rollout.Naming{{Model: "m", Version: 2}}, start)
	sender, _ = sender.Accept(DecodeNamings(newest), start.Add(6*time.Second))
	for _, c := range []struct {
		name           string
		at             time.Duration
		requiredAt     time.Duration
		mModel, nModel uint64
	}{
		{"before any limit", 8 * time.Second, 8500 * time.Millisecond, 0, 0},
		{"at the limit of the first version", 8 * time.Second, 9 * time.Second, 2, 0},
		{"at the limit of all", 8 * time.Second, 15 * time.Second, 3, 8},
		{"after the limit of the first version", 12 * time.Second, 12 * time.Second, 2, 0},
		{"after all limits", time.Hour, time.Hour, 3, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := start.Add(c.at)
			u := &nodepb.WatchUpdate{Weights: state.GetWeights(), NamedWeights: encodeNamings(state, sender.Namings(now))}
			receiver, _ := rollout.NewNamed(weightsLimit).Accept(DecodeNamings(u), now)
			require.Equal(t, c.mModel, receiver.Required("m", start.Add(c.requiredAt)))
			require.Equal(t, c.nModel, receiver.Required("n", start.Add(c.requiredAt)))
			require.EqualValues(t, 3, receiver.Newest("m"))
		})
	}
}

// Guards against a node that takes weights for lately named after a restart of all, although the replicated state tells that they are not; and
// against an update of an earlier release, or a state that it wrote, that requires the newest weights at once.
func TestRecordedWeightsAreRequiredAtOnce(t *testing.T) {
	now := time.Now()
	state := &nodepb.State{Weights: []*nodepb.WeightVersion{{Model: "m", Version: 3}}}
	earlier := &nodepb.WatchUpdate{Weights: state.GetWeights()}
	receiver, _ := rollout.NewNamed(weightsLimit).Accept(DecodeNamings(earlier), now)
	require.Zero(t, receiver.Required("m", now))
	state.RequiredWeights = []*nodepb.WeightVersion{{Model: "m", Version: 2}}
	restarted := &nodepb.WatchUpdate{Weights: state.GetWeights(), NamedWeights: encodeNamings(state, nil)}
	receiver, _ = receiver.Accept(DecodeNamings(restarted), now)
	require.EqualValues(t, 2, receiver.Required("m", now))
	require.EqualValues(t, 2, receiver.Required("m", now.Add(weightsLimit-1)))
	require.EqualValues(t, 3, receiver.Required("m", now.Add(weightsLimit)))
	require.Len(t, encodeNamings(state, receiver.Namings(now)), 2, "what the state records is sent once")
}
