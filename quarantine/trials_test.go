package quarantine

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// trialNodes is a group of nodes that ask each other for trials.
type trialNodes struct {
	trials map[string]*Trials
	// silent are the nodes that do not answer.
	silent map[string]bool
}

var errSilent = errors.New("no answer")

func newTrialNodes(count int) *trialNodes {
	n := &trialNodes{trials: map[string]*Trials{}, silent: map[string]bool{}}
	var names []string
	for i := range count {
		name := fmt.Sprint("node-", i)
		names = append(names, name)
		n.trials[name] = NewTrials(TrialsOptions{Self: name, Log: zap.NewNop(), Ask: func(_ context.Context, address string, part uint64) (time.Duration, error) {
			if n.silent[address] {
				return 0, errSilent
			}
			return n.trials[address].Grant(part, time.Now()), nil
		}})
	}
	for _, t := range n.trials {
		t.SetNodes(names)
	}
	return n
}

// granted returns the number of nodes that get the trials of some parts.
func (n *trialNodes) granted(t *testing.T, parts ...uint64) (count int) {
	t.Helper()
	for name, trials := range n.trials {
		if n.silent[name] {
			continue
		}
		wait := trials.Acquire(t.Context(), parts)
		require.LessOrEqual(t, wait, trialInterval)
		if wait == 0 {
			count++
		}
	}
	return count
}

// Guards against nodes that each send a prompt with a part that may be deadly.
func TestOneNodeGetsTheTrial(t *testing.T) {
	for _, count := range []int{1, 3, 30, 300} {
		n := newTrialNodes(count)
		require.Equal(t, 1, n.granted(t, testDeadly))
		require.Equal(t, 1, n.granted(t, testShared, testOther), "other parts have trials of their own")
		require.Zero(t, n.granted(t, testOther, testRare), "each part needs one")
	}
}

// Guards against doubtful parts that nobody may try because their owner is gone, and against trials without an owner.
func TestSecondOwnerGrantsTrials(t *testing.T) {
	n := newTrialNodes(30)
	first, second := n.trials["node-0"].owners(testDeadly)
	n.silent[first] = true
	require.Equal(t, 1, n.granted(t, testDeadly))
	n.silent[second] = true
	require.Zero(t, n.granted(t, testDeadly))
}

// Guards against a part that is never tried again after a prompt that had no outcome, and against owners that keep the parts of the past.
func TestTrialsEnd(t *testing.T) {
	trials, now := NewTrials(TrialsOptions{}), time.Unix(1000, 0)
	for part := range uint64(3 * maxTrials) {
		require.Zero(t, trials.Grant(part, now))
		require.Equal(t, trialInterval, trials.Grant(part, now))
		require.Zero(t, trials.Grant(part, now.Add(trialInterval)))
		require.LessOrEqual(t, len(trials.next), maxTrials)
		now = now.Add(3 * time.Second)
	}
	for part := range uint64(maxTrials) {
		trials.Grant(part, now)
	}
	require.Positive(t, trials.Grant(5*maxTrials, now), "more parts than an owner keeps")
}
