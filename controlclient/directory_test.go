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
