package controlclient

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestSilentMemberIsTriedLast guards against calls that each wait for the same frozen leader first.
func TestSilentMemberIsTriedLast(t *testing.T) {
	d := newDirectory([]string{"a", "b", "c"})
	d.setLeader("a")
	assert.Equal(t, []string{"a", "b", "c"}, d.leaderFirst())
	d.noAnswer("a")
	assert.Equal(t, []string{"b", "c", "a"}, d.leaderFirst())
	d.setLeader("c")
	assert.Equal(t, []string{"c", "b", "a"}, d.leaderFirst())
	d.setLeader("a")
	assert.Equal(t, []string{"a", "b", "c"}, d.leaderFirst(), "a member named as leader is tried first again")
}

// TestWatchOrderPutsTheSilentMemberLast guards against a process that asks a cut-off member again until its set is stale.
func TestWatchOrderPutsTheSilentMemberLast(t *testing.T) {
	d := newDirectory([]string{"a", "b", "c"})
	first := d.watchOrder("entry-1")
	d.noAnswer(first[0])
	assert.Equal(t, []string{first[1], first[2], first[0]}, d.watchOrder("entry-1"))
	d.setLeader(first[1])
	assert.Equal(t, []string{first[2], first[1], first[0]}, d.watchOrder("entry-1"), "the leader is spared, but it answers")
}
