package node

import (
	"testing"
	"testing/synctest"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/fleetview"
	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/serving/retrybudget"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// decode returns a set whose document is its version.
func decode(document []byte) (*trafficset.Set, error) {
	if len(document) != 1 {
		return nil, failure.New(failure.InvalidSet, failure.NotRun, "not one byte")
	}
	set := &trafficset.Set{Version: uint64(document[0]), Services: []trafficset.Service{
		{Name: "e", Engine: &trafficset.EngineSpec{TokenBytes: 1}},
		{Name: "s", Store: &trafficset.StoreSpec{Address: "s", CacheTokens: 100, LinkMbps: 1000}},
	}}
	return set, set.Build()
}

func newNode() *Node {
	return New(Config{Name: "n", Retries: retrybudget.Limits{Window: time.Second}, WeightsWithin: 10 * time.Second},
		Parts{DecodeSet: decode}, zap.NewNop(), gometrics.NewRegistry())
}

func update(version uint64) *nodepb.WatchUpdate {
	return &nodepb.WatchUpdate{SetVersion: version, Document: []byte{byte(version)}, Fresh: true}
}

// receive applies an update as a watcher delivers it: the set first.
func (n *Node) receive(from string, u *nodepb.WatchUpdate) {
	if len(u.GetDocument()) > 0 {
		n.applySet(fleetview.PublishedSet{Version: u.GetSetVersion(), Document: u.GetDocument(), From: from})
	}
	n.applyUpdate(from, u)
}

// idle describes links without backlog.
type idle struct{}

func (idle) Backlog(string) time.Duration { return 0 }
func (idle) Slowness(string) float64      { return 1 }

func (n *Node) holds(id string) bool {
	return len(n.stores.Locate("v1", []placement.Part{{ID: id, Tokens: 1}}, time.Hour, idle{})) == 1
}

// Guards against shares of accounts on a node whose settings don't ask for them, and against settings that have no effect.
func TestAccountSharesFollowTheSettings(t *testing.T) {
	require.Nil(t, newNode().shares)
	n := New(Config{Name: "n", Retries: retrybudget.Limits{Window: time.Second}, AccountShares: true}, Parts{DecodeSet: decode}, zap.NewNop(), gometrics.NewRegistry())
	require.NotNil(t, n.shares)
}

// Guards against a set that is replaced by an older one from a core member that is behind, and against readiness
// before the newest set is known.
func TestSetsNeverGoBack(t *testing.T) {
	n := newNode()
	require.Error(t, n.Ready())
	old := update(3)
	old.Fresh = false
	n.receive("a", old)
	require.EqualValues(t, 3, n.Set().Version)
	require.False(t, n.synced.Load(), "a member that is not fresh may be behind")
	n.receive("b", update(7))
	n.receive("a", update(5))
	require.EqualValues(t, 7, n.Set().Version)
	require.True(t, n.synced.Load())
	n.receive("b", &nodepb.WatchUpdate{SetVersion: 9, Document: []byte("bad"), Fresh: true})
	require.EqualValues(t, 7, n.Set().Version, "a set that cannot be read changes nothing")
}

// Guards against a deposed leader that resumes from a pause and overwrites its successor's updates: on
// kiln-slots-grown trouble-1 it emptied the nodes' view of four stores for the rest of the day.
func TestUpdatesOfADeposedLeaderAreIgnored(t *testing.T) {
	n := newNode()
	n.receive("a", update(1))
	sendUpdate := func(term uint64, change *nodepb.StorePlacement) {
		n.receive("leader", &nodepb.WatchUpdate{
			SetVersion: 1, Fresh: true, Leads: true, Term: term, Placements: &nodepb.Placements{Stores: []*nodepb.StorePlacement{change}},
			Instances: &nodepb.InstanceView{Instances: []*nodepb.Instance{{Id: "i", BornMs: int64(term)}}},
		})
	}
	sendUpdate(2, &nodepb.StorePlacement{Address: "s", Epoch: 1, Reset_: true, Added: []*nodepb.PlacedPart{{Salt: "v1", Id: "a", Tokens: 1}}})
	sendUpdate(3, &nodepb.StorePlacement{Address: "s", Epoch: 1, Reset_: true, Added: []*nodepb.PlacedPart{{Salt: "v1", Id: "b", Tokens: 1}}})
	sendUpdate(2, &nodepb.StorePlacement{Address: "s", Reset_: true})
	require.True(t, n.holds("b"))
	require.EqualValues(t, 3, n.directory.View().Instances[0].Born)
}

// Guards against the age of a follower's view, which an update carries in place of a revision, that is taken for a list without instances.
func TestUpdateOfAFollowerIsNoList(t *testing.T) {
	n := newNode()
	n.receive("leader", &nodepb.WatchUpdate{Fresh: true, Leads: true, Term: 1, Instances: &nodepb.InstanceView{Instances: []*nodepb.Instance{{Id: "i"}}}})
	confirmed := n.directory.Age(time.Now())
	n.receive("a", &nodepb.WatchUpdate{Fresh: true, Term: 1, Instances: &nodepb.InstanceView{Revision: 5}})
	require.Len(t, n.directory.View().Instances, 1)
	require.GreaterOrEqual(t, n.directory.Age(time.Now()), confirmed, "only the leader confirms the view")
}

// Guards against a named version that is replaced by an older one, and against requests on old weights after their
// time limit.
func TestWeightsNeverGoBack(t *testing.T) {
	// The meters of a node leave a goroutine behind, for whose end the bubble would wait.
	n := newNode()
	synctest.Test(t, func(t *testing.T) {
		n.receive("a", weightsNamed("m", 2))
		n.receive("b", weightsNamed("m", 1))
		require.EqualValues(t, 2, n.WantedVersion("m"))
		require.Equal(t, map[string]uint64{"m": 2}, n.WantedVersions())
		require.Zero(t, n.RequiredVersion("m"))
		time.Sleep(10 * time.Second)
		n.receive("b", weightsNamed("m", 1))
		require.EqualValues(t, 2, n.RequiredVersion("m"))
		require.Zero(t, n.RequiredVersion("other"))
	})
}

func weightsNamed(model string, version uint64) *nodepb.WatchUpdate {
	return &nodepb.WatchUpdate{Weights: []*nodepb.WeightVersion{{Model: model, Version: version}}}
}

// Guards against a newer weight version that lifts the time limit of the one before: an engine that returned with weights two versions old got
// requests again.
func TestNewerWeightsDoNotLiftTheLimitOfOlderOnes(t *testing.T) {
	// The meters of a node leave a goroutine behind, for whose end the bubble would wait.
	n := newNode()
	synctest.Test(t, func(t *testing.T) {
		n.receive("a", weightsNamed("m", 2))
		time.Sleep(12 * time.Second)
		require.EqualValues(t, 2, n.RequiredVersion("m"))
		n.receive("a", weightsNamed("m", 3))
		require.EqualValues(t, 2, n.RequiredVersion("m"), "version 3 was named just now")
		time.Sleep(5 * time.Second)
		require.EqualValues(t, 2, n.RequiredVersion("m"))
		time.Sleep(5 * time.Second)
		require.EqualValues(t, 3, n.RequiredVersion("m"))
	})
}

// Guards against a node that is never ready because the set arrives after the word of a core member that names it, and against
// one that is ready with a set that was outdated then.
func TestSetThatFollowsItsVersionMakesReady(t *testing.T) {
	n := newNode()
	n.applyUpdate("a", &nodepb.WatchUpdate{SetVersion: 5, Fresh: true})
	n.applySet(fleetview.PublishedSet{Version: 4, Document: []byte{4}})
	require.False(t, n.synced.Load())
	n.applySet(fleetview.PublishedSet{Version: 6, Document: []byte{6}})
	require.True(t, n.synced.Load())
}

// Guards against updates that wait while a large set is decoded.
func TestUpdatesDoNotWaitForADecoding(t *testing.T) {
	n := newNode()
	decoding, done := make(chan struct{}), make(chan struct{})
	n.parts.DecodeSet = func(document []byte) (*trafficset.Set, error) {
		close(decoding)
		<-done
		return decode(document)
	}
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		n.applySet(fleetview.PublishedSet{Version: 3, Document: []byte{3}})
	}()
	<-decoding
	n.applyUpdate("a", &nodepb.WatchUpdate{SetVersion: 3, Weights: []*nodepb.WeightVersion{{Model: "m", Version: 2}}})
	require.EqualValues(t, 2, n.WantedVersion("m"))
	close(done)
	<-applied
	require.EqualValues(t, 3, n.Set().Version)
}

// Guards against a set that replaces a newer one because it was decoded for longer.
func TestSlowlyDecodedSetDoesNotReplaceANewerOne(t *testing.T) {
	n := newNode()
	decoding, done := make(chan struct{}), make(chan struct{})
	n.parts.DecodeSet = func(document []byte) (*trafficset.Set, error) {
		if document[0] == 3 {
			close(decoding)
			<-done
		}
		return decode(document)
	}
	applied := make(chan struct{})
	go func() {
		defer close(applied)
		n.applySet(fleetview.PublishedSet{Version: 3, Document: []byte{3}})
	}()
	<-decoding
	n.applySet(fleetview.PublishedSet{Version: 7, Document: []byte{7}})
	close(done)
	<-applied
	require.EqualValues(t, 7, n.Set().Version)
}

// Guards against a node that serves by its set although it knows for longer than allowed that a newer one exists, and against one that
// serves nobody because a set cannot be read or a core member is behind.
func TestNodeThatIsBehindForTooLongIsOutdated(t *testing.T) {
	n := newNode()
	n.config.SetsWithin = 2 * time.Second
	n.receive("a", update(3))
	require.False(t, n.Outdated())
	n.applyUpdate("a", &nodepb.WatchUpdate{SetVersion: 7})
	n.applyUpdate("b", &nodepb.WatchUpdate{SetVersion: 3})
	require.False(t, n.Outdated(), "there is time left")
	behindFor := func(d time.Duration) {
		since := time.Now().Add(-d)
		n.behindSince.Store(&since)
	}
	behindFor(n.config.SetsWithin - setMargin + time.Millisecond)
	require.True(t, n.Outdated())
	require.Error(t, n.Ready())
	n.receive("a", update(7))
	require.False(t, n.Outdated())
	n.receive("a", &nodepb.WatchUpdate{SetVersion: 9, Document: []byte("bad")})
	require.Nil(t, n.behindSince.Load(), "a set that cannot be read")
	n.config.SetsWithin = 0
	behindFor(time.Hour)
	require.False(t, n.Outdated(), "no limit is set")
}
