package coldstart

import (
	"errors"
	"fmt"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// newGuard returns the guard of a node whose list has engines of the service s, which are cold, and of the service p, which are never.
func newGuard(engines int, now time.Time) *Guard {
	directory := upstreams.NewDirectory()
	var list []upstreams.Instance
	for i := range engines {
		list = append(list, upstreams.Instance{ID: fmt.Sprint("s", i), Service: "s"}, upstreams.Instance{ID: fmt.Sprint("p", i), Service: "p"})
	}
	directory.ApplyList(list, now)
	return New(Options{Directory: directory, Log: zap.NewNop(), Metrics: gometrics.NewRegistry(), Limit: func(service string) trafficset.ColdLimit {
		if service == "s" {
			return limit
		}
		return trafficset.ColdLimit{}
	}})
}

// Guards against a restart that other nodes do not hear of, and against messages about services whose instances are never cold.
func TestNewsReachOtherNodes(t *testing.T) {
	now := time.Now()
	a, b, c := newGuard(2, now), newGuard(2, now), newGuard(2, now)
	view := a.options.Directory.View()
	cold, plain := view.OfService("s")[0], view.OfService("p")[0]
	a.Sign(plain, trafficset.ColdLimit{}, "r", errors.New("reset"), now)
	require.Empty(t, a.News(false, now))
	a.Sign(cold, limit, "r", errors.New("reset"), now)
	a.Reached(cold, now.Add(time.Second))
	report := a.News(false, now.Add(time.Second))
	require.Len(t, report, 1)
	require.EqualValues(t, 1000, report[0].GetAgeMs())
	require.EqualValues(t, 3000, report[0].GetLeftMs())
	b.Apply("a", true, report, now.Add(1100*time.Millisecond))
	require.Equal(t, NewConnections, b.Need(b.options.Directory.View().OfService("s")[0], limit, now.Add(1200*time.Millisecond)))
	c.Apply("zone", false, b.News(true, now.Add(1200*time.Millisecond)), now.Add(1300*time.Millisecond))
	require.Equal(t, NewConnections, c.Need(c.options.Directory.View().OfService("s")[0], limit, now.Add(1400*time.Millisecond)))
	require.Empty(t, c.News(true, now.Add(1400*time.Millisecond)))
	b.ApplyUnresponsive("a", []string{"s1", "p1"}, now)
	require.Equal(t, NewConnections, b.Need(b.options.Directory.View().OfService("s")[1], limit, now))
	require.Len(t, b.states.byHash, 2)
}

// Guards against a node that goes on to report an old sign of an instance that the list shows as warm, because it sends nothing to it any more, and
// against one log line at the other nodes for each of these reports.
func TestSignsBeforeANewerListAreNotReported(t *testing.T) {
	now := time.Now()
	a, b := newGuard(1, now), newGuard(1, now)
	a.Sign(a.options.Directory.View().OfService("s")[0], limit, "r", errors.New("refused"), now)
	old := a.News(false, now)
	require.Len(t, old, 1)
	at := now.Add(time.Minute)
	a.options.Directory.Confirm(at)
	b.options.Directory.Confirm(at)
	require.Empty(t, a.News(false, at))
	old[0].AgeMs = 60_000
	for range 3 {
		b.Apply("a", true, old, at)
		require.Equal(t, NoPermit, b.Need(b.options.Directory.View().OfService("s")[0], limit, at))
	}
	require.Zero(t, b.counter("coldstart.reported").Count())
}

// Guards against news of another node with a longer cold time than that of the set, or about instances that are not listed.
func TestNewsAreBounded(t *testing.T) {
	now := time.Now()
	a, b := newGuard(1, now), newGuard(1, now)
	cold := a.options.Directory.View().OfService("s")[0]
	a.Sign(cold, trafficset.ColdLimit{Duration: time.Hour, PerSecond: 1}, "r", nil, now)
	news := a.News(false, now)
	b.Apply("a", true, news, now)
	require.Equal(t, NewConnections, b.Need(cold, limit, now.Add(limit.Duration-time.Millisecond)))
	require.Equal(t, NoPermit, b.Need(cold, limit, now.Add(limit.Duration)))
	b.options.Directory.ApplyList([]upstreams.Instance{{ID: "other", Service: "s"}}, now)
	b.Retain(b.options.Directory.View(), now)
	require.NotEmpty(t, b.states.byHash, "one list may miss the instance")
	b.Retain(b.options.Directory.View(), now.Add(missingMemory+time.Second))
	b.Apply("a", true, news, now)
	require.Empty(t, b.states.byHash)
}

// BenchmarkNeed measures what each send pays at a service with a cold limit, and at one without.
func BenchmarkNeed(b *testing.B) {
	for _, engines := range []int{15, 2600} {
		for name, limit := range map[string]trafficset.ColdLimit{"limit": limit, "no limit": {}} {
			b.Run(fmt.Sprintf("%s/engines-%d", name, engines), func(b *testing.B) {
				now := time.Now()
				g := newGuard(engines, now.Add(-time.Hour))
				list := g.options.Directory.View().OfService("s")
				for _, i := range list {
					g.Sign(i, limit, "r", nil, now)
				}
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					g.Need(list[n%len(list)], limit, now)
				}
			})
		}
	}
}

// Guards against a node that was suspended while a zone was evacuated and returned, and sends what has queued up at once when it wakes up.
func TestSuspendedNodeNeedsPermitsUntilItHearsFromTheLeader(t *testing.T) {
	now := time.Now()
	g := newGuard(1, now)
	instance := g.options.Directory.View().OfService("s")[0]
	need := func(after time.Duration) Need { return g.Need(instance, limit, now.Add(after)) }
	g.News(false, now.Add(10*time.Millisecond))
	g.News(false, now.Add(900*time.Millisecond))
	require.Equal(t, NoPermit, need(time.Second), "a busy VM")
	require.Equal(t, AllConnections, need(5*time.Second), "before the first report after the suspension")
	g.News(false, now.Add(5001*time.Millisecond))
	require.Equal(t, AllConnections, need(5100*time.Millisecond))
	g.options.Directory.Confirm(now.Add(5200 * time.Millisecond))
	require.Equal(t, NoPermit, need(5300*time.Millisecond))
	for at := 5300 * time.Millisecond; at < 9*time.Second; at += 100 * time.Millisecond {
		g.News(false, now.Add(at))
	}
	require.Equal(t, NoPermit, need(9*time.Second), "a node without contact goes on")
	g.News(false, now.Add(15*time.Second))
	for at := 15 * time.Second; at < 18*time.Second; at += 100 * time.Millisecond {
		g.News(false, now.Add(at))
	}
	require.Equal(t, AllConnections, need(17900*time.Millisecond))
	require.Equal(t, NoPermit, need(18*time.Second))
}

// Guards against an instance that becomes cold after it was chosen, and gets the request without a permit.
func TestNewestViewCounts(t *testing.T) {
	now := time.Now()
	g := newGuard(1, now)
	chosen := g.options.Directory.View().OfService("s")[0]
	require.Equal(t, NoPermit, g.Need(chosen, limit, now))
	g.options.Directory.ApplyList([]upstreams.Instance{{ID: "s0", Service: "s", ColdLeft: 2 * time.Second}}, now)
	require.Equal(t, AllConnections, g.Need(chosen, limit, now.Add(time.Second)))
}

// Guards against an empty list that ends what is known of restarts: the next one shows the instances as they were.
func TestEmptyListEndsNoSign(t *testing.T) {
	now := time.Now()
	g := newGuard(1, now)
	instance := g.options.Directory.View().OfService("s")[0]
	g.Sign(instance, limit, "r", nil, now)
	g.options.Directory.ApplyList(nil, now.Add(time.Second))
	g.Retain(g.options.Directory.View(), now.Add(time.Second))
	g.options.Directory.ApplyList([]upstreams.Instance{{ID: "s0", Service: "s"}}, now.Add(1500*time.Millisecond))
	g.Retain(g.options.Directory.View(), now.Add(1500*time.Millisecond))
	require.Equal(t, NewConnections, g.Need(g.options.Directory.View().OfService("s")[0], limit, now.Add(2*time.Second)))
}
