package rollout

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Guards against orders to engines that are draining, have the version or are carrying out an order, and against too
// many at once.
func TestNextOrders(t *testing.T) {
	now := time.Now()
	engines := []Engine{
		{ID: "done", Version: 2},
		{ID: "leaving", Version: 1, Draining: true},
		{ID: "loading", Version: 1, Ordered: now.Add(-2 * time.Second), Answered: true},
		{ID: "silent", Version: 1, Ordered: now.Add(-unansweredTimeout - time.Millisecond), Unreachable: true},
		{ID: "busy", Version: 1, Requests: 7},
		{ID: "idle", Version: 1, Requests: 1},
	}
	require.Equal(t, []string{"idle", "busy"}, NextOrders(engines, 2, now))
	engines[4].Version, engines[5].Version = 2, 2
	require.Equal(t, []string{"silent"}, NextOrders(engines, 2, now), "an order without an answer is sent again")
	require.Equal(t, 3, MaxConcurrentOrders(12))
	require.Equal(t, 12, MaxConcurrentOrders(41))
}

// fakeEngines carries out orders at once. lost holds the number of orders of each engine that fail without an answer.
type fakeEngines struct {
	mu       sync.Mutex
	versions map[string]uint64
	orders   []Order
	fenced   bool
	lost     map[string]int
	wanted   uint64
	// loading is set if loads do not end; follower, if the controller's node does not lead.
	loading, follower bool
}

func (f *fakeEngines) setWanted(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wanted = version
}

func (f *fakeEngines) setFollower() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.follower = true
}

func (f *fakeEngines) leads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.follower
}

func (f *fakeEngines) wantedVersions() map[string]uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return map[string]uint64{"m": max(3, f.wanted)}
}

func (f *fakeEngines) version(id string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions[id]
}

const engineCount = 5

func engineID(i int) string { return fmt.Sprint("e", i) }

// list returns the platform's list of instances, which does not say which engines load weights.
func (f *fakeEngines) list() []upstreams.Instance {
	var list []upstreams.Instance
	for i := range engineCount {
		id := engineID(i)
		list = append(list, upstreams.Instance{ID: id, Service: "s", Address: id, Versions: map[string]uint64{"m": f.version(id)}})
	}
	return list
}

func (f *fakeEngines) Report(_ context.Context, i *upstreams.Instance) (Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Report{Versions: map[string]uint64{"m": f.versions[i.ID]}, Sequence: int64(f.versions[i.ID])}, nil
}

func (f *fakeEngines) Order(_ context.Context, i *upstreams.Instance, order Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, order)
	if f.fenced {
		return failure.New(failure.Fenced, failure.NotRun, "fenced")
	}
	if f.lost[i.ID] > 0 {
		f.lost[i.ID]--
		return failure.New(failure.UpstreamFailed, failure.Unknown, "no answer")
	}
	if !f.loading {
		f.versions[i.ID] = order.Version
	}
	return nil
}

func (f *fakeEngines) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.orders)
}

func startController(t *testing.T, f *fakeEngines, lease time.Duration) *Controller {
	t.Helper()
	directory := upstreams.NewDirectory()
	for i := range engineCount {
		f.versions[engineID(i)] = 1
	}
	directory.ApplyList(f.list(), time.Now())
	c := &Controller{
		Name: "n", Client: f, Leads: f.leads, Term: func() uint64 { return 7 }, Lease: lease,
		Set: func() *trafficset.Set {
			return &trafficset.Set{Services: []trafficset.Service{{Name: "s", Engine: &trafficset.EngineSpec{Models: []string{"m"}}}}}
		},
		WantedVersions: f.wantedVersions, Directory: directory,
		Requests: func(*upstreams.Instance) int { return 0 }, Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

// Guards against engines that keep old weights when the answer to an order is lost, and against a view that lacks the
// new version or still shows the engine as updating after the load.
func TestControllerBringsAllEnginesToTheVersion(t *testing.T) {
	f := &fakeEngines{versions: map[string]uint64{}, lost: map[string]int{"e1": 2}}
	c := startController(t, f, 0)
	require.Eventually(t, func() bool {
		for _, i := range c.Directory.View().Instances {
			if i.Versions["m"] != 3 || i.Updating {
				return false
			}
		}
		return true
	}, 15*time.Second, 10*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, order := range f.orders {
		require.EqualValues(t, 7, order.Fence)
		require.EqualValues(t, 1, order.Sequence, "the order is valid only for the state that was read")
	}
}

func isUpdating(i upstreams.Instance) bool { return i.Updating }

// Guards against a former leader that sends no requests to the engines it gave orders to: it no longer learns when their
// loads end.
func TestFormerLeaderUsesTheEnginesItUpdated(t *testing.T) {
	f := &fakeEngines{versions: map[string]uint64{}, loading: true}
	c := startController(t, f, 0)
	updating := func() bool { return slices.ContainsFunc(c.Directory.View().Instances, isUpdating) }
	require.Eventually(t, updating, 5*time.Second, time.Millisecond)
	f.setFollower()
	require.Eventually(t, func() bool { return !updating() }, time.Second, time.Millisecond)
	require.Never(t, updating, time.Second, 10*time.Millisecond)
}

// Guards against an engine that gets no requests for seconds after its load: the instance list shows the new version
// before the next report is read, and reports are not read any more then. The next rollout must mark the engine again.
func TestLoadedEngineIsInUseOnceTheListShowsIt(t *testing.T) {
	f := &fakeEngines{versions: map[string]uint64{}}
	c := startController(t, f, 0)
	for _, version := range []uint64{3, 4} {
		f.setWanted(version)
		require.Eventually(t, func() bool { return slices.ContainsFunc(c.Directory.View().Instances, isUpdating) }, 5*time.Second, time.Millisecond)
		require.Eventually(t, func() bool {
			c.Directory.ApplyList(f.list(), time.Now())
			return !slices.ContainsFunc(c.Directory.View().Instances, func(i upstreams.Instance) bool { return i.Updating || i.Versions["m"] != version })
		}, 5*time.Second, time.Millisecond)
	}
}

// Guards against two controllers that both send orders within the lease, and against a controller that continues
// after an engine rejected its fence.
func TestControllerWaitsForTheLeaseAndStopsWhenRejected(t *testing.T) {
	f := &fakeEngines{versions: map[string]uint64{}, fenced: true}
	started := time.Now()
	startController(t, f, 300*time.Millisecond)
	require.Eventually(t, func() bool { return f.count() > 0 }, 5*time.Second, 5*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(started), 300*time.Millisecond+leaseMargin)
	require.Eventually(t, func() bool { return f.count() >= 1 }, time.Second, time.Millisecond)
	sent := f.count()
	require.Never(t, func() bool { return f.count() > sent+MaxConcurrentOrders(5) }, time.Second, 50*time.Millisecond)
}
