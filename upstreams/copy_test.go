package upstreams

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a node without a view that does not take one of another node, and against a copy whose age is lost.
func TestCopyFillsAnEmptyDirectory(t *testing.T) {
	d, now := NewDirectory(), time.Now()
	_, _, ok := d.Copy(now)
	require.False(t, ok, "there is no view to hand out")
	require.True(t, d.ApplyCopy(oneInstance(true), now.Add(-time.Hour), now))
	require.True(t, d.View().Instances[0].Draining)
	require.Equal(t, time.Hour, d.Age(now))
	_, age, ok := d.Copy(now.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, time.Hour+time.Second, age)
}

// Guards against a view that an older copy replaces, also if the ages are known with the error that CopyMargin allows for.
func TestOlderCopyIsNotApplied(t *testing.T) {
	d, now := NewDirectory(), time.Now()
	d.ApplyList(oneInstance(false), now)
	later := now.Add(time.Minute)
	other := oneInstance(false)
	other[0].Address = "2"
	require.False(t, d.ApplyCopy(other, now.Add(-time.Second), later))
	require.False(t, d.ApplyCopy(other, now.Add(CopyMargin), later))
	require.Equal(t, "1", d.View().Instances[0].Address)
	require.True(t, d.ApplyCopy(other, now.Add(CopyMargin+time.Millisecond), later))
	require.Equal(t, "2", d.View().Instances[0].Address)
	require.False(t, d.ApplyCopy(oneInstance(false), now.Add(CopyMargin+time.Millisecond), later), "the same age again")
}

// Guards against a leaving instance that a copy shows as ready, and against one that the list no longer shows and a copy brings back: the
// node that has the copy may have been paused and take its view for current.
func TestCopyBringsNothingBack(t *testing.T) {
	d, now := NewDirectory(), time.Now()
	instances := func(draining bool) []Instance {
		return []Instance{
			{ID: "a", Service: "s", Born: 1, Draining: draining, Versions: map[string]uint64{}}, {ID: "b", Service: "s", Born: 1, Versions: map[string]uint64{}},
		}
	}
	d.ApplyList(instances(true), now)
	d.ApplyList(instances(true)[:1], now.Add(time.Second))
	later := now.Add(10 * time.Second)
	require.True(t, d.ApplyCopy(instances(false), later, later))
	require.Len(t, d.View().Instances, 1)
	require.True(t, d.View().Instances[0].Draining)
	again := instances(false)
	again[1].Born = 2
	later = later.Add(10 * time.Second)
	require.True(t, d.ApplyCopy(again, later, later))
	require.Len(t, d.View().Instances, 2, "another incarnation is not gone")
	d.ApplyList(instances(false), later)
	require.Len(t, d.View().Instances, 2)
	require.EqualValues(t, 1, d.View().Instances[1].Born, "the list itself shows the instance again")
	later = later.Add(10 * time.Second)
	require.True(t, d.ApplyCopy(instances(false), later, later))
	require.Len(t, d.View().Instances, 2, "what the list shows again is not gone")
}

// Guards against an engine that gets no requests for as long as the list is away, because it loaded weights when the view was made.
func TestOldCopyDoesNotSayThatEnginesLoad(t *testing.T) {
	for _, age := range []time.Duration{time.Second, maxUpdateTime + time.Second} {
		d, now := NewDirectory(), time.Now()
		loading := oneInstance(false)
		loading[0].Updating = true
		require.True(t, d.ApplyCopy(loading, now.Add(-age), now))
		d.expireUpdating(now)
		require.Equal(t, age < maxUpdateTime, d.View().Instances[0].Updating)
	}
}
