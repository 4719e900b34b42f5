package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against refusing all callers of the time between the start of the nodes and the first election of the core,
// when all nodes were restarted at once: callers that are refused return half a second later, or not at all.
func TestRequestsWaitForTheSetAfterAStart(t *testing.T) {
	const callers = 3
	s := newSystem(t, good)
	confirm := s.sets.restart()
	statuses := make([]int, callers)
	var group sync.WaitGroup
	for i := range statuses {
		group.Go(func() {
			statuses[i], _, _ = s.call("POST", "/once/", "x")
		})
	}
	require.Eventually(t, func() bool { return s.gateway.Active() == callers }, time.Second, time.Millisecond)
	require.Empty(t, s.startedRuns(), "a request ran under a set that may be outdated")
	confirm()
	group.Wait()
	require.Equal(t, []int{200, 200, 200}, statuses)
	require.Len(t, s.startedRuns(), callers)
}

// Guards against a wait that uses up the time in which another node could serve the caller, and against one on a node
// that has been cut off from the core since its start.
func TestStartupWait(t *testing.T) {
	for _, c := range []struct {
		sinceStart, deadline, want time.Duration
	}{
		{0, 12 * time.Second, maxStartupWait},
		{time.Second, 12 * time.Second, maxStartupWait},
		{0, time.Second, 250 * time.Millisecond},
		{startupPeriod + time.Millisecond, 12 * time.Second, 0},
	} {
		require.Equal(t, c.want, startupWait(c.sinceStart, c.deadline))
	}
}
