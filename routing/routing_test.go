package routing

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/serving/evacuation"
)

var start = time.Unix(1000, 0)

func fleet(n int) []Upstream {
	upstreams := make([]Upstream, n)
	for i := range upstreams {
		upstreams[i] = Upstream{Name: fmt.Sprintf("u%04d", i), Zone: "z1", PrefillRate: 10000, DecodeRate: 40, State: controlclient.Live}
	}
	return upstreams
}

func snapshotOf(upstreams []Upstream) Snapshot {
	return Snapshot{
		Now: start, Index: NewIndex(map[string][]Upstream{"m": upstreams}, nil),
		Loads: NewLoads(LoadDefaults()), Prefixes: NewPrefixes(PrefixDefaults()),
	}
}

func newRouter(off Off) *Router {
	settings := Defaults()
	settings.Off = off
	return New(settings, rand.New(rand.NewPCG(1, 2)))
}

func testName(n uint64) piece.Name {
	var name piece.Name
	binary.LittleEndian.PutUint64(name[:], mix(n))
	return name
}

func request(n uint64) Request {
	return Request{Model: "m", Affinity: testName(n), Pieces: []piece.Name{testName(n), testName(n + 1<<32)}, PromptTokens: 5000, Zone: "z1"}
}

func pick(t *testing.T, r *Router, req Request, s Snapshot) Decision {
	t.Helper()
	d, err := r.Pick(req, s)
	require.NoError(t, err)
	return d
}

// TestFilters guards against sending requests to upstreams that must not get any.
func TestFilters(t *testing.T) {
	upstreams := fleet(6)
	upstreams[0].State = controlclient.Leaving
	upstreams[1].State = controlclient.Dead
	s := snapshotOf(upstreams)
	s.Loads.RecordReport("u0002", Report{Draining: true}, start)
	s.Loads.RecordUnreachable("u0003", start)
	req := request(1)
	req.Exclude = []string{"u0004"}
	for range 20 {
		require.Equal(t, "u0005", pick(t, newRouter(Off{}), req, s).Upstream.Name)
	}
	req.Exclude = append(req.Exclude, "u0005")
	_, err := newRouter(Off{}).Pick(req, s)
	require.True(t, failure.Is(err, failure.NoUpstream))
	require.Equal(t, failure.NotRun, failure.Of(err).Execution)
}

// TestOwnSentWork guards against herding: an entry must not send a burst to a single upstream because of one stale report.
func TestOwnSentWork(t *testing.T) {
	s := snapshotOf(fleet(6))
	for _, u := range fleet(6) {
		s.Loads.RecordReport(u.Name, Report{QueuedTokens: 3000}, start)
	}
	s.Loads.RecordReport("u0002", Report{}, start)
	r := newRouter(Off{})
	counts := map[string]int{}
	for range 60 {
		d := pick(t, r, Request{Model: "m", PromptTokens: 1000}, s)
		s.Loads.RecordSent(d.Upstream.Name, 1000, 0, start)
		counts[d.Upstream.Name]++
	}
	require.Len(t, counts, 6)
	for name, count := range counts {
		require.LessOrEqual(t, count, 16, name)
	}
}

// TestReportKeepsLaterSends guards against dropping sent work that a report cannot include yet, and against counting work
// twice.
func TestReportKeepsLaterSends(t *testing.T) {
	l := NewLoads(LoadDefaults())
	u := fleet(1)[0]
	l.RecordSent(u.Name, 700, 0, start)
	l.RecordSent(u.Name, 300, 0, start.Add(20*time.Millisecond))
	l.RecordReport(u.Name, Report{QueuedTokens: 700}, start.Add(21*time.Millisecond))
	require.EqualValues(t, 1000, l.Estimate(u, "day", 1, start.Add(22*time.Millisecond)).QueuedTokens)
	require.EqualValues(t, 350, l.Estimate(u, "day", 1, start.Add(4*time.Second+21*time.Millisecond)).QueuedTokens-300)
	require.Less(t, l.Estimate(u, "day", 1, start.Add(time.Minute)).QueuedTokens, int64(30))
}

// TestFastFailure guards against an upstream that fails fast, therefore looks idle, and attracts all requests.
func TestFastFailure(t *testing.T) {
	s := snapshotOf(fleet(4))
	for _, u := range fleet(4) {
		s.Loads.RecordReport(u.Name, Report{QueuedTokens: 2000}, start)
	}
	s.Loads.RecordReport("u0001", Report{}, start)
	r := newRouter(Off{})
	failed := 0
	for range 100 {
		d := pick(t, r, Request{Model: "m", PromptTokens: 500}, s)
		if d.Upstream.Name == "u0001" {
			failed++
			s.Loads.RecordFailure("u0001", s.Now)
		}
		s.Now = s.Now.Add(5 * time.Millisecond)
	}
	require.LessOrEqual(t, failed, 5)
	s.Now = s.Now.Add(time.Minute)
	require.Less(t, s.Loads.Estimate(fleet(2)[1], "day", 1, s.Now).Penalty, time.Millisecond, "the penalty decays")
}

// TestCachedUpstreamIsPreferred guards against computing prompts on upstreams that do not cache them, and against keeping the preferred
// upstream although it is overloaded or has restarted with an empty cache.
func TestCachedUpstreamIsPreferred(t *testing.T) {
	s := snapshotOf(fleet(15))
	r := newRouter(Off{})
	req := request(7)
	first := pick(t, r, req, s).Upstream.Name
	s.Loads.RecordReport(first, Report{Epoch: 1}, start)
	s.Prefixes.RecordServed(first, 1, req.Pieces, start)
	for range 20 {
		d := pick(t, r, req, s)
		require.Equal(t, first, d.Upstream.Name)
		require.EqualValues(t, 4000, d.CachedTokens)
	}
	s.Loads.RecordReport(first, Report{Epoch: 1, QueuedTokens: 20000}, start)
	require.NotEqual(t, first, pick(t, r, req, s).Upstream.Name, "an overloaded upstream is avoided")
	s.Loads.RecordReport(first, Report{Epoch: 2, QueuedTokens: 100}, start)
	require.NotEqual(t, first, pick(t, r, req, s).Upstream.Name, "a restarted upstream has an empty cache")
}

// TestEntriesAgree guards against entries choosing different upstreams for the same new prompt, which would then be computed
// several times.
func TestEntriesAgree(t *testing.T) {
	upstreams := fleet(100)
	for n := range uint64(50) {
		a := pick(t, newRouter(Off{}), request(n), snapshotOf(upstreams))
		b := pick(t, New(Defaults(), rand.New(rand.NewPCG(n, 9))), request(n), snapshotOf(upstreams))
		require.Equal(t, a.Upstream.Name, b.Upstream.Name)
	}
}

// TestMeasuredRates guards against treating slow and fast hardware alike.
func TestMeasuredRates(t *testing.T) {
	s := snapshotOf(fleet(2))
	s.Loads.RecordReport("u0000", Report{QueuedTokens: 4000, PrefillRate: 20000}, start)
	s.Loads.RecordReport("u0001", Report{QueuedTokens: 4000, PrefillRate: 2000}, start)
	d := pick(t, newRouter(Off{}), Request{Model: "m", PromptTokens: 1000}, s)
	require.Equal(t, "u0000", d.Upstream.Name)
	require.Equal(t, 250*time.Millisecond, d.FirstToken)
}

// TestLoadByRank guards against moving urgent requests away from their cache because of less urgent queued work.
func TestLoadByRank(t *testing.T) {
	l := NewLoads(LoadDefaults())
	u := fleet(1)[0]
	l.RecordReport(u.Name, Report{QueuedTokens: 90000, QueuedAhead: map[string]int64{"urgent": 500, "night": 90000}}, start)
	l.RecordSent(u.Name, 3000, 2, start.Add(time.Second))
	l.RecordSent(u.Name, 200, 0, start.Add(time.Second))
	now := start.Add(time.Second)
	require.EqualValues(t, 700, l.Estimate(u, "urgent", 0, now).QueuedTokens)
	require.EqualValues(t, 93200, l.Estimate(u, "night", 2, now).QueuedTokens)
	require.EqualValues(t, 93200, l.Estimate(u, "unknown", 0, now).QueuedTokens)
}

// TestVersionPreferred guards against waiting for a weight load while another upstream has the version.
func TestVersionPreferred(t *testing.T) {
	s := snapshotOf(fleet(2))
	s.Loads.RecordReport("u0000", Report{Versions: []string{"v1"}}, start)
	s.Loads.RecordReport("u0001", Report{Versions: []string{"v2"}, QueuedTokens: 3000}, start)
	d := pick(t, newRouter(Off{}), Request{Model: "m", PromptTokens: 1000, WeightVersion: "v2"}, s)
	require.Equal(t, "u0001", d.Upstream.Name)
	require.Len(t, d.Reasons(), 3)
}

// TestRingStable guards against a membership change that moves prompts between upstreams that remain.
func TestRingStable(t *testing.T) {
	before := NewIndex(map[string][]Upstream{"m": fleet(100)}, nil)
	after := NewIndex(map[string][]Upstream{"m": fleet(101)}, before)
	moved := 0
	for n := range uint64(2000) {
		hash := mix(n)
		a, b := before.models["m"], after.models["m"]
		if a.entries[a.ring[a.start(hash)].entry].Name != b.entries[b.ring[b.start(hash)].entry].Name {
			moved++
		}
	}
	require.Less(t, moved, 80)
	same := NewIndex(map[string][]Upstream{"m": fleet(101)}, after)
	require.Same(t, after.models["m"], same.models["m"], "the index of an unchanged model is reused")
}

// TestBuildIndex guards against using upstreams whose agent has not been live yet.
func TestBuildIndex(t *testing.T) {
	set := &objectset.Set{
		Deployments: []objectset.Deployment{{Name: "d", Model: "m"}},
		Upstreams:   []objectset.Upstream{{Name: "a", Deployment: "d"}, {Name: "b", Deployment: "d"}},
	}
	s := snapshotOf(nil)
	s.Index = BuildIndex(set, map[string]controlclient.ProcessState{"b": controlclient.Live}, nil, nil)
	require.Equal(t, "b", pick(t, newRouter(Off{}), request(1), s).Upstream.Name)
}

// TestEvacuatedZoneGetsNoWork guards against work for upstreams in an evacuated zone, also as a last resort, against a refusal without its cause, and
// against a zone that stays unused after its evacuation.
func TestEvacuatedZoneGetsNoWork(t *testing.T) {
	set := &objectset.Set{
		Deployments: []objectset.Deployment{{Name: "d", Model: "m"}},
		Upstreams:   []objectset.Upstream{{Name: "a", Deployment: "d", Zone: "z1"}, {Name: "b", Deployment: "d", Zone: "z2"}},
	}
	states := map[string]controlclient.ProcessState{"a": controlclient.Live, "b": controlclient.Live}
	var evacuations *evacuation.List
	evacuate := func(zones ...string) Snapshot {
		evacuations, _, _ = evacuations.Accept(evacuations.Revision()+1, zones, start)
		s := snapshotOf(nil)
		s.Index = BuildIndex(set, states, evacuations, nil)
		return s
	}
	s := evacuate("z1")
	for n := range uint64(50) {
		require.Equal(t, "b", pick(t, newRouter(Off{}), request(n), s).Upstream.Name)
	}
	_, err := newRouter(Off{}).Pick(request(1), evacuate("z2", "z1"))
	require.True(t, failure.Is(err, failure.NoUpstream))
	require.Equal(t, failure.NotRun, failure.Of(err).Execution)
	require.Positive(t, failure.Of(err).RetryAfter)
	require.Contains(t, failure.Of(err).Message, "evacuated zones: z1, z2")
	s = evacuate("z2")
	require.Equal(t, "a", pick(t, newRouter(Off{}), request(1), s).Upstream.Name)
}

// TestRetryBudget guards against retries that multiply an overload.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget()
	retries := 0
	for range 1000 {
		b.RecordRequest()
		if b.TakeRetry("a") {
			retries++
		}
	}
	require.InDelta(t, 110, retries, 2)
}

// TestRetryBudgetByAccount guards against a large caller whose refusals use up the retries of a small one, and against
// unbounded growth of the table of accounts.
func TestRetryBudgetByAccount(t *testing.T) {
	b := NewRetryBudget()
	require.True(t, b.TakeRetry("small"))
	for range 1000 {
		b.RecordRequest()
		for b.TakeRetry("large") {
		}
	}
	require.True(t, b.TakeRetry("small"))
	require.False(t, b.TakeRetry("large"))
	for n := range 100 * recentRetries {
		b.available = b.Burst
		b.TakeRetry(fmt.Sprint(n))
	}
	require.LessOrEqual(t, len(b.recent), 2*recentRetries)
}

// TestTablesBounded guards against tables that grow with the number of prompts or sends.
func TestTablesBounded(t *testing.T) {
	settings := PrefixDefaults()
	settings.MaxPrefixes = 10
	p := NewPrefixes(settings)
	for n := range uint64(100) {
		p.RecordServed(fmt.Sprint(n), 1, []piece.Name{testName(n), testName(0)}, start)
	}
	require.Len(t, p.names, 10)
	require.Len(t, p.names[testName(0)].Value.(*prefix).holders, 4)
	l := NewLoads(LoadDefaults())
	for range 1000 {
		l.RecordSent("u", 10, 0, start)
	}
	require.Len(t, l.records["u"].sent, maxSent)
	require.EqualValues(t, 10000, l.records["u"].sent.total(time.Time{}, 0))
	l.Retain(nil)
	require.Empty(t, l.records)
}

// TestDecisionCostBounded guards against a decision at 2,600 upstreams costing more than twice as much as one at 15. It
// counts upstreams examined and allocations, which do not depend on the machine's load.
func TestDecisionCostBounded(t *testing.T) {
	examined, allocations := map[int]int{}, map[int]float64{}
	for _, n := range []int{15, 2600} {
		s, r := snapshotOf(fleet(n)), newRouter(Off{})
		req, i := request(0), uint64(0)
		allocations[n] = testing.AllocsPerRun(2000, func() {
			i++
			req.Affinity = testName(i)
			d, err := r.Pick(req, s)
			require.NoError(t, err)
			examined[n] += d.Examined
		})
	}
	require.LessOrEqual(t, examined[2600], 2*examined[15])
	require.LessOrEqual(t, allocations[2600], 2*allocations[15])
}

func benchmarkPick(b *testing.B, n int) {
	s, r := snapshotOf(fleet(n)), newRouter(Off{})
	for _, u := range fleet(n) {
		s.Loads.RecordReport(u.Name, Report{Epoch: 1, QueuedTokens: 2000, PrefillRate: 9000}, start)
	}
	req, i := request(0), uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		i++
		req.Affinity = testName(i)
		if _, err := r.Pick(req, s); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPick15 measures a decision at the current fleet size.
func BenchmarkPick15(b *testing.B) { benchmarkPick(b, 15) }

// BenchmarkPick2600 measures a decision at the target fleet size.
func BenchmarkPick2600(b *testing.B) { benchmarkPick(b, 2600) }

// BenchmarkIndex2600 measures building the ring of one model with 2,600 upstreams.
func BenchmarkIndex2600(b *testing.B) {
	upstreams := fleet(2600)
	b.ReportAllocs()
	for b.Loop() {
		_ = newRing(upstreams)
	}
}

// TestPassedOverOnce guards against duplicate reasons for an upstream examined as both an affinity and a random choice.
func TestPassedOverOnce(t *testing.T) {
	upstreams := fleet(3)
	upstreams[0].State, upstreams[1].State = controlclient.Leaving, controlclient.Leaving
	for n := range uint64(20) {
		reasons := pick(t, newRouter(Off{}), request(n), snapshotOf(upstreams)).Reasons()
		require.Len(t, lo.Uniq(reasons), len(reasons))
	}
}
