package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/samber/lo"
)

// Result holds the measurements of one run.
type Result struct {
	Deployment, Case, Policy string
	// Kinds holds one tally per kind of work.
	Kinds map[string]*Tally
	// RankServed counts the tokens served by rank, for requests that arrived during the flood of the most urgent rank.
	RankServed map[string]int64
	// RankFlood counts the outcomes of the same requests by rank.
	RankFlood map[string]*Tally
	// Small and Large count the urgent and day work of small and large callers while the large ones send more.
	Small, Large Tally
	// Others are the base arrivals, without the extra ones of the case.
	Others Tally
	// ByRank counts all arrivals of a rank.
	ByRank map[string]*Tally
	// First holds the times to first token of urgent and day work, in microseconds.
	First *hdrhistogram.Histogram
	// Urgent holds the times to first token of urgent work, in microseconds.
	Urgent *hdrhistogram.Histogram
	// Gaps are the times between two tokens of an answer, in microseconds.
	Gaps *hdrhistogram.Histogram
	// RankOffered counts the tokens that the requests of RankFlood need from an engine: the served ones and, for a refused
	// or dropped request, its output and its prompt without cached and fetched tokens.
	RankOffered map[string]int64

	promptTokens, computedTokens, recomputedTokens int64
	// smallPrompt and smallRecomputed count the prompt tokens of small callers while the large ones send more.
	smallPrompt, smallRecomputed int64
	linkBytes                    int64
	memoryHits, diskReads        int64 // Reads of stores by tier, if tiers are modelled.
	linkBusy                     time.Duration
}

// Tally counts outcomes.
type Tally struct {
	Arrived, OnTime, Late, Refused int64
	// worth is the sum of the worth of all arrivals, worthOnTime the sum for the arrivals answered on time.
	worth, worthOnTime float64
}

func newResult(d *Deployment, c *Case, p Policy) *Result {
	r := &Result{
		Deployment: d.Name, Case: c.Name, Policy: p.Name,
		Kinds: map[string]*Tally{}, RankServed: map[string]int64{}, RankFlood: map[string]*Tally{}, ByRank: map[string]*Tally{},
		First: newHistogram(), Urgent: newHistogram(), Gaps: newHistogram(), RankOffered: map[string]int64{},
	}
	for _, kind := range d.Kinds {
		r.Kinds[kind.Name] = &Tally{}
		r.ByRank[kind.Rank], r.RankFlood[kind.Rank] = &Tally{}, &Tally{}
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (2 * time.Hour).Microseconds(), 3)
}

// eachTally calls f for every tally that includes the request.
func (r *Result) eachTally(q *request, f func(*Tally)) {
	if q.arrivesAt < warmup {
		return
	}
	f(r.Kinds[q.kind.Name])
	f(r.ByRank[q.kind.Rank])
	if !q.extra {
		f(&r.Others)
	}
	if q.arrivesAt >= urgentFrom && q.arrivesAt < urgentTo {
		f(r.RankFlood[q.kind.Rank])
	}
	if q.arrivesAt < largeFrom || q.arrivesAt >= largeTo || q.kind.Rank == "night" {
		return
	}
	if q.account >= largeAccounts {
		f(&r.Small)
	} else {
		f(&r.Large)
	}
}

func (r *Result) recordArrival(q *request) {
	r.eachTally(q, func(t *Tally) {
		t.Arrived++
		t.worth += q.kind.Worth
	})
}

func (r *Result) recordRefusal(q *request) {
	if q.ended {
		return
	}
	q.ended = true
	r.recordOffered(q, max(0, q.planned+q.output-q.served))
	r.eachTally(q, func(t *Tally) { t.Refused++ })
}

func (r *Result) recordFirstToken(q *request, at time.Duration) {
	if q.ended {
		return
	}
	q.ended = true
	latency := at - q.arrivesAt
	r.eachTally(q, func(t *Tally) {
		if latency > q.kind.Deadline {
			t.Late++
			return
		}
		t.OnTime++
		t.worthOnTime += q.kind.Worth
	})
	if q.arrivesAt < warmup {
		return
	}
	if q.kind.Rank != "night" {
		_ = r.First.RecordValue(latency.Microseconds())
	}
	if q.kind.Rank == "urgent" {
		_ = r.Urgent.RecordValue(latency.Microseconds())
	}
}

// recordServed counts tokens by rank during the flood of the most urgent work.
func (r *Result) recordServed(q *request, tokens int64) {
	q.served += tokens
	r.recordOffered(q, tokens)
	if q.arrivesAt >= urgentFrom && q.arrivesAt < urgentTo {
		r.RankServed[q.kind.Rank] += tokens
	}
}

func (r *Result) recordOffered(q *request, tokens int64) {
	if q.arrivesAt >= urgentFrom && q.arrivesAt < urgentTo {
		r.RankOffered[q.kind.Rank] += tokens
	}
}

// recordGap records the time between two tokens of an answer.
func (r *Result) recordGap(q *request, gap time.Duration) {
	if q.arrivesAt >= warmup {
		_ = r.Gaps.RecordValue(gap.Microseconds())
	}
}

func (r *Result) recordComputed(q *request, tokens, recomputed int64) {
	if q.arrivesAt < warmup {
		return
	}
	r.promptTokens += q.prompt
	r.computedTokens += tokens
	r.recomputedTokens += recomputed
	if q.account >= largeAccounts && q.arrivesAt >= largeFrom && q.arrivesAt < largeTo {
		r.smallPrompt += q.prompt
		r.smallRecomputed += recomputed
	}
}

// OnTimeShare is the share of arrivals answered on time.
func (t *Tally) OnTimeShare() float64 { return ratio(float64(t.OnTime), float64(t.Arrived)) }

// OnTimeWorth is the share of the arrivals' worth that was answered on time.
func (t *Tally) OnTimeWorth() float64 { return ratio(t.worthOnTime, t.worth) }

// Total sums the tallies of all kinds.
func (r *Result) Total() Tally {
	total := Tally{}
	for _, t := range r.Kinds {
		total.Arrived += t.Arrived
		total.OnTime += t.OnTime
		total.Late += t.Late
		total.Refused += t.Refused
		total.worth += t.worth
		total.worthOnTime += t.worthOnTime
	}
	return total
}

// Recomputed is the share of prompt tokens that were computed although some engine had computed them before.
func (r *Result) Recomputed() float64 {
	return ratio(float64(r.recomputedTokens), float64(r.promptTokens))
}

// SmallRecomputed is Recomputed for small callers while the large ones send more.
func (r *Result) SmallRecomputed() float64 {
	return ratio(float64(r.smallRecomputed), float64(r.smallPrompt))
}

// Computed is the share of prompt tokens that were computed, for the first time or again.
func (r *Result) Computed() float64 {
	return ratio(float64(r.computedTokens), float64(r.promptTokens))
}

// LinkUse is the share of time that the links of the two stores were busy.
func (r *Result) LinkUse() float64 {
	return ratio(r.linkBusy.Seconds(), 2*(horizon+time.Minute).Seconds())
}

// MemoryHits is the share of the reads of stores that their memory tiers served.
func (r *Result) MemoryHits() float64 {
	return ratio(float64(r.memoryHits), float64(r.memoryHits+r.diskReads))
}

// RankShare is a rank's share of the tokens served during the flood of the most urgent work.
func (r *Result) RankShare(rank string) float64 {
	return ratio(float64(r.RankServed[rank]), float64(lo.Sum(lo.Values(r.RankServed))))
}

// RankDemand is the number of tokens that a rank offered, as a share of the tokens served in the same time.
func (r *Result) RankDemand(rank string) float64 {
	return ratio(float64(r.RankOffered[rank]), float64(lo.Sum(lo.Values(r.RankServed))))
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}
