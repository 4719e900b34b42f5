package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
)

var start = time.Unix(1000, 0)

func testRanks() []objectset.Rank {
	return []objectset.Rank{
		{Name: "urgent", Order: 0, Floor: 0.4},
		{Name: "day", Order: 1, Floor: 0.2},
		{Name: "night", Order: 2, Floor: 0.1},
	}
}

func newQueue(change func(*Settings)) *Queue {
	settings := Defaults()
	settings.MaxRunning = 1 << 20
	settings.MaxQueued = 1 << 20
	if change != nil {
		change(&settings)
	}
	return New(settings, Config{Ranks: testRanks()})
}

func push(t *testing.T, q *Queue, rank, account string, tokens int64, count int) {
	t.Helper()
	for range count {
		item := Item{ID: fmt.Sprintf("%s-%d", account, q.sequence), Account: account, Rank: rank, PromptTokens: tokens}
		require.NoError(t, q.Push(item, start))
	}
}

// serve grants up to the given number of chunks and returns the tokens granted by key.
func serve(q *Queue, chunks int, key func(Item) string) map[string]int64 {
	tokens := map[string]int64{}
	for range chunks {
		grant, ok := q.Next(start)
		if !ok {
			break
		}
		tokens[key(grant.Item)] += grant.Tokens
		q.ChunkDone(grant.Item.ID)
		if grant.Last {
			q.Finish(grant.Item.ID)
		}
	}
	return tokens
}

func byRank(i Item) string    { return i.Rank }
func byAccount(i Item) string { return i.Account }

// TestFloors guards against strict priority: under a flood of any rank each other rank with work must get its floor, and the
// less urgent ranks no more than that.
func TestFloors(t *testing.T) {
	q := newQueue(nil)
	for _, rank := range []string{"urgent", "day", "night"} {
		push(t, q, rank, rank, 2048, 600)
	}
	tokens := serve(q, 2000, byRank)
	total := float64(tokens["urgent"] + tokens["day"] + tokens["night"])
	require.InDelta(t, 0.2, float64(tokens["day"])/total, 0.01)
	require.InDelta(t, 0.1, float64(tokens["night"])/total, 0.01)
}

// TestLargeFloors guards against pacing that prevents large floors from being met.
func TestLargeFloors(t *testing.T) {
	ranks := testRanks()
	ranks[1].Floor, ranks[2].Floor = 0.4, 0.3
	q := newQueue(nil)
	q.Configure(Config{Ranks: ranks})
	for _, rank := range []string{"urgent", "day", "night"} {
		push(t, q, rank, rank, 2048, 600)
	}
	tokens := serve(q, 2000, byRank)
	total := float64(tokens["urgent"] + tokens["day"] + tokens["night"])
	require.InDelta(t, 0.4, float64(tokens["day"])/total, 0.02)
	require.InDelta(t, 0.3, float64(tokens["night"])/total, 0.02)
}

// TestFloorsWholePrompts guards against ranks exceeding their floor when prompts are granted as a single chunk.
func TestFloorsWholePrompts(t *testing.T) {
	q := newQueue(func(s *Settings) { s.WholePrompts = true })
	push(t, q, "urgent", "u", 1000, 4000)
	push(t, q, "night", "n", 20000, 40)
	tokens := serve(q, 2000, byRank)
	total := float64(tokens["urgent"] + tokens["night"])
	require.InDelta(t, 0.1, float64(tokens["night"])/total, 0.02)
}

// TestLowFloodCostsUrgentOneChunk guards against a backlog of the least urgent rank delaying urgent work.
func TestLowFloodCostsUrgentOneChunk(t *testing.T) {
	q := newQueue(nil)
	push(t, q, "night", "n", 4096, 300)
	serve(q, 50, byRank)
	push(t, q, "urgent", "u", 512, 1)
	grant, ok := q.Next(start)
	require.True(t, ok)
	require.Equal(t, "urgent", grant.Item.Rank)
	require.Contains(t, grant.Reasons()[0], ruleOrder)
}

// TestQueueOfOneAccountIsReported guards against reports that omit the queue of one account because another account would be
// served before it: entries would then send all night work of one caller to the same one of two engines.
func TestQueueOfOneAccountIsReported(t *testing.T) {
	q := newQueue(nil)
	push(t, q, "night", "a", 20000, 1)
	serve(q, 20, byAccount)
	push(t, q, "night", "b", 400, 1)
	push(t, q, "night", "a", 4000, 5)
	require.GreaterOrEqual(t, q.AheadByRank()["night"], q.Load().ByRank["night"].QueuedTokens/2)
	require.Zero(t, q.AheadByRank()["urgent"], "less urgent work must not count")
}

// TestFairByTokens guards against fair sharing by requests instead of tokens: a caller with large prompts must not get more
// tokens than a caller with small ones. Weights must scale the shares.
func TestFairByTokens(t *testing.T) {
	q := newQueue(nil)
	q.Configure(Config{Ranks: testRanks(), Weights: map[string]float64{"heavy": 2}})
	push(t, q, "day", "large", 8192, 200)
	push(t, q, "day", "small", 128, 4000)
	push(t, q, "day", "heavy", 1024, 2000)
	tokens := serve(q, 3000, byAccount)
	// Accounts may differ by the lag that keeps prompts whole and by one chunk, however long the run is.
	lag := float64(q.settings.PreemptLag + q.settings.ChunkTokens)
	require.InDelta(t, tokens["large"], tokens["small"], lag)
	require.InDelta(t, float64(tokens["heavy"])/2, tokens["large"], lag)
}

// TestGeneratedTokensCount guards against ignoring generated tokens in fair sharing, which favors callers with long answers.
func TestGeneratedTokensCount(t *testing.T) {
	q := newQueue(nil)
	push(t, q, "day", "talker", 512, 1000)
	push(t, q, "day", "quiet", 512, 1000)
	tokens := map[string]int64{}
	for range 1000 {
		grant, ok := q.Next(start)
		require.True(t, ok)
		tokens[grant.Item.Account] += grant.Tokens
		q.ChunkDone(grant.Item.ID)
		if grant.Item.Account == "talker" {
			q.Progress(grant.Item.ID, 512)
		}
		q.Finish(grant.Item.ID)
	}
	require.InDelta(t, tokens["quiet"], 2*tokens["talker"], float64(q.settings.PreemptLag+2*q.settings.ChunkTokens))
}

// TestSmallCallerWaitsOneQuantum guards against a backlog of a large caller delaying a small one by more than one chunk.
func TestSmallCallerWaitsOneQuantum(t *testing.T) {
	q := newQueue(nil)
	push(t, q, "day", "large", 16384, 100)
	serve(q, 77, byAccount)
	running, ok := q.Next(start)
	require.True(t, ok)
	push(t, q, "day", "small", 300, 1)
	q.ChunkDone(running.Item.ID)
	grant, ok := q.Next(start)
	require.True(t, ok)
	require.Equal(t, "small", grant.Item.Account)
}

// TestNearlyLateIsRescued guards against fair sharing that misses a deadline although the other caller can wait, and against
// rescues that delay a small caller by more than one chunk.
func TestNearlyLateIsRescued(t *testing.T) {
	q := newQueue(nil)
	q.SetPrefillRate(5120)
	serveLarge := func() {
		push(t, q, "day", "large", 512, 40)
		serve(q, 40, byAccount)
	}
	serveLarge()
	for i := range 3 {
		item := Item{ID: fmt.Sprint("late", i), Account: "large", Rank: "day", PromptTokens: 512, Deadline: start.Add(300 * time.Millisecond)}
		require.NoError(t, q.Push(item, start))
	}
	require.NoError(t, q.Push(Item{ID: "small", Account: "small", Rank: "day", PromptTokens: 1024, Deadline: start.Add(5 * time.Second)}, start))
	var order []string
	for range 4 {
		grant, ok := q.Next(start)
		require.True(t, ok)
		order = append(order, grant.Item.Account)
		q.ChunkDone(grant.Item.ID)
	}
	require.Equal(t, []string{"large", "small", "large", "small"}, order)
}

// TestFloorAfterOwnFlood guards against a rank that used idle capacity getting no floor service for a long time when a flood
// of more urgent work follows.
func TestFloorAfterOwnFlood(t *testing.T) {
	q := newQueue(nil)
	push(t, q, "night", "a", 512, 400)
	serve(q, 200, byRank)
	push(t, q, "urgent", "b", 512, 400)
	// The debt of 2,048 tokens is made up for by 20,480 served at a floor of 10 in 100; a tenth of the next 160 chunks is due.
	serve(q, 40, byRank)
	served := serve(q, 160, byRank)
	require.GreaterOrEqual(t, served["night"], int64(15*512))
}

// TestRefusedDemandEarnsFloor guards against a rank losing its floor because admission refuses its work.
func TestRefusedDemandEarnsFloor(t *testing.T) {
	q := newQueue(nil)
	push(t, q, "urgent", "u", 4096, 300)
	q.RecordRefused("day", 1<<20)
	serve(q, 200, byRank)
	push(t, q, "day", "d", 4096, 1)
	require.InDelta(t, 0.33, q.AheadOf("day", "d2", 1000).FloorShare, 0.01)
	tokens := serve(q, 24, byRank)
	require.EqualValues(t, 4096, tokens["day"], "every third chunk")
}

// TestLateWorkNeverRuns guards against serving requests that have missed or cannot meet their deadline.
func TestLateWorkNeverRuns(t *testing.T) {
	q := newQueue(nil)
	q.SetPrefillRate(1000)
	deadline := func(id string, d time.Duration, tokens int64) Item {
		return Item{ID: id, Account: id, Rank: "day", Deadline: start.Add(d), PromptTokens: tokens}
	}
	require.NoError(t, q.Push(deadline("expired", time.Second, 100), start))
	require.NoError(t, q.Push(deadline("hopeless", 4*time.Second, 9000), start))
	require.NoError(t, q.Push(deadline("good", 5*time.Second, 512), start))
	now := start.Add(2 * time.Second)
	grant, ok := q.Next(now)
	require.True(t, ok)
	require.Equal(t, "good", grant.Item.ID)
	reasons := map[string]string{}
	for _, removed := range q.Dropped(now) {
		require.False(t, removed.Started)
		reasons[removed.Item.ID] = removed.Reason
	}
	require.Equal(t, map[string]string{"expired": RemovedExpired, "hopeless": RemovedUnreachable}, reasons)
}

// TestLongBudget guards against recomputed long prefixes starving short prompts, and against a budget that leaves an idle
// engine unused.
func TestLongBudget(t *testing.T) {
	q := newQueue(nil)
	for i := range 50 {
		item := Item{ID: fmt.Sprint("long", i), Account: "a", Rank: "day", PromptTokens: 30000, Long: true, Deadline: start.Add(time.Hour)}
		require.NoError(t, q.Push(item, start))
	}
	require.Equal(t, int64(20*512), serve(q, 20, byAccount)["a"])
	// The short work has the same account and no deadline, so neither fair sharing nor deadlines prefer it.
	push(t, q, "day", "a", 512, 500)
	long := serve(q, 400, func(i Item) string { return fmt.Sprint(i.Long) })
	require.LessOrEqual(t, long["true"], long["false"]+2*512)
}

// TestSlotsKeptForOthers guards against the runs of one rank or caller occupying all slots of the engine.
func TestSlotsKeptForOthers(t *testing.T) {
	q := newQueue(func(s *Settings) { s.MaxRunning = 16 })
	push(t, q, "night", "flood", 100, 40)
	for range 40 {
		if grant, ok := q.Next(start); ok {
			q.ChunkDone(grant.Item.ID)
		}
	}
	require.Less(t, q.running, 16)
	push(t, q, "night", "small", 100, 1)
	grant, ok := q.Next(start)
	require.True(t, ok)
	require.Equal(t, "small", grant.Item.Account)
	q.ChunkDone(grant.Item.ID)
	push(t, q, "urgent", "u", 100, 1)
	grant, ok = q.Next(start)
	require.True(t, ok)
	require.Equal(t, "urgent", grant.Item.Rank)
}

// TestSlotsKeptForRanks guards against many callers of the least urgent rank together occupying all slots.
func TestSlotsKeptForRanks(t *testing.T) {
	q := newQueue(func(s *Settings) { s.MaxRunning = 16 })
	for i := range 40 {
		push(t, q, "night", fmt.Sprint("caller", i), 100, 1)
	}
	for range 40 {
		if grant, ok := q.Next(start); ok {
			q.ChunkDone(grant.Item.ID)
		}
	}
	push(t, q, "urgent", "u", 100, 1)
	grant, ok := q.Next(start)
	require.True(t, ok)
	require.Equal(t, "urgent", grant.Item.Rank)
}

// TestFullQueue guards against a flood filling the queue and blocking other ranks and small callers.
func TestFullQueue(t *testing.T) {
	q := newQueue(func(s *Settings) { s.MaxQueued = 20 })
	push(t, q, "night", "flood", 100, 20)
	err := q.Push(Item{ID: "more", Account: "flood", Rank: "night", PromptTokens: 100}, start)
	require.True(t, failure.Is(err, failure.Overloaded))
	push(t, q, "urgent", "u", 100, 1)
	push(t, q, "night", "small", 100, 1)
	dropped := q.Dropped(start)
	require.Len(t, dropped, 2)
	require.Equal(t, "flood", dropped[0].Item.Account)
	require.Equal(t, RemovedDisplaced, dropped[1].Reason)
	require.Equal(t, 20, q.Load().QueuedRequests)
	push(t, q, "urgent", "u", 100, 17)
	err = q.Push(Item{ID: "last", Account: "u", Rank: "urgent", PromptTokens: 100}, start)
	require.True(t, failure.Is(err, failure.Overloaded))
	require.Equal(t, 2, q.Load().ByRank["night"].QueuedRequests, "the rank keeps its floor's share of the queue")
}

// TestCancelFreesPlaces guards against canceled requests keeping queue places, slots or outstanding tokens.
func TestCancelFreesPlaces(t *testing.T) {
	q := newQueue(func(s *Settings) { s.MaxQueued = 2; s.MaxRunning = 1; s.Off.Headroom = true })
	push(t, q, "day", "a", 5000, 2)
	grant, ok := q.Next(start)
	require.True(t, ok)
	require.True(t, grant.First)
	_, ok = q.Next(start)
	require.False(t, ok, "one chunk at a time")
	require.True(t, q.Cancel(grant.Item.ID))
	second, ok := q.Next(start)
	require.True(t, ok)
	q.Cancel(second.Item.ID)
	require.False(t, q.Cancel("unknown"))
	load := q.Load()
	require.Zero(t, load.QueuedTokens)
	require.Zero(t, load.QueuedRequests)
	require.Zero(t, load.Running)
	require.Empty(t, q.outstanding)
}

// TestEnginePriorities guards against urgent prompts waiting for a long prompt that the engine would compute after them, and
// against an engine with strict priorities starving floors.
func TestEnginePriorities(t *testing.T) {
	q := newQueue(func(s *Settings) { s.WholePrompts, s.EnginePriorities = true, true })
	push(t, q, "day", "d", 10000, 2)
	_, ok := q.Next(start)
	require.True(t, ok)
	_, ok = q.Next(start)
	require.False(t, ok, "one prompt of a rank at a time")
	push(t, q, "urgent", "u", 300, 1)
	require.InDelta(t, 300/0.8, q.AheadOf("urgent", "u2", 300).Tokens, 1)
	grant, ok := q.Next(start)
	require.True(t, ok)
	require.Equal(t, "urgent", grant.Item.Rank)
	q.ChunkDone(grant.Item.ID)
	push(t, q, "urgent", "u", 5120, 30)
	for grant.Rule != ruleFloor {
		grant, ok = q.Next(start)
		require.True(t, ok)
		q.ChunkDone(grant.Item.ID)
	}
	require.Zero(t, grant.Priority)
}

// TestAheadOf guards against estimates that ignore fair sharing or the order of ranks.
func TestAheadOf(t *testing.T) {
	q := newQueue(nil)
	push(t, q, "day", "large", 10000, 10)
	push(t, q, "urgent", "u", 300, 1)
	require.InDelta(t, 1300, q.AheadOf("day", "small", 1000).Tokens, 1)
	require.InDelta(t, 100300, q.AheadOf("day", "large", 1000).Tokens, 1)
	require.InDelta(t, 300/0.8, q.AheadOf("urgent", "u", 500).Tokens, 1)
	require.InDelta(t, 1000, q.AheadOf("day", "small", 1000).FloorTokens, 1)
}

// BenchmarkNext measures one scheduling step with 1,000 waiting requests of 100 accounts.
func BenchmarkNext(b *testing.B) {
	q := newQueue(nil)
	for i := range 1000 {
		_ = q.Push(Item{ID: fmt.Sprint(i), Account: fmt.Sprint(i % 100), Rank: "day", PromptTokens: 1 << 40, Deadline: start.Add(time.Hour)}, start)
	}
	b.ReportAllocs()
	for b.Loop() {
		grant, _ := q.Next(start)
		q.ChunkDone(grant.Item.ID)
	}
}
