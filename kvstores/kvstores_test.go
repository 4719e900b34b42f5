package kvstores

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/clocktest"
	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// link is the state of all links.
type link struct {
	backlog  time.Duration
	slowness float64
}

func (l link) Backlog(string) time.Duration { return l.backlog }
func (l link) Slowness(string) float64      { return l.slowness }

var idle = link{slowness: 1}

// twoKinds describes a small store with a short delay and a large one with a long delay.
func twoKinds() *trafficset.Set {
	return &trafficset.Set{Services: []trafficset.Service{
		{Name: "e", Engine: &trafficset.EngineSpec{TokenBytes: 18432}},
		{Name: "fast", Store: &trafficset.StoreSpec{Address: "fast", AvailabilityZone: "z", CacheTokens: 100_000, LinkMbps: 100_000, FirstByte: 500 * time.Microsecond}},
		{Name: "large", Store: &trafficset.StoreSpec{Address: "large", AvailabilityZone: "z", CacheTokens: 1_000_000, LinkMbps: 29_000, FirstByte: 6 * time.Millisecond}},
	}}
}

func newTestDirectory() (*Directory, *clocktest.Manual) {
	clock := clocktest.NewManual(time.Unix(1_000_000, 0))
	d := NewDirectory(clock.Now)
	d.Configure(twoKinds())
	d.RecordContact()
	d.ApplyChanges([]*nodepb.StorePlacement{{Address: "fast", Epoch: 1, Accepts: true, Reset_: true}, {Address: "large", Epoch: 1, Accepts: true, Reset_: true}})
	return d, clock
}

func placedPart(id string, tokens uint32) *nodepb.PlacedPart {
	return &nodepb.PlacedPart{Salt: "v1", Id: id, Tokens: tokens}
}

var prompt = []placement.Part{{ID: "a", Tokens: 2500}, {ID: "b", Tokens: 5000}, {ID: "own", Tokens: 100}}

// Guards against fetching a part that is not known to be complete, and against reading parts again because the part
// before them, which engines hold, is in no store.
func TestLocateSkipsGaps(t *testing.T) {
	d, _ := newTestDirectory()
	d.ApplyChanges([]*nodepb.StorePlacement{{Address: "large", Epoch: 1, Accepts: true, Added: []*nodepb.PlacedPart{placedPart("b", 5000)}}})
	gap := d.Locate("v1", prompt[:2], time.Second, idle)
	require.Len(t, gap, 2)
	require.Empty(t, gap[0].Address)
	require.Equal(t, "large", gap[1].Address)
	d.ApplyChanges([]*nodepb.StorePlacement{{Address: "large", Epoch: 1, Accepts: true, Added: []*nodepb.PlacedPart{placedPart("a", 2500)}}})
	found := d.Locate("v1", prompt[:2], time.Second, idle)
	require.Len(t, found, 2)
	require.InDelta(t, 31.4, float64(found[1].Transfer)/float64(time.Millisecond), 0.5, "6 ms and 92 MB at 29 Gbit/s")
	require.Empty(t, d.Locate("v2", prompt[:2], time.Second, idle), "parts of other weights")
	require.Len(t, d.Locate("v1", prompt[:2], 30*time.Millisecond, idle), 1, "a part that would come too late")
	require.Empty(t, d.Locate("v1", prompt[:2], time.Second, link{backlog: time.Second, slowness: 1}))
	require.Len(t, d.Locate("v1", prompt[:2], 100*time.Millisecond, link{slowness: 4}), 1, "a slow link")
}

// Guards against requests that stop waiting after a start although the contents of a store are still to come: a reset
// precedes them. A store that is down is reported without contents.
func TestStoresAreKnownOnceAllAreReported(t *testing.T) {
	d, _ := newTestDirectory()
	isKnown := func() bool {
		select {
		case <-d.Known():
			return true
		default:
			return false
		}
	}
	require.False(t, isKnown())
	d.ApplyChanges([]*nodepb.StorePlacement{{Address: "fast", Epoch: 1}})
	require.False(t, isKnown())
	d.ApplyChanges([]*nodepb.StorePlacement{{Address: "large", Reset_: true}})
	require.True(t, isKnown())
}

// Guards against fetches and saves by a node that is not notified of restarts of stores.
func TestNothingIsUsedWithoutContact(t *testing.T) {
	d, clock := newTestDirectory()
	d.ApplyChanges([]*nodepb.StorePlacement{{Address: "large", Epoch: 1, Accepts: true, Added: []*nodepb.PlacedPart{placedPart("a", 2500)}}})
	clock.Advance(contactTimeout + time.Millisecond)
	require.Empty(t, d.Locate("v1", prompt[:2], time.Second, idle))
	save, _ := d.Save("v1", prompt, "z", idle)
	require.Empty(t, save)
	d.RecordContact()
	require.Len(t, d.Locate("v1", prompt[:2], time.Second, idle), 1)
}

// Guards against fetching a part from a store that lost it, and against saving while other nodes may still fetch the
// store's former contents.
func TestRestartEmptiesAStoreAndStopsSaves(t *testing.T) {
	d, _ := newTestDirectory()
	d.ApplyChanges([]*nodepb.StorePlacement{{Address: "large", Epoch: 1, Accepts: true, Added: []*nodepb.PlacedPart{placedPart("a", 2500)}}})
	d.ApplyChanges([]*nodepb.StorePlacement{{Address: "large", Epoch: 2, Reset_: true}, {Address: "fast", Epoch: 2, Reset_: true}})
	require.Empty(t, d.Locate("v1", prompt[:2], time.Second, idle))
	save, _ := d.Save("v1", prompt, "z", idle)
	require.Empty(t, save)
	d.ApplyChanges([]*nodepb.StorePlacement{{Address: "large", Epoch: 2, Accepts: true}})
	save, transfers := d.Save("v1", prompt, "z", idle)
	require.Equal(t, []string{"large", "large", ""}, save)
	require.Len(t, transfers, 1)
}

// Guards against saving parts that a store holds, that are being saved, or that belong to one request only, and
// against saves that delay fetches.
func TestSaveOnce(t *testing.T) {
	d, clock := newTestDirectory()
	d.ApplyChanges([]*nodepb.StorePlacement{{Address: "large", Epoch: 1, Accepts: true, Added: []*nodepb.PlacedPart{placedPart("a", 2500)}}})
	save, _ := d.Save("v1", prompt, "z", idle)
	require.Equal(t, []string{"", "large", ""}, save)
	save, _ = d.Save("v1", prompt, "z", idle)
	require.Empty(t, save)
	clock.Advance(saveTimeout)
	d.RecordContact()
	save, _ = d.Save("v1", prompt, "z", link{backlog: maxSaveBacklog + 1, slowness: 1})
	require.Empty(t, save)
	save, _ = d.Save("v1", prompt, "z", idle)
	require.Equal(t, []string{"", "large", ""}, save, "a failed save is retried")
}

// Guards against treating a full store as having space: with a second copy of its parts elsewhere it got 2,417 of
// 6,000 saves, all of which failed. Also guards against joining a long queue at one copy while another is idle.
func TestAllCopiesOfAPartAreKnown(t *testing.T) {
	d, _ := newTestDirectory()
	full := &nodepb.StorePlacement{Address: "fast", Epoch: 1, Accepts: true, Added: []*nodepb.PlacedPart{placedPart("b", 99_000)}}
	d.ApplyChanges([]*nodepb.StorePlacement{full, {Address: "large", Epoch: 1, Accepts: true, Added: []*nodepb.PlacedPart{placedPart("b", 99_000)}}})
	require.Equal(t, "large", d.chooseStore(Part{"v1", "x"}, 2000, "z", idle), "the fast store is full")
	parts := []placement.Part{{ID: "b", Tokens: 99_000}}
	require.Equal(t, "fast", d.Locate("v1", parts, 10*time.Second, idle)[0].Address)
	d.ApplyChanges([]*nodepb.StorePlacement{{Address: "fast", Epoch: 1, Accepts: true, Removed: []*nodepb.PlacedPart{placedPart("b", 0)}}})
	require.Equal(t, "large", d.Locate("v1", parts, 10*time.Second, idle)[0].Address)
	d.ApplyChanges([]*nodepb.StorePlacement{{Address: "large", Epoch: 2, Reset_: true}})
	require.Empty(t, d.Locate("v1", parts, 10*time.Second, idle))
	require.Zero(t, d.stores["fast"].used)
	require.Zero(t, d.stores["large"].used)
}

// Guards against several nodes that save the same part at the same time, in several stores.
func TestSavesOfOtherNodesAreNotAskedAgain(t *testing.T) {
	own, _ := newTestDirectory()
	other, _ := newTestDirectory()
	_, transfers := own.Save("v1", prompt, "z", idle)
	require.NotEmpty(t, transfers)
	other.RecordSaves(own.DrainSaves())
	require.Empty(t, own.DrainSaves(), "reported once")
	save, _ := other.Save("v1", prompt, "z", idle)
	require.Empty(t, save)
}

// Guards against filling small stores with large parts, and against saving more to a store than it holds.
func TestPartsGoToStoresThatSuitTheirSize(t *testing.T) {
	d, _ := newTestDirectory()
	used := map[string]int{}
	for i := range 200 {
		small, _ := d.Save("v1", []placement.Part{{ID: fmt.Sprint("s", i), Tokens: 500}, {ID: "own"}}, "z", idle)
		large, _ := d.Save("v1", []placement.Part{{ID: fmt.Sprint("l", i), Tokens: 5000}, {ID: "own"}}, "z", idle)
		used["small in "+small[0]]++
		used["large in "+large[0]]++
	}
	require.Greater(t, used["small in fast"], 150, "%v", used)
	require.Greater(t, used["large in large"], 190, "%v", used)
	d.ApplyChanges([]*nodepb.StorePlacement{
		{Address: "fast", Epoch: 1, Accepts: true, Added: []*nodepb.PlacedPart{placedPart("x", 99_000)}},
		{Address: "large", Epoch: 1, Accepts: true, Added: []*nodepb.PlacedPart{placedPart("y", 949_000)}},
	})
	save, _ := d.Save("v1", prompt, "z", idle)
	require.Empty(t, save, "both are full")
}

// fakeStore is one store whose events and epoch a test sets.
type fakeStore struct {
	mu         sync.Mutex
	epoch      int64
	held       map[Part]int
	incomplete []Part
	events     []Event
	lost       bool
	down       bool
	freed      []Part
	freedUntil int64
	listed     int
	waiting    time.Duration
}

func (f *fakeStore) Events(ctx context.Context, _ string, since uint64, _ time.Duration) (Events, error) {
	select {
	case <-ctx.Done():
	case <-time.After(f.waiting):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Events{}, failure.New(failure.UpstreamFailed, failure.Unknown, "down")
	}
	out := Events{Epoch: f.epoch, Next: uint64(len(f.events)), Lost: f.lost, Events: f.events[min(int(since), len(f.events)):]}
	f.lost = false
	return out, nil
}

func (f *fakeStore) List(context.Context, string) (Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return Listing{}, failure.New(failure.UpstreamFailed, failure.Unknown, "down")
	}
	f.listed++
	out := Listing{Epoch: f.epoch, Next: uint64(len(f.events)), Incomplete: f.incomplete}
	for part, tokens := range f.held {
		out.Complete = append(out.Complete, Event{Part: part, Tokens: tokens})
	}
	return out, nil
}

func (f *fakeStore) Free(_ context.Context, _ string, epoch, untilMs int64, parts []Part) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch != f.epoch {
		return failure.New(failure.UpstreamFailed, failure.NotRun, "another epoch")
	}
	f.freed = append(f.freed, parts...)
	f.freedUntil = untilMs
	return nil
}

func (f *fakeStore) set(change func(*fakeStore)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

// recorder applies the changes that a coordinator publishes to a directory, as a node does.
type recorder struct {
	directory *Directory
	mu        sync.Mutex
	accepted  []time.Time
	reset     time.Time
	// acceptedEpoch is set before the coordinator starts.
	acceptedEpoch int64
}

func (r *recorder) Append(change *nodepb.StorePlacement, _ func() []*nodepb.StorePlacement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if change.GetReset_() {
		r.reset = time.Now()
	}
	if change.GetAccepts() && len(change.GetAdded())+len(change.GetRemoved()) == 0 {
		r.accepted = append(r.accepted, time.Now())
	}
	r.directory.RecordContact()
	r.directory.ApplyChanges([]*nodepb.StorePlacement{change})
}

// previousEpoch is the epoch that the previous coordinator had in use.
func (r *recorder) previousEpoch(string) int64 { return r.acceptedEpoch }

func (r *recorder) Clear() {}

func (r *recorder) located(id string) bool {
	r.directory.RecordContact()
	return len(r.directory.Locate("v1", []placement.Part{{ID: id, Tokens: 10}}, time.Hour, idle)) == 1
}

func startCoordinator(t *testing.T, store *fakeStore, usable func(string) bool) *recorder {
	t.Helper()
	return startCoordinatorAfter(t, store, usable, 0)
}

// startCoordinatorAfter starts a coordinator whose predecessor had the store in use in epochBefore.
func startCoordinatorAfter(t *testing.T, store *fakeStore, usable func(string) bool, epochBefore int64) *recorder {
	t.Helper()
	set := &trafficset.Set{Services: []trafficset.Service{
		{Name: "e", Engine: &trafficset.EngineSpec{TokenBytes: 1}},
		{Name: "s", Store: &trafficset.StoreSpec{Address: "s", CacheTokens: 1000, LinkMbps: 1000}},
	}}
	r := &recorder{directory: NewDirectory(time.Now), acceptedEpoch: epochBefore}
	r.directory.Configure(set)
	c := &Coordinator{
		Client: store, Leads: func() bool { return true }, Set: func() *trafficset.Set { return set }, Publisher: r, IsSaltUsable: usable, AcceptedEpoch: r.previousEpoch,
		Log: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { c.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return r
}

// Guards against fetching parts from a store that restarted, and against saving to it too early.
func TestCoordinatorDetectsARestart(t *testing.T) {
	store := &fakeStore{epoch: 1, held: map[Part]int{{"v1", "a"}: 10}, waiting: 5 * time.Millisecond}
	r := startCoordinator(t, store, nil)
	require.Eventually(t, func() bool { return r.located("a") }, 5*time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.accepted) == 1 }, 5*time.Second, 5*time.Millisecond)
	store.set(func(f *fakeStore) { f.epoch, f.held, f.events = 2, map[Part]int{}, nil })
	require.Eventually(t, func() bool { return !r.located("a") }, 2*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.accepted) == 2 }, 5*time.Second, 5*time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	require.GreaterOrEqual(t, r.accepted[1].Sub(r.reset), saveDelayAfterRestart, "nodes without messages of the reader still fetch for a while")
}

// Guards against 1.5 s without saves after each change of the leader, while stores are being filled, and against
// saves to a store that restarted while there was no leader.
func TestNewKeeperGoesOnWithStoresInUse(t *testing.T) {
	accepted := func(r *recorder) bool { r.mu.Lock(); defer r.mu.Unlock(); return len(r.accepted) == 1 }
	store := func() *fakeStore {
		return &fakeStore{epoch: 7, held: map[Part]int{{"v1", "a"}: 10}, waiting: 5 * time.Millisecond}
	}
	same, restarted := startCoordinatorAfter(t, store(), nil, 7), startCoordinatorAfter(t, store(), nil, 6)
	require.Eventually(t, func() bool { return accepted(same) && same.located("a") }, saveDelayAfterRestart/2, time.Millisecond)
	require.False(t, accepted(restarted))
	require.Eventually(t, func() bool { return accepted(restarted) }, 5*time.Second, 5*time.Millisecond)
}

// Guards against using a store that is down.
func TestCoordinatorDetectsAStoreThatIsDown(t *testing.T) {
	store := &fakeStore{epoch: 1, held: map[Part]int{{"v1", "a"}: 10}, waiting: 5 * time.Millisecond}
	r := startCoordinator(t, store, nil)
	require.Eventually(t, func() bool { return r.located("a") }, 5*time.Second, 5*time.Millisecond)
	store.set(func(f *fakeStore) { f.down = true })
	require.Eventually(t, func() bool { return !r.located("a") }, 2*time.Second, time.Millisecond)
	store.set(func(f *fakeStore) { f.down = false })
	require.Eventually(t, func() bool { return r.located("a") }, 2*time.Second, time.Millisecond)
}

// Guards against parts that stay unknown when their events are lost, and against fetching freed parts.
func TestCoordinatorFollowsEventsAndRepairsGaps(t *testing.T) {
	store := &fakeStore{epoch: 1, held: map[Part]int{}, waiting: 5 * time.Millisecond}
	r := startCoordinator(t, store, nil)
	require.Eventually(t, func() bool { store.mu.Lock(); defer store.mu.Unlock(); return store.listed > 0 }, 5*time.Second, 5*time.Millisecond)
	store.set(func(f *fakeStore) { f.events = append(f.events, Event{Part: Part{"v1", "a"}, Tokens: 10}) })
	require.Eventually(t, func() bool { return r.located("a") }, 2*time.Second, time.Millisecond)
	store.set(func(f *fakeStore) { f.events = append(f.events, Event{Part: Part{"v1", "a"}, Removed: true}) })
	require.Eventually(t, func() bool { return !r.located("a") }, 2*time.Second, time.Millisecond)
	store.set(func(f *fakeStore) { f.held[Part{"v1", "b"}] = 10; f.lost = true })
	require.Eventually(t, func() bool { return r.located("b") }, 2*time.Second, time.Millisecond)
}

// Guards against stores that fill up with parts of old weights, and against freeing parts during a fetch.
func TestCoordinatorFreesPartsOfOldWeights(t *testing.T) {
	store := &fakeStore{epoch: 1, held: map[Part]int{{"v1", "old"}: 10, {"v2", "new"}: 10}, waiting: 5 * time.Millisecond}
	startCoordinator(t, store, func(salt string) bool { return salt == "v2" })
	started := time.Now()
	require.Eventually(t, func() bool { store.mu.Lock(); defer store.mu.Unlock(); return len(store.freed) > 0 }, 20*time.Second, 5*time.Millisecond)
	require.GreaterOrEqual(t, time.Since(started), transferDrain-time.Second, "a fetch may still be in progress")
	store.mu.Lock()
	defer store.mu.Unlock()
	require.Equal(t, Part{"v1", "old"}, store.freed[0])
}

// Guards against a fetch deadline on the wrong clock: the fetch would be abandoned at once, or never.
func TestFetchLimitIsOnTheEnginesClock(t *testing.T) {
	d, clock := newTestDirectory()
	require.Zero(t, d.FetchDeadline(time.Second), "no limit while the clock is not known")
	d.SetClock(50_000.5)
	clock.Advance(200 * time.Millisecond)
	require.EqualValues(t, 50_700, d.FetchDeadline(500*time.Millisecond))
	d.SetClock(0)
	require.EqualValues(t, 50_700, d.FetchDeadline(500*time.Millisecond))
}
