package raft

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a learner that names a leader for as long as no other one is elected: callers are sent to a member that has ended.
func TestLearnerForgetsASilentLeader(t *testing.T) {
	c := newCluster(t, 2, 1)
	leader := c.elect()
	require.NoError(t, c.change(leader, AddLearner, 3))
	learner := c.start(3, nil)
	c.run(20, false)
	require.Equal(t, leader.id, learner.node.Status().Leader)
	c.stop(leader)
	// 5 s of simulated time, above the longest election timeout. The other voter has no quorum.
	c.run(100, false)
	require.Zero(t, learner.node.Status().Leader)
	c.start(leader.id, nil)
	c.elect()
	c.run(20, false)
	require.Equal(t, c.leader().id, learner.node.Status().Leader)
}
