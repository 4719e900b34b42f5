package sched

import "time"

// RankLoad is the load of one rank.
type RankLoad struct {
	QueuedTokens   int64
	QueuedRequests int
	Running        int
}

// Load is the load of a queue.
type Load struct {
	RankLoad
	ByRank map[string]RankLoad
}

// Load returns the queued tokens, queued requests and runs, by rank and in total.
func (q *Queue) Load() Load {
	load := Load{ByRank: make(map[string]RankLoad, len(q.ranks))}
	for _, rank := range q.ranks {
		one := RankLoad{QueuedTokens: rank.queuedTokens, QueuedRequests: rank.waiting, Running: rank.running}
		load.ByRank[rank.Name] = one
		load.QueuedTokens += one.QueuedTokens
	}
	load.QueuedRequests = q.waiting
	load.Running = q.running
	return load
}

// QueuedTokens returns the prompt tokens not yet granted.
func (q *Queue) QueuedTokens() int64 {
	var tokens int64
	for _, rank := range q.ranks {
		tokens += rank.queuedTokens
	}
	return tokens
}

// Ahead is the estimated work that will be served before a new request.
type Ahead struct {
	// Tokens is the number of prompt tokens served first, at the full prefill rate.
	Tokens float64
	// FloorTokens is the number of prompt tokens served first if the rank gets only its floor. They and the request itself
	// are then computed at FloorShare of the prefill rate. FloorShare 0 means no floor.
	FloorTokens float64
	FloorShare  float64
	// Share is the share of the prefill rate that more urgent ranks have recently left to the rank, 0 to 1; 0 counts as 1.
	Share float64
	// Slots is the number of waiting requests that get a run slot first, 0 if a slot is free now.
	Slots int
	// Running is the number of runs that occupy a slot.
	Running int
}

// maxContention bounds the time added for urgent work that has not arrived yet, because a flood of urgent work is temporary.
const maxContention = 2 * time.Second

// Contention returns the prompt tokens of more urgent work that will be served before the given tokens if such work keeps
// arriving as in the last seconds. The prefill rate is in tokens per second.
func (a Ahead) Contention(tokens, prefillRate float64) float64 {
	if a.Share <= 0 || a.Share >= 1 {
		return 0
	}
	return min(maxContention.Seconds()*prefillRate, tokens*(1/a.Share-1))
}

// AheadOf estimates the work that is served before a new request of the account: all more urgent work, the work of the same
// rank that fair sharing serves first, and the floors of less urgent ranks.
func (q *Queue) AheadOf(rankName, accountName string, tokens int64) Ahead {
	rank := q.rankOf(rankName)
	sameRank := q.sharedAhead(rank, accountName, tokens)
	ahead := Ahead{FloorShare: q.floorShare(rank, sameRank+float64(tokens)), Running: q.running}
	ahead.FloorTokens = sameRank
	ahead.Share = q.shareLeft(rank)
	ahead.Tokens = sameRank
	urgent := true
	lowFloors := 0.0
	for _, other := range q.ranks {
		switch {
		case other == rank:
			urgent = false
		case urgent:
			ahead.Tokens += float64(other.queuedTokens)
		case other.backlogged() && !q.settings.Off.Floors:
			lowFloors += other.Floor
		}
	}
	ahead.Tokens /= max(0.1, 1-lowFloors)
	ahead.Tokens += float64(q.outstandingBefore(rank.Order))
	ahead.Slots = q.slotsAhead(rank, accountName)
	return ahead
}

// sharedAhead returns the tokens of the rank that are served before a new request of an account.
func (q *Queue) sharedAhead(rank *rankQueue, name string, tokens int64) float64 {
	if q.settings.Off.FairShare {
		return float64(rank.queuedTokens)
	}
	sender := rank.accounts[name]
	queued, served := 0.0, q.resumeTime(rank, 0)
	if sender != nil {
		queued, served = float64(sender.queuedTokens), q.resumeTime(rank, sender.served)
	}
	end := served + (queued+float64(tokens))/q.weightOf(name)
	total := queued
	for _, other := range rank.active {
		if other != sender {
			total += min(float64(other.queuedTokens), max(0, end-other.served)*other.weight)
		}
	}
	return total
}

// slotsAhead estimates the number of waiting requests of the rank that get a run slot before a new request of an account.
func (q *Queue) slotsAhead(rank *rankQueue, name string) int {
	if q.slotsFor(rank) > rank.waiting {
		return 0
	}
	if a := rank.accounts[name]; a != nil && !q.settings.Off.FairShare {
		return min(rank.waiting, (len(a.short)+len(a.long)+1)*max(1, len(rank.active)))
	}
	return min(rank.waiting, len(rank.active)) + 1
}

// sameRankShare is the share of the rank's queued tokens that AheadByRank counts although they are not served before a
// request of an account without recent service. A report is not specific to an account. With a share of 0 the queue of a
// large caller looks empty, and entries send all its further requests to the same upstream; with a share of 1 small callers
// are moved away from their cached prefixes.
const sameRankShare = 0.5

// AheadByRank returns, for each rank, the queued tokens that are served before a new request of the rank. Agents report it
// so that routing ignores less urgent work when it estimates the wait.
func (q *Queue) AheadByRank() map[string]int64 {
	ahead := make(map[string]int64, len(q.ranks))
	for _, rank := range q.ranks {
		ahead[rank.Name] = int64(q.aheadOfRank(rank))
	}
	return ahead
}

func (q *Queue) aheadOfRank(rank *rankQueue) float64 {
	one := q.AheadOf(rank.Name, "", q.settings.ChunkTokens)
	sameRank := one.FloorTokens + sameRankShare*(float64(rank.queuedTokens)-one.FloorTokens)
	tokens := one.Tokens - one.FloorTokens + sameRank
	tokens += one.Contention(sameRank+float64(q.settings.ChunkTokens), q.prefillRate)
	if one.FloorShare > 0 {
		tokens = min(tokens, sameRank/one.FloorShare)
	}
	return tokens
}
