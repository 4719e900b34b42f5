package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/internal/clocktest"
)

// throttledServer is a server without watchers; the test controls its state and clock.
type throttledServer struct {
	*Server
	clock    *clocktest.Manual
	throttle membershipThrottle
	index    uint64
}

func newThrottledServer() *throttledServer {
	clock := clocktest.NewManual(time.Unix(1_000_000, 0))
	return &throttledServer{Server: NewServer(NewStateMachine(), &fakeMember{}, Options{Clock: clock}), clock: clock}
}

func (s *throttledServer) register(process string, draining bool) {
	s.index++
	s.machine.Apply(s.index, registerCommand(1, process, "i", draining))
}

// publishesNow publishes the changes that are due and reports whether there were any.
func (s *throttledServer) publishesNow() bool {
	before := s.throttle.published
	s.publishDue(&s.throttle)
	return s.throttle.published != before
}

// Guards against a delay of the first change after an idle interval, and against changes right after it that are not
// batched.
func TestMembershipChangesAreCollected(t *testing.T) {
	s := newThrottledServer()
	s.register("a", false)
	require.True(t, s.publishesNow(), "nothing was published before")
	s.register("b", false)
	require.False(t, s.publishesNow())
	s.clock.Advance(membershipInterval / 2)
	s.register("c", false)
	require.Equal(t, membershipInterval/2, s.publishDue(&s.throttle))
	s.clock.Advance(membershipInterval / 2)
	require.True(t, s.publishesNow())
	require.Len(t, s.memberships.after(1, s.machine).Processes, 2, "both changes in one update")
	require.Nil(t, s.memberships.after(3, s.machine))
	require.Zero(t, s.publishDue(&s.throttle), "no change is pending")
	s.clock.Advance(membershipInterval)
	s.register("d", false)
	require.True(t, s.publishesNow(), "after an idle interval")
}

// Guards against a leaving process that entries still see as live until the next update is due, also after the member
// has restored its state from a snapshot.
func TestLeavingIsPublishedAtOnce(t *testing.T) {
	s := newThrottledServer()
	s.register("a", false)
	require.True(t, s.publishesNow())
	s.register("b", false)
	require.False(t, s.publishesNow())
	s.register("a", true)
	encoded, err := s.machine.Snapshot()
	require.NoError(t, err)
	require.True(t, s.publishesNow())
	states := map[string]string{}
	for _, process := range s.memberships.after(1, s.machine).Processes {
		states[process.ProcessId] = process.State
	}
	require.Equal(t, map[string]string{"a": "leaving", "b": "live"}, states)
	s.register("c", false)
	require.False(t, s.publishesNow(), "others wait although a process is leaving")

	restored := newThrottledServer()
	restored.register("z", false)
	require.True(t, restored.publishesNow())
	require.NoError(t, restored.machine.Restore(encoded))
	require.True(t, restored.publishesNow())
}

// Guards against more than one update in 100 ms, and against a change that waits longer than that, for random sequences
// of changes.
func TestMembershipPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newThrottledServer()
		var publishedAt, changedAt time.Time
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.clock.Advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			leaves := rapid.Bool().Draw(t, "leaves")
			if rapid.Bool().Draw(t, "changes") {
				s.register(fmt.Sprint(step), leaves)
			} else {
				leaves = false
			}
			if revision, _ := s.machine.memberRevisions(); revision > s.throttle.published && changedAt.IsZero() {
				changedAt = s.clock.Now()
			}
			published := s.publishesNow()
			if published && !leaves {
				require.GreaterOrEqual(t, s.clock.Now().Sub(publishedAt), membershipInterval)
			}
			if published {
				publishedAt, changedAt = s.clock.Now(), time.Time{}
			}
			require.False(t, leaves && !published)
			if !changedAt.IsZero() {
				require.Less(t, s.clock.Now().Sub(changedAt), membershipInterval)
			}
		}
	})
}

// Guards against a watcher that is sent one update per registration, and against changes that never reach it.
func TestWatcherGetsCollectedUpdates(t *testing.T) {
	const processes = 200
	group, _, addresses := startGroup(t, 1, Options{})
	stream, stop := watchStream(t, addresses[0], 0)
	defer stop()
	began := time.Now()
	go func() {
		for number := range processes {
			_, _ = group.members[0].Propose(t.Context(), registerCommand(1, fmt.Sprint(number), "i", false))
		}
	}()
	known, updates := map[string]bool{}, 0
	for len(known) < processes {
		update, err := stream.Recv()
		require.NoError(t, err)
		for _, process := range update.GetMembership().GetProcesses() {
			known[process.ProcessId] = true
		}
		if update.GetMembership() != nil {
			updates++
		}
	}
	// At most one update per started interval, one at the start of the stream and one at the start of the server.
	require.LessOrEqual(t, updates, int(time.Since(began)/membershipInterval)+3)
}
