package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/internal/clocktest"
)

// paced is a server without watchers whose state and time a test changes.
type paced struct {
	*Server
	clock *clocktest.Manual
	pace  membershipPace
	index uint64
}

func newPaced() *paced {
	clock := clocktest.At(time.Unix(1_000_000, 0))
	return &paced{Server: NewServer(NewStateMachine(), &fakeMember{}, Options{Clock: clock}), clock: clock}
}

func (p *paced) register(process string, draining bool) {
	p.index++
	p.machine.Apply(p.index, registerCommand(1, process, "i", draining))
}

// due publishes what need not wait and returns whether something was published.
func (p *paced) due() bool {
	before := p.pace.published
	p.publishDue(&p.pace)
	return p.pace.published != before
}

// Guards against a first change after a quiet time that waits, and against the next ones that do not.
func TestMembershipChangesAreCollected(t *testing.T) {
	p := newPaced()
	p.register("a", false)
	require.True(t, p.due(), "nothing was published before")
	p.register("b", false)
	require.False(t, p.due())
	p.clock.Advance(membershipInterval / 2)
	p.register("c", false)
	require.Equal(t, membershipInterval/2, p.publishDue(&p.pace))
	p.clock.Advance(membershipInterval / 2)
	require.True(t, p.due())
	require.Len(t, p.memberships.after(1, p.machine).Processes, 2, "both changes in one update")
	require.Nil(t, p.memberships.after(3, p.machine))
	require.Zero(t, p.publishDue(&p.pace), "nothing waits")
	p.clock.Advance(membershipInterval)
	p.register("d", false)
	require.True(t, p.due(), "after a quiet time")
}

// Guards against a process that leaves and is offered to entries until the next update is due, also after the
// member has taken its state from a snapshot.
func TestLeavingIsPublishedAtOnce(t *testing.T) {
	p := newPaced()
	p.register("a", false)
	require.True(t, p.due())
	p.register("b", false)
	require.False(t, p.due())
	p.register("a", true)
	encoded, err := p.machine.Snapshot()
	require.NoError(t, err)
	require.True(t, p.due())
	states := map[string]string{}
	for _, process := range p.memberships.after(1, p.machine).Processes {
		states[process.ProcessId] = process.State
	}
	require.Equal(t, map[string]string{"a": "leaving", "b": "live"}, states)
	p.register("c", false)
	require.False(t, p.due(), "others wait although a process is leaving")

	restored := newPaced()
	restored.register("z", false)
	require.True(t, restored.due())
	require.NoError(t, restored.machine.Restore(encoded))
	require.True(t, restored.due())
}

// Guards against an update too many in 100 ms, and against a change that waits longer, in any order of changes.
func TestMembershipPace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPaced()
		var publishedAt, changedAt time.Time
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			p.clock.Advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			leaves := rapid.Bool().Draw(t, "leaves")
			if rapid.Bool().Draw(t, "changes") {
				p.register(fmt.Sprint(step), leaves)
			} else {
				leaves = false
			}
			if revision, _ := p.machine.memberRevisions(); revision > p.pace.published && changedAt.IsZero() {
				changedAt = p.clock.Now()
			}
			published := p.due()
			if published && !leaves {
				require.GreaterOrEqual(t, p.clock.Now().Sub(publishedAt), membershipInterval)
			}
			if published {
				publishedAt, changedAt = p.clock.Now(), time.Time{}
			}
			require.False(t, leaves && !published)
			if !changedAt.IsZero() {
				require.Less(t, p.clock.Now().Sub(changedAt), membershipInterval)
			}
		}
	})
}

// Guards against a watcher that is sent an update for each registration, and against changes that it never gets.
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
	// One more is sent at the start of the stream, and one at the start of the server.
	require.LessOrEqual(t, updates, int(time.Since(began)/membershipInterval)+3)
}
