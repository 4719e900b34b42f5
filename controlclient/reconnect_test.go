package controlclient

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Guards against a process that stays without control for seconds after an election, because each member that is gone adds a
// growing delay before it tries the one that is left.
func TestLostMembersDoNotDelayTheOneThatIsLeft(t *testing.T) {
	left := startMembers(t, 1)[0]
	// Reports that the member refuses, as it does while no leader is known.
	left.refusals = 3
	addresses := []string{"127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1", left.address}
	w := runWatcher(t, WatcherOptions{Addresses: addresses, ProcessID: processWatching(addresses...)})
	require.Eventually(t, func() bool { return w.Current().Fresh(time.Now()) }, 30*time.Second, 5*time.Millisecond)
	left.mu.Lock()
	after := time.Since(left.refusedAt)
	left.mu.Unlock()
	// The longest delay after a refusal and the shortest one after each lost member, each half as long again at random.
	const bound = maxReconnectDelay*3/2 + 3*minReconnectDelay*3/2
	require.Less(t, after, bound)
}

// Guards against processes that flood the members which are left: the delay after sessions that a member ends grows.
func TestRefusedSessionsBecomeRarer(t *testing.T) {
	r := newReconnects()
	var waited time.Duration
	for range 10 {
		waited += r.ended("a", 10*time.Millisecond, true, time.Unix(0, 0))
	}
	// 50, 100, 200, 400 and 800 ms, then 1 s each, and at least half of them.
	require.Greater(t, waited, 3*time.Second)
	r.ended("a", 2*stableSessionTime, true, time.Unix(0, 0))
	require.Less(t, r.ended("a", 2*stableSessionTime, true, time.Unix(0, 0)), 2*minReconnectDelay)
}

// Guards against a member that is never tried again after it could not be reached, or that is tried without a pause.
func TestUnreachableMembersAreTriedAgain(t *testing.T) {
	r, now := newReconnects(), time.Unix(0, 0)
	order := []string{"a", "b"}
	address, _ := r.next(order, now)
	require.Equal(t, "a", address)
	r.ended("a", 0, false, now)
	address, _ = r.next(order, now)
	require.Equal(t, "b", address)
	r.ended("b", 10*time.Second, true, now)
	r.beginPass(nil)
	address, _ = r.next(order, now)
	require.Equal(t, "b", address, "a has a delay of its own")
	address, wait := r.next(order, now)
	require.Empty(t, address)
	require.Zero(t, wait, "the next pass may begin, with b")
	r.beginPass(nil)
	address, _ = r.next(order, now.Add(2*maxReconnectDelay))
	require.Equal(t, "a", address)
	for range 10 {
		r.ended("a", 0, false, now)
	}
	require.Greater(t, r.delayLeft("a", now), 4*minReconnectDelay, "the delay grows")
	require.LessOrEqual(t, r.ended("b", 0, true, now), 3*minReconnectDelay, "the delay of the others does not grow with it")
}

// Guards against a process that refuses work because its set is stale: its member falls silent, and so does the one that it would try next,
// although others would confirm the set.
func TestSilentMembersDoNotMakeTheSetStale(t *testing.T) {
	members := startMembers(t, 5)
	w := watchFirst(t, members)
	members[0].relay.Cut("*")
	members[1].relay.Cut("*")
	began, staleAfter := time.Now(), time.Duration(0)
	require.Eventually(t, func() bool {
		if staleAfter == 0 && !w.Current().Fresh(time.Now()) {
			staleAfter = time.Since(began)
		}
		return members[2].reported()+members[3].reported()+members[4].reported() > 0 && w.unconfirmedSince().IsZero()
	}, 15*time.Second, 5*time.Millisecond)
	require.Zero(t, staleAfter, "the set became stale")
}

// Guards against a process that starts seconds late because the first members that it asks are silent.
func TestSilentMembersDoNotDelayAStart(t *testing.T) {
	members := startMembers(t, 3)
	members[0].relay.Cut("*")
	members[1].relay.Cut("*")
	addresses := []string{members[0].address, members[1].address, members[2].address}
	w := runWatcher(t, WatcherOptions{Addresses: addresses, ProcessID: processWatching(addresses...)})
	began := time.Now()
	require.Eventually(t, func() bool { return w.Current().Fresh(time.Now()) }, 20*time.Second, time.Millisecond)
	// Each silent member may add silenceLimit.
	require.Less(t, time.Since(began), setDelay+2*silenceLimit)
}

// Guards against a process that never finds control again because all members that it knew were replaced during its last session.
func TestMembersReplacedDuringASessionAreFound(t *testing.T) {
	members := startMembers(t, 2)
	w := runWatcher(t, WatcherOptions{Addresses: []string{members[0].address}, ProcessID: "p", MembersInterval: 20 * time.Millisecond})
	require.Eventually(t, func() bool { return w.Current().Fresh(time.Now()) }, 10*time.Second, time.Millisecond)
	replaced := &controlpb.StatusResponse{Members: &raftpb.Members{Members: []*raftpb.Member{{Id: 2, Address: members[1].address}}}}
	members[0].mu.Lock()
	members[0].members = replaced
	members[0].mu.Unlock()
	require.Eventually(t, func() bool { return len(w.directory.watchOrder("p")) == 2 }, 10*time.Second, time.Millisecond)
	members[0].relay.Close()
	require.Eventually(t, func() bool { return members[1].reported() > 0 }, 10*time.Second, time.Millisecond)
}
