package node

import (
	"context"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/serving/coldstart"
	"github.com/wasabishunt/wasabishunt/serving/retrybudget"
	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Guards against a node that goes back to an older list, whether a member that is behind sends it or a former leader that was suspended, and against
// one that waits for the leader to tell it.
func TestEvacuationsNeverGoBack(t *testing.T) {
	n := newNode()
	n.receive("a", &nodepb.WatchUpdate{Fresh: true, EvacuationsRevision: 2, EvacuatedZones: []string{"z1"}, Leads: true, Term: 7})
	require.True(t, n.Evacuations().Contains("z1"))
	n.receive("b", &nodepb.WatchUpdate{Fresh: true, Leads: true, Term: 6, EvacuationsRevision: 1})
	n.receive("b", &nodepb.WatchUpdate{Fresh: true})
	require.True(t, n.Evacuations().Contains("z1"), "older lists")
	n.receive("b", &nodepb.WatchUpdate{EvacuationsRevision: 3, EvacuatedZones: []string{"z2"}})
	require.False(t, n.Evacuations().Contains("z1"))
	require.True(t, n.Evacuations().Contains("z2"), "a newer list of a member that does not lead")
	n.receive("a", &nodepb.WatchUpdate{Fresh: true, Leads: true, Term: 7, EvacuationsRevision: 2, EvacuatedZones: []string{"z1"}})
	require.False(t, n.Evacuations().Contains("z1"), "an ended evacuation returned")
}

// Guards against a node that serves callers before it knows the evacuated zones: a member that is behind may not know the newest ones.
func TestNodeIsNotReadyWithoutTheEvacuations(t *testing.T) {
	n := newNode()
	n.directory.ApplyList([]upstreams.Instance{{ID: "i"}}, time.Now())
	behind := update(1)
	behind.Fresh = false
	n.receive("a", behind)
	require.False(t, n.synced.Load())
	require.EqualValues(t, -1, n.evacuationsAgeMs())
	n.receive("b", &nodepb.WatchUpdate{Fresh: true, SetVersion: 1, EvacuationsRevision: 1, EvacuatedZones: []string{"z1"}})
	require.NoError(t, n.Ready())
	require.True(t, n.Evacuations().Contains("z1"), "the list of the update that made the node ready")
	require.GreaterOrEqual(t, n.evacuationsAgeMs(), int64(0))
	n.evacuationsConfirmed.Store(nil)
	require.Error(t, n.Ready())
}

// Guards against a node that was cut off or suspended and sent to evacuated zones meanwhile, of which no line tells.
func TestUnconfirmedEvacuationsAreLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	n := New(Config{Name: "n", Retries: retrybudget.Limits{Window: time.Second}, EvacuateWithin: 5 * time.Second}, Parts{DecodeSet: decode}, zap.New(core), gometrics.NewRegistry())
	now := time.Now()
	n.applyEvacuations("a", &nodepb.WatchUpdate{Fresh: true}, now)
	n.applyEvacuations("a", &nodepb.WatchUpdate{Fresh: true}, now.Add(5*time.Second))
	n.applyEvacuations("a", &nodepb.WatchUpdate{EvacuationsRevision: 1, EvacuatedZones: []string{"z"}}, now.Add(8*time.Second))
	require.Zero(t, logs.FilterMessage("evacuated zones were not confirmed for a while").Len())
	n.applyEvacuations("a", &nodepb.WatchUpdate{Fresh: true}, now.Add(11*time.Second))
	lines := logs.FilterMessage("evacuated zones were not confirmed for a while").All()
	require.Len(t, lines, 1)
	require.Equal(t, 6*time.Second, lines[0].ContextMap()["unconfirmed_for"])
	require.Len(t, logs.FilterMessage("evacuated zones changed").All(), 1)
}

// Guards against a node that was partitioned during the first evacuation of a deployment as a whole, and takes the returned instances for warm.
func TestMissedFirstEvacuationCounts(t *testing.T) {
	n := New(Config{Name: "n", Retries: retrybudget.Limits{Window: time.Second}}, Parts{DecodeSet: decode}, zap.NewNop(), gometrics.NewRegistry())
	now := time.Now()
	n.applyEvacuations("a", &nodepb.WatchUpdate{Fresh: true}, now)
	require.Zero(t, n.zoneState("z").ReturnedAt)
	n.applyEvacuations("a", &nodepb.WatchUpdate{EvacuationsRevision: 2, Fresh: true}, now.Add(time.Minute))
	require.Equal(t, now.Add(time.Minute), n.zoneState("z").ReturnedAt)
}

// Guards against a node that started within the delay of the instance list after a zone returned, does not know of the evacuation, and takes the
// zone's engines for warm.
func TestNodeThatStartsAfterAReturnNeedsPermits(t *testing.T) {
	limit := trafficset.ColdLimit{PerSecond: 12, Duration: 3 * time.Second}
	for name, c := range map[string]struct {
		revision uint64
		// changedAgo is the age of the last change, 0 if the update does not tell it.
		changedAgo time.Duration
		need       coldstart.Need
	}{
		"after an evacuation":            {2, 0, coldstart.NewConnections},
		"just after an evacuation":       {2, time.Second, coldstart.NewConnections},
		"long after an evacuation":       {2, 10 * time.Second, coldstart.NoPermit},
		"nothing was evacuated, no wait": {0, 0, coldstart.NoPermit},
	} {
		t.Run(name, func(t *testing.T) {
			n := New(Config{Name: "n", Retries: retrybudget.Limits{Window: time.Second}}, Parts{DecodeSet: decode}, zap.NewNop(), gometrics.NewRegistry())
			now := time.Now()
			n.directory.ApplyList([]upstreams.Instance{{ID: "i", Service: "s", AvailabilityZone: "z"}}, now)
			instance := &n.directory.View().Instances[0]
			update := &nodepb.WatchUpdate{EvacuationsRevision: c.revision, Fresh: true}
			if c.changedAgo > 0 {
				update.EvacuationsChangedUnixMs = now.Add(-c.changedAgo).UnixMilli()
			}
			n.applyEvacuations("a", update, now)
			require.Equal(t, c.need, n.cold.Need(instance, limit, now.Add(time.Millisecond)))
			n.cold.Sent(instance, now.Add(time.Millisecond))
			require.Equal(t, c.need, n.cold.Need(instance, limit, now.Add(2900*time.Millisecond)), "a request does not show that the engine is warm")
			require.Equal(t, coldstart.NoPermit, n.cold.Need(instance, limit, now.Add(limit.Duration)))
		})
	}
}

// setEvacuationAt calls the nodes in turn until one acknowledges or the call is refused as invalid, as operators do.
func setEvacuationAt(t *testing.T, nodes []*runningNode, zone string, evacuated bool) error {
	t.Helper()
	var err error
	require.Eventually(t, func() bool {
		for _, n := range nodes {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			err = n.SetEvacuation(ctx, zone, evacuated)
			cancel()
			if err == nil || failure.Is(err, failure.InvalidRequest) {
				return true
			}
		}
		return false
	}, 10*time.Second, 10*time.Millisecond)
	return err
}

// Guards against nodes that do not learn of an evacuation in time, against one that joins and is ready without it, and against an acknowledged
// evacuation that is gone after all core members have ended.
func TestEvacuationReachesAllNodes(t *testing.T) {
	f, core := startCore(t)
	list := &testList{}
	list.show(*core[0].list.instances.Load()...)
	follower := f.start("", freeAddress(t), list)
	t.Cleanup(follower.stop)
	require.Eventually(t, func() bool { return follower.Ready() == nil }, 10*time.Second, 20*time.Millisecond)
	for _, n := range core {
		n.SetZones([]string{"zone-1", "zone-2"})
	}
	require.Error(t, setEvacuationAt(t, core, "zone-3", true), "a zone that nothing names")
	require.Error(t, setEvacuationAt(t, core, "zone-3", false))
	require.Error(t, follower.SetEvacuation(t.Context(), "a/b", true))
	require.True(t, failure.Is(follower.SetEvacuation(t.Context(), "zone-3", true), failure.NotLeader), "only the leader tells that there is no such zone")
	began := time.Now()
	require.NoError(t, setEvacuationAt(t, core, "zone-1", true))
	require.Less(t, time.Since(began), time.Second)
	for _, n := range append(core, follower) {
		require.Eventually(t, func() bool { return n.Evacuations().Contains("zone-1") }, 2*time.Second, 5*time.Millisecond)
	}
	joined := f.start("", freeAddress(t), list)
	t.Cleanup(joined.stop)
	require.Eventually(t, func() bool { return joined.Ready() == nil }, 10*time.Second, time.Millisecond)
	require.True(t, joined.Evacuations().Contains("zone-1"), "ready without the list")

	var stops sync.WaitGroup
	for _, n := range core {
		stops.Go(n.stop)
	}
	stops.Wait()
	require.True(t, follower.Evacuations().Contains("zone-1"), "without the core a node keeps its list")
	for i, n := range core {
		core[i] = f.start(n.dir, f.seeds[i], n.list)
	}
	for _, n := range core {
		require.Eventually(t, func() bool { return n.Ready() == nil }, 15*time.Second, time.Millisecond)
		require.True(t, n.Evacuations().Contains("zone-1"), "lost with the processes")
	}
	// The settings name no zone any more.
	require.NoError(t, setEvacuationAt(t, core, "zone-1", false))
	require.NoError(t, setEvacuationAt(t, core, "zone-1", false), "the same call again")
	for _, n := range append(core, follower, joined) {
		require.Eventually(t, func() bool { return !n.Evacuations().Contains("zone-1") }, 5*time.Second, 5*time.Millisecond)
	}
}

// Guards against an ack that needs the instance list, and against a 400, which ends the operator's call, for a zone that only the list names while
// the list cannot be read.
func TestEvacuationsWhileTheListIsAway(t *testing.T) {
	_, core := startCore(t)
	for _, n := range core {
		n.SetZones([]string{"zone-1"})
		n.list.unreadable.Store(true)
	}
	leader := core[0]
	for _, n := range core {
		if n.group.Leads() {
			leader = n
		}
	}
	require.Eventually(t, func() bool { return !leader.reader.Current() }, 5*time.Second, 10*time.Millisecond)
	require.NoError(t, leader.SetEvacuation(t.Context(), "zone-1", true))
	require.True(t, failure.Is(leader.SetEvacuation(t.Context(), "zone-2", true), failure.NoUpstream))
}

// Guards against a 400, which ends the operator's call, for a zone that only the list names while the store of the list returns an empty one.
func TestEvacuationsWhileTheListIsEmpty(t *testing.T) {
	_, core := startCore(t)
	leader := core[0]
	for _, n := range core {
		n.list.show()
		if n.group.Leads() {
			leader = n
		}
	}
	require.Eventually(t, func() bool { return len(leader.directory.View().Instances) == 0 && leader.reader.Current() }, 5*time.Second, 10*time.Millisecond)
	err := leader.SetEvacuation(t.Context(), "zone-1", true)
	require.True(t, failure.Is(err, failure.NoUpstream), "%v", err)
}
