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

// Load returns the queued tokens, requests and runs, by rank and in total.
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

// Ahead is the work that would be served before a new request.
type Ahead struct {
	// Tokens of prompt that go first, at the whole prefill rate.
	Tokens float64
	// FloorTokens go first if the rank gets only its floor; they and the request itself are then computed at FloorShare
	// of the rate. FloorShare 0 means no floor.
	FloorTokens float64
	FloorShare  float64
	// Share of the prefill rate that more urgent ranks have recently left for the rank, 0 to 1; 0 counts as 1.
	Share float64
	// Slots is how many waiting requests go first to a run slot, 0 if a slot is free now.
	Slots int
	// Running is how many runs hold a slot.
	Running int
}

// maxContention bounds the time added for urgent work that has not arrived yet, because a flood does not last for ever.
const maxContention = 2 * time.Second

// Contention is the work that more urgent ranks will put before the given tokens if it keeps arriving as in the last
// seconds, in tokens of prompt, at a prefill rate in tokens per second.
func (a Ahead) Contention(tokens, prefillRate float64) float64 {
	if a.Share <= 0 || a.Share >= 1 {
		return 0
	}
	return min(maxContention.Seconds()*prefillRate, tokens*(1/a.Share-1))
}

// AheadOf estimates the work that is served before a new request of the account: all more urgent work, the part of its
// own rank that fair sharing puts first, and the floors of less urgent ranks.
func (q *Queue) AheadOf(rankName, accountName string, tokens int64) Ahead {
	rank := q.rankOf(rankName)
	own := q.sharedAhead(rank, accountName, tokens)
	ahead := Ahead{FloorShare: q.floorShare(rank, own+float64(tokens)), Running: q.running}
	ahead.FloorTokens = own
	ahead.Share = q.shareLeft(rank)
	ahead.Tokens = own
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

// sharedAhead sums, over the accounts of a rank, the tokens that are served before a new request is.
func (q *Queue) sharedAhead(rank *rankQueue, name string, tokens int64) float64 {
	if q.settings.Off.FairShare {
		return float64(rank.queuedTokens)
	}
	own := rank.accounts[name]
	queued, served := 0.0, q.resume(rank, 0)
	if own != nil {
		queued, served = float64(own.queuedTokens), q.resume(rank, own.served)
	}
	end := served + (queued+float64(tokens))/q.weightOf(name)
	total := queued
	for _, other := range rank.active {
		if other != own {
			total += min(float64(other.queuedTokens), max(0, end-other.served)*other.weight)
		}
	}
	return total
}

func (q *Queue) slotsAhead(rank *rankQueue, name string) int {
	if q.slotsFor(rank) > rank.waiting {
		return 0
	}
	if a := rank.accounts[name]; a != nil && !q.settings.Off.FairShare {
		return min(rank.waiting, (len(a.short)+len(a.long)+1)*max(1, len(rank.active)))
	}
	return min(rank.waiting, len(rank.active)) + 1
}

// ownQueuePart is the part that AheadByRank counts of the rank's queue that does not go before an account without service:
// a report cannot know the account. Without it the queue of a large caller looks empty, and entries send all further
// requests of that caller to the same upstream; counted whole, it drives small callers from their cached prefixes.
const ownQueuePart = 0.5

// AheadByRank returns, for each rank, the queued tokens that are served before a new request of the rank. Agents report
// it, so that routing does not take less urgent work for a wait.
func (q *Queue) AheadByRank() map[string]int64 {
	ahead := make(map[string]int64, len(q.ranks))
	for _, rank := range q.ranks {
		ahead[rank.Name] = int64(q.aheadOfRank(rank))
	}
	return ahead
}

func (q *Queue) aheadOfRank(rank *rankQueue) float64 {
	one := q.AheadOf(rank.Name, "", q.settings.ChunkTokens)
	own := one.FloorTokens + ownQueuePart*(float64(rank.queuedTokens)-one.FloorTokens)
	tokens := one.Tokens - one.FloorTokens + own
	tokens += one.Contention(own+float64(q.settings.ChunkTokens), q.prefillRate)
	if one.FloorShare > 0 {
		tokens = min(tokens, own/one.FloorShare)
	}
	return tokens
}
