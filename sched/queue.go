package sched

import (
	"container/heap"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

// Queue holds the waiting and running requests of one upstream.
type Queue struct {
	settings  Settings
	weights   map[string]float64
	ranks     []*rankQueue // Most urgent first.
	byName    map[string]*rankQueue
	entries   map[string]*entry // By request id.
	deadlines deadlineHeap
	budget    longBudget
	dropped   []Removed
	// prefillRate is the measured rate in tokens per second; 0 means unknown.
	prefillRate float64
	now         time.Time // Time of the last Push or Next.
	waiting     int
	running     int
	outstanding outstanding
	stepLimit   int64  // Prefill of one engine step in tokens; 0 means no limit. See SetStepLimit.
	sinceFloor  int    // Chunks granted since the last one by a floor.
	pace        int    // Chunks granted by order of ranks between two by a floor.
	rescued     *entry // Chosen out of order to meet its deadline; see rescue.
	lastRescue  bool   // The last granted chunk was a rescue.
	sequence    uint64
}

// entry is one request from Push to Finish, Cancel or removal.
type entry struct {
	item      Item
	rank      *rankQueue
	account   *account
	remaining int64 // Prompt tokens not yet granted.
	granted   int64 // Tokens of the chunk in progress.
	priority  int   // Priority of the chunk in progress.
	started   bool
	removed   bool
	sequence  uint64
}

// New returns an empty queue.
func New(settings Settings, config Config) *Queue {
	q := &Queue{settings: settings.withDefaults(), entries: map[string]*entry{}, outstanding: outstanding{}}
	q.budget = longBudget{share: q.settings.LongShare, limit: float64(q.settings.ChunkTokens)}
	q.Configure(config)
	return q
}

// SetPrefillRate sets the measured prefill rate in tokens per second.
func (q *Queue) SetPrefillRate(rate float64) { q.prefillRate = rate }

// Push queues an item. If the queue is full, it displaces the newest request of the largest account in the least urgent rank
// that exceeds its floor's share of the queue, or refuses the item as not run.
func (q *Queue) Push(item Item, now time.Time) error {
	if _, ok := q.entries[item.ID]; ok {
		return failure.New(failure.InvalidRequest, failure.NotRun, "request %s is already queued", item.ID)
	}
	q.now = now
	q.expire(now)
	rank := q.rankOf(item.Rank)
	if q.waiting >= q.settings.MaxQueued && !q.displaceFor(rank, item) {
		return failure.New(failure.Overloaded, failure.NotRun, "queue of %d requests is full", q.settings.MaxQueued)
	}
	q.insert(item, rank)
	return nil
}

func (q *Queue) insert(item Item, rank *rankQueue) {
	q.sequence++
	e := &entry{item: item, rank: rank, remaining: max(1, item.PromptTokens), sequence: q.sequence}
	e.account = rank.account(q.accountKey(item), q.weightOf(item.Account))
	q.activate(rank, e.account)
	e.account.addWaiting(e, q.settings.Off.Deadlines)
	e.account.queuedTokens += e.remaining
	rank.queuedTokens += e.remaining
	rank.waiting++
	q.waiting++
	q.entries[item.ID] = e
	if !item.Deadline.IsZero() {
		heap.Push(&q.deadlines, e)
	}
}

// Next grants the next prefill chunk. It reports false if no work may start now.
func (q *Queue) Next(now time.Time) (Grant, bool) {
	q.now = now
	q.expire(now)
	for {
		e, rule := q.choose(now)
		if e == nil {
			return Grant{}, false
		}
		if q.unreachable(e, now) {
			q.drop(e, RemovedUnreachable)
			continue
		}
		return q.grant(e, rule)
	}
}

func (q *Queue) grant(e *entry, rule string) (Grant, bool) {
	tokens, priority := q.chunk(e), q.priority(e, rule)
	if before := q.outstandingBefore(priority); before > 0 && before+tokens > q.limited(q.settings.MaxOutstanding) {
		return Grant{}, false
	}
	q.sinceFloor++
	if rule == ruleFloor {
		q.sinceFloor = 0
	}
	q.lastRescue = q.rescued == e
	first := !e.started
	if first {
		q.start(e)
	} else {
		e.account.removeReady(e)
	}
	e.remaining -= tokens
	e.granted, e.priority = tokens, priority
	q.outstanding.add(priority, tokens)
	q.subtractQueued(e, tokens)
	q.charge(e, tokens, true)
	e.rank.recent.add(tokens, q.now)
	return Grant{Item: e.item, Tokens: tokens, First: first, Last: e.remaining == 0, Priority: priority, Rule: rule}, true
}

// chunk returns the size of the next chunk of an entry in tokens.
func (q *Queue) chunk(e *entry) int64 {
	if q.settings.WholePrompts {
		return e.remaining
	}
	return min(e.remaining, q.limited(q.settings.ChunkTokens))
}

func (q *Queue) start(e *entry) {
	e.account.removeWaiting(e)
	e.started = true
	e.account.running++
	e.rank.running++
	e.rank.waiting--
	q.running++
	q.waiting--
}

// subtractQueued subtracts granted or abandoned prompt tokens from the counts of queued tokens.
func (q *Queue) subtractQueued(e *entry, tokens int64) {
	e.account.queuedTokens -= tokens
	e.rank.queuedTokens -= tokens
}

// charge counts tokens towards the account's fair share, the ranks' floors and, for prefill, the budget for long prefixes.
func (q *Queue) charge(e *entry, tokens int64, prefill bool) {
	e.rank.charge(e.account, tokens)
	q.creditFloors(e.rank, tokens)
	if prefill {
		q.budget.charge(e.item.Long, tokens)
	}
}

// ChunkDone reports that the granted chunk of a request has been computed.
func (q *Queue) ChunkDone(id string) {
	e, ok := q.entries[id]
	if !ok || e.granted == 0 {
		return
	}
	q.outstanding.add(e.priority, -e.granted)
	e.granted = 0
	if e.remaining > 0 {
		e.account.ready = append(e.account.ready, e)
	}
}

// Progress charges generated tokens to the request's account and rank.
func (q *Queue) Progress(id string, tokens int64) {
	if e, ok := q.entries[id]; ok {
		q.charge(e, tokens, false)
	}
}

// Finish ends a run and frees its slot.
func (q *Queue) Finish(id string) { q.Cancel(id) }

// Cancel removes a request in any state and frees its queue slot or run slot immediately. It reports whether the request had
// started.
func (q *Queue) Cancel(id string) (started bool) {
	e, ok := q.entries[id]
	if !ok {
		return false
	}
	q.remove(e)
	return e.started
}

func (q *Queue) remove(e *entry) {
	delete(q.entries, e.item.ID)
	e.removed = true
	q.subtractQueued(e, e.remaining)
	if e.started {
		q.outstanding.add(e.priority, -e.granted)
		e.account.removeReady(e)
		e.account.running--
		e.rank.running--
		q.running--
	} else {
		e.account.removeWaiting(e)
		e.rank.waiting--
		q.waiting--
	}
	e.rank.deactivate(e.account)
}

// Dropped returns the requests removed since the last call because they expired, can no longer meet their deadline or were
// displaced. The caller must answer them.
func (q *Queue) Dropped(now time.Time) []Removed {
	q.expire(now)
	dropped := q.dropped
	q.dropped = nil
	return dropped
}

func (q *Queue) drop(e *entry, reason string) {
	q.remove(e)
	q.addUnmet(e.rank, e.remaining)
	q.dropped = append(q.dropped, Removed{Item: e.item, Started: e.started, Reason: reason})
}
