package controlclient

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// setDelay is the time within which a set that another member has must arrive: agents wait 500 ms for a newer set of a prompt's sender.
const setDelay = 500 * time.Millisecond

// watchFirst starts a watcher that tries the members in the given order and waits until the first one confirms its set.
func watchFirst(t *testing.T, members []*fakeMember) *Watcher {
	addresses := make([]string, len(members))
	for i, m := range members {
		addresses[i] = m.address
	}
	w := runWatcher(t, WatcherOptions{Addresses: addresses, ProcessID: processWatching(addresses...)})
	require.Eventually(t, func() bool { return w.Current().Fresh(time.Now()) }, 10*time.Second, time.Millisecond)
	require.Positive(t, members[0].reported())
	return w
}

func requireVersion(t *testing.T, w *Watcher, version uint64, limit time.Duration) {
	t.Helper()
	began := time.Now()
	require.Eventually(t, func() bool { return w.Current().Version >= version }, 10*time.Second, time.Millisecond)
	require.Less(t, time.Since(began), limit)
}

// Guards against a process that learns of a newer set and waits seconds for a member that is silent, although others have the set.
func TestSilentMemberDoesNotDelayAnObservedSet(t *testing.T) {
	members := startMembers(t, 2)
	w := watchFirst(t, members)
	members[0].relay.Cut("*")
	members[1].publish(2)
	w.Observe(2)
	requireVersion(t, w, 2, setDelay)
	require.True(t, w.Current().Fresh(time.Now()), "the confirmation is still valid")
}

// Guards against a process that waits seconds for each of several silent members in turn.
func TestSilentMembersDoNotDelayAnObservedSet(t *testing.T) {
	members := startMembers(t, 5)
	w := watchFirst(t, members)
	members[0].relay.Cut("*")
	members[1].relay.Cut("*")
	for _, m := range members[2:] {
		m.publish(2)
	}
	w.Observe(2)
	// Each further silent member may add silenceLimit.
	requireVersion(t, w, 2, setDelay+silenceLimit)
}

// Guards against a set that is late by the time after which a session ends, because nobody else is asked while the member does not respond
// to a report.
func TestSilentMemberDoesNotDelayASet(t *testing.T) {
	members := startMembers(t, 2)
	w := watchFirst(t, members)
	members[0].relay.Cut("*")
	members[1].publish(2)
	// The next report is sent after an interval at most.
	requireVersion(t, w, 2, time.Second+setDelay)
}

// Guards against a process that stays with a member that responds but is cut off from the others, without the set that these have.
func TestMemberThatIsCutOffDoesNotDelayASet(t *testing.T) {
	members := startMembers(t, 2)
	w := watchFirst(t, members)
	members[0].mu.Lock()
	members[0].unsure = true
	members[0].mu.Unlock()
	members[1].publish(2)
	w.Observe(2)
	requireVersion(t, w, 2, setDelay)
}

// Guards against watch streams and reports at many members while the own member confirms the set, and against streams that stay open after
// the member confirms it again.
func TestOtherMembersAreLeftAloneAfterAConfirmation(t *testing.T) {
	members := startMembers(t, 3)
	w := watchFirst(t, members)
	members[0].relay.CutResponses("127.0.0.1")
	members[0].publish(2)
	members[1].publish(2)
	w.Observe(2)
	requireVersion(t, w, 2, setDelay)
	require.Zero(t, members[1].reported()+members[2].reported(), "other members are only read")
	members[0].relay.Heal()
	require.Eventually(t, func() bool { return w.unconfirmedSince().IsZero() }, 5*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return members[1].streams()+members[2].streams() == 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, 1, members[0].streams())
}

// Guards against a version that goes back when several streams apply sets at once.
func TestVersionNeverGoesBack(t *testing.T) {
	const versions = 2000
	w := NewWatcher(WatcherOptions{Addresses: []string{"127.0.0.1:1"}, ProcessID: "p"})
	defer func() { _ = w.client.Close() }()
	applying, watching := sync.WaitGroup{}, sync.WaitGroup{}
	done := make(chan struct{})
	wentBack := ""
	watching.Go(func() {
		last := uint64(0)
		for {
			version := w.Current().Version
			if version < last {
				wentBack = fmt.Sprintf("from %d to %d", last, version)
			}
			last = version
			select {
			case <-done:
				return
			default:
			}
		}
	})
	for range 3 {
		applying.Go(func() {
			for version := uint64(1); version <= versions; version++ {
				w.applySet(&objectset.Set{}, version)
				w.applyMembership(&controlpb.MembershipUpdate{Revision: version})
			}
		})
	}
	applying.Wait()
	close(done)
	watching.Wait()
	require.Empty(t, wentBack)
	require.EqualValues(t, versions, w.Current().Version)
}
