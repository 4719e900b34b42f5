package cachevalue

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/piece"
)

var start = time.Unix(1000, 0)

func named(n uint64) piece.Name {
	var name piece.Name
	binary.LittleEndian.PutUint64(name[:], n+1)
	return name
}

func entry(n uint64, account, class string, at time.Time) Entry {
	return Entry{Name: named(n), Account: account, Class: class, Bytes: 100, Recompute: time.Second, LastUse: at}
}

// hitsOf returns the hits of a policy on prompts that return after 120 s, among three times as many that never return.
func hitsOf(policy Policy) int {
	tier := NewTier(TierSettings{Capacity: 100 * 60, Sample: 1 << 20}, policy)
	random := rand.New(rand.NewPCG(1, 1))
	hits, fresh := 0, uint64(1000)
	use := func(n uint64, class string, now time.Time) {
		policy.RecordUse(named(n), class, now)
		if tier.Touch(named(n), now) {
			hits++
			return
		}
		tier.Put(entry(n, "a", class, now), now)
	}
	for second := range 2400 {
		now := start.Add(time.Duration(second) * time.Second)
		if second%3 == 0 {
			use(uint64(second%120), "returning", now)
		}
		for range 1 + random.IntN(2) {
			fresh++
			use(fresh, "once", now)
		}
	}
	return hits
}

// TestBeatsLRU guards against a policy that is no better than plain LRU on returns after long gaps.
func TestBeatsLRU(t *testing.T) {
	settings := Defaults()
	settings.MaxTracked = 500
	returns, lru := hitsOf(New(settings)), hitsOf(LRU{})
	require.Greater(t, returns, 500, "of 760 returns")
	require.Less(t, lru, returns/2)
}

// TestProbabilityFollowsGaps guards against estimates that ignore how long a prefix has been idle.
func TestProbabilityFollowsGaps(t *testing.T) {
	r := New(Defaults())
	now := start
	for n := range uint64(20) {
		for i := range 20 {
			now = start.Add(time.Duration(i) * 10 * time.Minute)
			r.RecordUse(named(n), "c", now)
		}
	}
	e := entry(1, "a", "c", now)
	require.Greater(t, r.Probability(e, now.Add(5*time.Minute)), 0.8)
	require.Less(t, r.Probability(e, now.Add(time.Hour)), 0.4)
}

// TestSharesProtectAccounts guards against a large account that evicts the pieces of a small one, and against shares
// that leave space unused.
func TestSharesProtectAccounts(t *testing.T) {
	tier := NewTier(TierSettings{Capacity: 1000}, LRU{})
	for n := range uint64(10) {
		_, stored := tier.Put(entry(n, "large", "c", start), start)
		require.True(t, stored, "idle space is used")
	}
	for n := range uint64(4) {
		evicted, stored := tier.Put(entry(100+n, "small", "c", start), start)
		require.True(t, stored)
		require.Equal(t, "large", evicted[0].Account)
	}
	for n := range uint64(100) {
		now := start.Add(time.Duration(n) * time.Second)
		tier.Put(entry(200+n, "large", "c", now), now)
	}
	total, byAccount := tier.Used("small")
	require.EqualValues(t, 1000, total)
	require.EqualValues(t, 400, byAccount)
}

// TestLeasedStays guards against eviction of a piece that a reader holds, and against a tier whose byte count is
// wrong after it refused an entry.
func TestLeasedStays(t *testing.T) {
	leased := map[piece.Name]bool{named(0): true, named(1): true}
	settings := TierSettings{Capacity: 200, Evictable: func(n piece.Name) bool { return !leased[n] }}
	tier := NewTier(settings, LRU{})
	tier.Put(entry(0, "a", "c", start), start)
	tier.Put(entry(1, "a", "c", start), start)
	_, stored := tier.Put(entry(2, "a", "c", start.Add(1)), start.Add(1))
	require.False(t, stored)
	delete(leased, named(1))
	evicted, stored := tier.Put(entry(2, "a", "c", start.Add(1)), start.Add(1))
	require.True(t, stored)
	require.Equal(t, named(1), evicted[0].Name)
	tier.Remove(named(2))
	total, _ := tier.Used("a")
	require.EqualValues(t, 100, total)
	require.Equal(t, 1, tier.Len())
}

// TestPlace guards against exports whose transfer costs more than they save.
func TestPlace(t *testing.T) {
	r := New(Defaults())
	for i := range 40 {
		r.RecordUse(named(1), "returning", start.Add(time.Duration(i)*time.Minute))
		r.class("once").recordNoReturn(1 << 20)
	}
	tests := map[string]struct {
		class    string
		transfer time.Duration
		want     Placement
	}{
		"valuable":       {"returning", 100 * time.Millisecond, Placement{Export: true, Copies: 2, Memory: true}},
		"slow link":      {"returning", 500 * time.Millisecond, Placement{Export: true, Copies: 1, Memory: true}},
		"very slow link": {"returning", 10 * time.Second, Placement{Export: false, Copies: 1, Memory: true}},
		"never return":   {"once", 200 * time.Millisecond, Placement{Export: false, Copies: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			settings := PlaceDefaults()
			settings.LossProbability = settings.MinGain / 4 // A second copy needs a gain of 4.
			p := r.Place(settings, entry(1, "a", test.class, start), test.transfer, start)
			require.NotEmpty(t, p.Reasons())
			p.Reason = ""
			require.Equal(t, test.want, p)
		})
	}
}

// TestRefillOrder guards against refill in the wrong order.
func TestRefillOrder(t *testing.T) {
	entries := []Entry{entry(1, "a", "c", start), entry(2, "a", "c", start), entry(3, "a", "c", start)}
	entries[2].Recompute = 10 * time.Second
	ByValue(New(Defaults()), entries, start)
	require.Equal(t, named(3), entries[0].Name)
}
