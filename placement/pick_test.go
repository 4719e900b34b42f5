package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

func instance(id string) *upstreams.Instance {
	return &upstreams.Instance{ID: id, Service: "s", Address: id + ":1", AvailabilityZone: "z", Versions: map[string]uint64{"m": 1}}
}

func candidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = Candidate{Instance: instance(fmt.Sprint("i", i)), SameZone: true, Version: 1, ReadRate: 50}
	}
	return out
}

// Guards against requests to instances that must not get them, and against no choice at all when all preferred
// instances are filtered out.
func TestPickFilters(t *testing.T) {
	plain := &Request{}
	for name, c := range map[string]struct {
		q      *Request
		change func(list []Candidate)
		want   string
	}{
		"fewest requests":            {plain, func(l []Candidate) { l[0].Requests = 3; l[2].Requests = 3 }, "i1"},
		"own zone first":             {plain, func(l []Candidate) { l[0].SameZone, l[1].SameZone = false, false }, "i2"},
		"not a draining one":         {plain, func(l []Candidate) { l[0].Instance.Draining = true; l[1].Instance.Draining = true }, "i2"},
		"not an excluded one":        {&Request{Exclude: map[string]bool{"i0": true, "i1": true}}, func([]Candidate) {}, "i2"},
		"not a replaced one":         {plain, func(l []Candidate) { l[0].Replaced, l[1].Replaced = true, true }, "i2"},
		"not an ejected one":         {plain, func(l []Candidate) { l[0].Ejected, l[1].Ejected = true, true; l[2].Requests = 50 }, "i2"},
		"not one that loads weights": {plain, func(l []Candidate) { l[0].Instance.Updating, l[1].Instance.Updating = true, true }, "i2"},
		"an ejected one if all are":  {plain, func(l []Candidate) { l[0].Ejected, l[1].Ejected, l[2].Ejected = true, true, true; l[0].Requests = 1 }, "i1"},
		"none if all are draining": {plain, func(l []Candidate) {
			for i := range l {
				l[i].Instance.Draining = true
			}
		}, ""},
		"a failing one only if idle":  {plain, func(l []Candidate) { l[0].FailureShare = 0.5; l[1].Requests = 2; l[2].Requests = 9 }, "i1"},
		"old weights while allowed":   {&Request{Model: "m", RequiredVersion: 1, CacheTokens: 1000}, func(l []Candidate) { l[0].Version = 2; l[0].AheadTokens = 100_000 }, "i1"},
		"no old weights past the end": {&Request{Model: "m", RequiredVersion: 2, CacheTokens: 1000}, func(l []Candidate) { l[0].Version = 2; l[0].AheadTokens = 100_000 }, "i0"},
		"the limit of a version, while a newer one has none yet": {&Request{Model: "m", RequiredVersion: 2, CacheTokens: 1000}, func(l []Candidate) {
			l[0].Version, l[1].Version = 3, 2
			l[0].AheadTokens, l[1].AheadTokens = 100_000, 10
		}, "i1"},
	} {
		t.Run(name, func(t *testing.T) {
			list := candidates(3)
			c.change(list)
			best := Pick(c.q, list)
			if c.want == "" {
				require.Nil(t, best)
				return
			}
			require.NotNil(t, best)
			require.Equal(t, c.want, best.Instance.ID)
		})
	}
}

func document(id string) *Request {
	return &Request{
		Model: "m", Tokens: 9000, CacheTokens: 50_000, StoredVersion: 1,
		Parts: []Part{{"common", 2500}, {id, 5000}, {"own", 1500}},
	}
}

// Guards against a prompt that is read again at another engine although one holds it, and against a prompt that joins
// a long queue only because the engine holds it.
func TestPromptGoesWhereItIsHeldUnlessTheQueueIsLonger(t *testing.T) {
	list := candidates(3)
	list[1].CachedParts, list[1].CachedTokens = 2, 7500
	require.Equal(t, "i1", Pick(document("d"), list).Instance.ID)
	list[1].AheadTokens = 40_000
	require.NotEqual(t, "i1", Pick(document("d"), list).Instance.ID)
}

// Guards against nodes that choose different engines for the same prompt and thereby fill all engines' memories with
// copies.
func TestHomesAreTheSameOnAllNodes(t *testing.T) {
	first, second := candidates(12), candidates(12)
	for i, j := 0, len(second)-1; i < j; i, j = i+1, j-1 {
		second[i], second[j] = second[j], second[i]
	}
	used := map[string]int{}
	for i := range 500 {
		q := document(fmt.Sprint("d", i))
		for _, list := range [][]Candidate{first, second} {
			for j := range list {
				list[j].homePosition = 0
			}
			MarkHomes(q, list)
		}
		a, b := Pick(q, first).Instance.ID, Pick(q, second).Instance.ID
		require.Equal(t, a, b)
		used[a]++
	}
	for id, n := range used {
		require.Less(t, n, 80, "engine %s is home of too many of 500 prompts", id)
	}
	require.Len(t, used, 12)
}

// Guards against fetching parts that the engine holds, fetching parts computed with other weights, and reading parts
// again because an earlier part is in no store.
func TestReadCountsOnlyWhatCanBeUsed(t *testing.T) {
	q := document("d")
	q.Stored = []StoredPart{
		{Address: "s1", AvailabilityZone: "z", Tokens: 2500, Transfer: 10 * time.Millisecond},
		{Address: "s2", AvailabilityZone: "other", Tokens: 5000, Transfer: 20 * time.Millisecond},
	}
	c := candidates(1)[0]
	r := PlanPrefill(q, &c)
	tokens, shared, transfers := r.Tokens, r.SharedTokens, r.Transfers
	require.Equal(t, 1500, tokens)
	require.Zero(t, shared)
	require.Equal(t, map[string]time.Duration{"s1": 10 * time.Millisecond, "s2": 40 * time.Millisecond}, transfers)

	c.CachedParts, c.CachedTokens = 1, 2500
	transfers = PlanPrefill(q, &c).Transfers
	require.Equal(t, map[string]time.Duration{"s2": 40 * time.Millisecond}, transfers)

	c = candidates(1)[0]
	q.Stored[0] = StoredPart{}
	r = PlanPrefill(q, &c)
	tokens, transfers = r.Tokens, r.Transfers
	require.Equal(t, 1500, tokens, "the engine holds what many prompts share")
	require.Equal(t, map[string]time.Duration{"s2": 40 * time.Millisecond}, transfers)

	c.Version = 2
	r = PlanPrefill(q, &c)
	tokens, shared, transfers = r.Tokens, r.SharedTokens, r.Transfers
	require.Equal(t, 9000, tokens)
	require.Equal(t, 7500, shared)
	require.Empty(t, transfers)
}

// Guards against cache that is shared between weight versions or with an isolated account.
func TestSaltKeepsVersionsAndIsolatedAccountsApart(t *testing.T) {
	open, isolated := &Request{}, &Request{Isolated: "a"}
	require.NotEqual(t, open.Salt(1), open.Salt(2))
	require.NotEqual(t, open.Salt(1), isolated.Salt(1))
	require.NotEqual(t, isolated.Salt(1), (&Request{Isolated: "b"}).Salt(1))
	for _, q := range []*Request{open, isolated} {
		version, ok := SaltVersion(q.Salt(17))
		require.True(t, ok)
		require.EqualValues(t, 17, version)
	}
	_, ok := SaltVersion("other")
	require.False(t, ok)
}

// Guards against transfers between zones, which occupy the link of a store for twice the time, although engines in
// the store's zone could hold the prompt; and against no home at all when the store's zone has no engine.
func TestHomesAreInTheZoneOfTheStore(t *testing.T) {
	list := candidates(12)
	for i := range list {
		list[i].Instance.AvailabilityZone = fmt.Sprint("z", i%3)
	}
	q := document("d")
	q.Stored = []StoredPart{{}, {Address: "s", AvailabilityZone: "z2", Tokens: 5000}}
	MarkHomes(q, list)
	marked := 0
	for _, c := range list {
		if c.homePosition > 0 {
			marked++
			require.Equal(t, "z2", c.Instance.AvailabilityZone)
		}
	}
	require.Equal(t, homeCount, marked)
	q.Stored[1].AvailabilityZone = "elsewhere"
	MarkHomes(q, list)
	require.NotEqual(t, 0, list[0].homePosition+list[1].homePosition+list[2].homePosition+list[3].homePosition+list[4].homePosition+list[5].homePosition+list[6].homePosition)
}

// Guards against a burst of prompts within one report interval: with the same view of 47 engines, 28 nodes sent all
// of them to the engine that looked idle, and it answered seconds later.
func TestBurstWithinOneReportIsSpread(t *testing.T) {
	const engines, nodes, each = 47, 28, 12
	view := candidates(engines)
	for i := range view {
		view[i].AheadTokens = 100 * i
	}
	sent := map[string]int{}
	for request := range nodes * each {
		q := document(fmt.Sprint("d", request))
		q.Seed = fmt.Sprint("request", request)
		sent[Pick(q, view).Instance.ID]++
	}
	expected := float64(nodes*each) * sampleSize / engines
	for id, n := range sent {
		require.Less(t, float64(n), 1.5*expected, "engine %s is first for the share of requests that draw it", id)
	}
	require.Greater(t, len(sent), engines/4)
}

// Guards against a sample of engines that lacks the one that holds the prompt.
func TestDrawKeepsEnginesThatHoldThePrompt(t *testing.T) {
	for request := range 100 {
		view := candidates(47)
		view[13].CachedParts, view[13].CachedTokens = 2, 7500
		q := document("d")
		q.Seed = fmt.Sprint("request", request)
		require.Equal(t, "i13", Pick(q, view).Instance.ID)
	}
}

// Guards against a prompt that is read again although another engine holds it and has an idle link, while the stores'
// links are full; and against a fetch from an engine that does not answer, or whose parts belong to other weights.
func TestPartsThatNoStoreGivesComeFromEngines(t *testing.T) {
	list := candidates(4)
	for i := range list[:3] {
		list[i].CachedParts, list[i].CachedTokens, list[i].ReadParts = 2, 7500, 2
	}
	list[0].Ejected = true
	list[1].Version = 2
	q := document("d")
	q.TokenTransfer = time.Microsecond
	MarkHeld(q, list)
	require.Equal(t, "i2:1", q.Source(1, &list[3]).Address)
	require.Empty(t, q.Source(1, &list[2]).Address, "the engine holds it itself")
	r := PlanPrefill(q, &list[3])
	require.Equal(t, []int{1500, 0}, []int{r.Tokens, r.SharedTokens})
	require.Equal(t, 7500*time.Microsecond, r.EngineTransfer)
	require.Empty(t, r.Transfers, "stores' links are not used")
	q.Stored = []StoredPart{{}, {Address: "store", AvailabilityZone: "z", Tokens: 5000, Transfer: time.Millisecond}}
	require.Equal(t, "store", q.Source(1, &list[3]).Address, "a store is preferred, since its contents are known")
	list[2].Instance.Updating = true
	MarkHeld(q, list)
	require.Empty(t, q.Source(0, &list[3]).Address)
}
