package controlclient

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestSilentMemberIsTriedLast guards against calls that all wait for the same frozen leader first.
func TestSilentMemberIsTriedLast(t *testing.T) {
	d := newDirectory([]string{"a", "b", "c"})
	d.setLeader("a")
	assert.Equal(t, []string{"a", "b", "c"}, d.leaderFirst())
	d.markUnresponsive("a")
	assert.Equal(t, []string{"b", "c", "a"}, d.leaderFirst())
	d.setLeader("c")
	assert.Equal(t, []string{"c", "b", "a"}, d.leaderFirst())
	d.setLeader("a")
	assert.Equal(t, []string{"a", "b", "c"}, d.leaderFirst(), "a member that is reported as leader is tried first again")
}

// TestWatchOrderPutsTheSilentMemberLast guards against a process that retries an unreachable member until its set is
// stale.
func TestWatchOrderPutsTheSilentMemberLast(t *testing.T) {
	d := newDirectory([]string{"a", "b", "c"})
	first := d.watchOrder("entry-1")
	d.markUnresponsive(first[0])
	assert.Equal(t, []string{first[1], first[2], first[0]}, d.watchOrder("entry-1"))
	d.setLeader(first[1])
	assert.Equal(t, []string{first[2], first[1], first[0]}, d.watchOrder("entry-1"), "the leader comes after followers but before the unresponsive member")
}
