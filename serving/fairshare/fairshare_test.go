package fairshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const target = time.Second

// offer records requests of an account of which a part is admitted with the same work each.
func offer(l *Ledger, k Key, admitted, refused int, work time.Duration, now time.Time) {
	for range admitted {
		l.Admitted(k, work, now)
	}
	for range refused {
		l.Refused(k, now)
	}
}

// Guards against an equal share that small accounts use up only in part, and against one where there is enough for all.
func TestLevel(t *testing.T) {
	require.InDelta(t, 40, level([]float64{10, 10, 100, 60}, 100), 1e-9)
	require.InDelta(t, 25, level([]float64{100, 100, 100, 100}, 100), 1e-9)
	require.Zero(t, level([]float64{10, 20}, 30))
	require.Zero(t, level(nil, 0))
}

// Guards against limits without a shortage, on accounts below their share, and against an account that stays limited long after its
// flood.
func TestFactorFollowsTheShare(t *testing.T) {
	l, now := New(), time.Unix(1000, 0)
	heavy, light := NewKey("s", "heavy"), NewKey("s", "light")
	offer(l, heavy, 50, 50, 100*time.Millisecond, now)
	offer(l, light, 10, 10, 100*time.Millisecond, now)
	require.EqualValues(t, 1, l.Decide(heavy, 0, target, now).Factor, "no shortage")
	share := l.Decide(heavy, target/2, target, now)
	require.True(t, share.Began)
	require.InDelta(t, 5, share.Work.Seconds(), 1e-6)
	require.InDelta(t, 4, share.Equal.Seconds(), 1e-6, "what light asks for is left to it")
	require.Less(t, share.Factor, 0.9)
	require.Greater(t, share.Factor, 0.8)
	require.Greater(t, l.Decide(light, target/2, target, now).Factor, 1.0)
	later := now.Add(shortageTime + time.Millisecond)
	share = l.Decide(heavy, 0, target, later)
	require.True(t, share.Ended)
	require.EqualValues(t, 1, share.Factor)
	require.Less(t, share.Work, 4*time.Second)
}

// Guards against an account that is limited below its floor: a quarter of the served fraction of all requests.
func TestFloor(t *testing.T) {
	l, now := New(), time.Unix(1000, 0)
	heavy := NewKey("s", "heavy")
	for i := range 23 {
		offer(l, NewKey("s", fmt.Sprint(i)), 40, 10, 10*time.Millisecond, now)
	}
	offer(l, heavy, 30, 70, 200*time.Millisecond, now)
	require.Less(t, l.Decide(heavy, target, target, now).Factor, 1.0)
	offer(l, heavy, 0, 200, 0, now)
	require.EqualValues(t, 1, l.Decide(heavy, target, target, now).Factor)
}

// Guards against accounts that are kept although they have sent nothing for long.
func TestForgetsAccountsWithoutRequests(t *testing.T) {
	l, now := New(), time.Unix(1000, 0)
	for i := range 1000 {
		offer(l, NewKey("s", fmt.Sprint(i)), 1, 0, time.Millisecond, now)
	}
	now = now.Add(time.Minute)
	l.Decide(NewKey("s", "other"), 0, target, now)
	require.LessOrEqual(t, len(l.services[hashName("s")].accounts), 1)
}

// Guards against sums that lose or gain at the change of the epoch, which all of them refer to.
func TestSumsDecayAcrossEpochs(t *testing.T) {
	l, now := New(), time.Unix(1000, 0)
	k := NewKey("s", "a")
	for range 200 {
		now = now.Add(halfLife)
		l.Admitted(k, time.Second, now)
		require.LessOrEqual(t, l.own(k, now), 2000.001)
	}
	require.InDelta(t, 2000, l.own(k, now), 0.001)
	require.InDelta(t, 1000, l.own(k, now.Add(halfLife)), 0.001)
	require.InDelta(t, 0, l.own(k, now.Add(time.Hour)), 0.001)
}
