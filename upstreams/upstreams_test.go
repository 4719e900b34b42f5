package upstreams

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

func oneInstance(draining bool) []Instance {
	return []Instance{{ID: "a", Service: "s", Address: "1", Born: 1, Draining: draining, Versions: map[string]uint64{"m": 1}}}
}

// Guards against a draining instance that gets requests again because an outdated list shows it as ready.
func TestLeavingInstanceStaysLeaving(t *testing.T) {
	d := NewDirectory()
	now := time.Now()
	d.ApplyList(oneInstance(true), now)
	d.ApplyList(oneInstance(false), now)
	require.True(t, d.View().Instances[0].Draining)
	again := oneInstance(false)
	again[0].Born = 2
	d.ApplyList(again, now)
	require.False(t, d.View().Instances[0].Draining, "another incarnation under the id is not draining")
}

// Guards against a draining instance that gets requests again because one read of the list missed it.
func TestLeavingInstanceThatIsMissingFromOneListStaysLeaving(t *testing.T) {
	d := NewDirectory()
	now := time.Now()
	d.ApplyList(oneInstance(true), now)
	d.ApplyList(nil, now.Add(time.Second))
	d.ApplyList(oneInstance(false), now.Add(2*time.Second))
	require.True(t, d.View().Instances[0].Draining, "an instance that was draining is shown as ready after a list without it")
	d.ApplyList(nil, now.Add(3*time.Second))
	d.ApplyList(nil, now.Add(10*time.Minute))
	d.ApplyList(oneInstance(false), now.Add(10*time.Minute))
	require.False(t, d.View().Instances[0].Draining, "what is known of an instance that is not listed any more is bounded in time")
}

// Guards against an outdated list that hides what an engine has reported, and against an engine that stays
// without requests because an order never ends.
func TestReportsOfTheControllerOverrideTheList(t *testing.T) {
	d := NewDirectory()
	now := time.Now()
	d.ApplyList(oneInstance(false), now)
	key := d.View().Instances[0].Key()
	d.SetUpdating(key, true)
	require.True(t, d.View().Instances[0].Updating)
	d.SetLoadedVersion(key, "m", 2)
	d.SetUpdating(key, false)
	d.ApplyList(oneInstance(false), now)
	require.EqualValues(t, 2, d.View().Instances[0].Versions["m"])
	require.False(t, d.View().Instances[0].Updating)
	d.SetUpdating(key, true)
	d.ApplyList(oneInstance(false), now.Add(maxUpdateTime+time.Second))
	require.False(t, d.View().Instances[0].Updating)
}

// Guards against waking watchers for unchanged lists.
func TestSameListIsNoChange(t *testing.T) {
	d := NewDirectory()
	require.True(t, d.ApplyList(oneInstance(false), time.Now()))
	changed := d.Changed()
	require.False(t, d.ApplyList(oneInstance(false), time.Now()))
	select {
	case <-changed:
		t.Fatal("the same list woke the watchers")
	default:
	}
}

type countingLister struct{ calls atomic.Int32 }

func (l *countingLister) List(context.Context) ([]Instance, error) {
	l.calls.Add(1)
	return oneInstance(false), nil
}

// Guards against a node that does not notice the loss of the reader, and against all nodes reading while there is
// one.
func TestNodeReadsItselfOnlyWithoutAReader(t *testing.T) {
	d, lister := NewDirectory(), &countingLister{}
	d.Confirm(time.Now().Add(time.Hour))
	r := &Reader{Directory: d, Lister: lister, ReadsForAll: func() bool { return false }, Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	require.Never(t, func() bool { return lister.calls.Load() > 0 }, 400*time.Millisecond, 50*time.Millisecond)
	d.Confirm(time.Now().Add(-time.Minute))
	require.Eventually(t, func() bool { return lister.calls.Load() > 0 }, 3*time.Second, 10*time.Millisecond)
	require.False(t, r.Current(), "only a node that reads for all has a current list")
}

type failingLister struct{}

func (failingLister) List(context.Context) ([]Instance, error) { return nil, errors.New("no list") }

// Guards against engines that get no requests for as long as nobody can read the list, because they loaded weights when the last view was
// sent, and against one that gets requests although the controller of this node has just ordered it to load.
func TestOldViewDoesNotSayThatEnginesLoad(t *testing.T) {
	d := NewDirectory()
	loading := append(oneInstance(false), Instance{ID: "b", Service: "s", Updating: true})
	loading[0].Updating = true
	d.ApplyList(loading, time.Now())
	d.SetUpdating(Key{ID: "b"}, true)
	r := &Reader{Directory: d, Lister: failingLister{}, ReadsForAll: func() bool { return false }, Log: zap.NewNop()}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	time.Sleep(4 * checkInterval)
	require.True(t, d.View().Instances[0].Updating, "the view is not old")
	d.Confirm(time.Now().Add(-maxUpdateTime - time.Second))
	require.Eventually(t, func() bool { return !d.View().Instances[0].Updating }, time.Second, checkInterval)
	require.True(t, d.View().Instances[1].Updating)
}
