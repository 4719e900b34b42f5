package sched

import (
	"container/heap"
	"slices"
	"time"
)

// account holds the work of one client account within one rank.
type account struct {
	name   string
	weight float64
	// served is the account's virtual time: the tokens served divided by the weight.
	served       float64
	short, long  waitHeap
	ready        []*entry // Started, with prompt tokens left and no chunk in progress.
	queuedTokens int64
	running      int
	active       bool
}

// maxIdleAccounts bounds the number of accounts without work whose virtual times are kept.
const maxIdleAccounts = 4096

func (q *Queue) accountKey(item Item) string {
	if q.settings.Off.FairShare {
		return ""
	}
	return item.Account
}

func (q *Queue) weightOf(name string) float64 {
	if weight := q.weights[name]; weight > 0 && !q.settings.Off.FairShare {
		return weight
	}
	return 1
}

func (r *rankQueue) account(name string, weight float64) *account {
	a := r.accounts[name]
	if a == nil {
		a = &account{name: name}
		r.accounts[name] = a
	}
	a.weight = weight
	return a
}

// activate adds an idle account to the active ones, with a virtual time that is behind the rank's by at most AccountBurst. An
// account that uses less than its share thus gets complete prompts served before accounts that use more, and an idle
// account cannot accumulate more than one burst.
func (q *Queue) activate(r *rankQueue, a *account) {
	if a.active {
		return
	}
	a.active = true
	a.served = q.resumeTime(r, a.served)
	r.active = append(r.active, a)
}

// resumeTime returns the virtual time with which an account becomes active again. served is its
// last virtual time, 0 for a new account.
func (q *Queue) resumeTime(r *rankQueue, served float64) float64 {
	return max(served, r.clock-float64(q.settings.AccountBurst))
}

func (r *rankQueue) deactivate(a *account) {
	if a.running > 0 || len(a.short)+len(a.long) > 0 {
		return
	}
	a.active = false
	if i := slices.Index(r.active, a); i >= 0 {
		r.active = slices.Delete(r.active, i, i+1)
	}
	if len(r.accounts) > maxIdleAccounts {
		delete(r.accounts, a.name)
	}
}

func (r *rankQueue) charge(a *account, tokens int64) {
	a.served += float64(tokens) / a.weight
}

// chooseAccount returns the next entry of the account with the lowest virtual time that may run now.
func (q *Queue) chooseAccount(r *rankQueue, longAllowed bool, now time.Time) *entry {
	if !r.backlogged() {
		return nil
	}
	var best *entry
	slots := q.slotsFor(r)
	for _, a := range r.active {
		if best != nil && a.served > best.account.served+float64(q.settings.PreemptLag) {
			continue
		}
		if e := a.next(longAllowed, q.mayStart(slots, r, a), q.settings.Off.Deadlines); e != nil && q.precedes(e, best) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	r.clock = max(r.clock, best.account.served)
	return q.rescue(r, best, slots, longAllowed, now)
}

// precedes reports whether an entry is served before best, the best entry found so far in the other accounts of the rank. The
// account that is behind by more than PreemptLag goes first; otherwise the earlier deadline does.
func (q *Queue) precedes(e, best *entry) bool {
	lag := float64(q.settings.PreemptLag)
	if best == nil || e.account.served < best.account.served-lag {
		return true
	}
	return e.account.served <= best.account.served+lag && e.before(best, q.settings.Off.Deadlines)
}

// next returns the account's entry with the earliest deadline of those that may get a chunk now.
func (a *account) next(longAllowed, mayStart, fifo bool) *entry {
	var best *entry
	consider := func(e *entry) {
		if best == nil || e.before(best, fifo) {
			best = e
		}
	}
	for _, e := range a.ready {
		if longAllowed || !e.item.Long {
			consider(e)
		}
	}
	if mayStart && len(a.short) > 0 {
		consider(a.short[0].entry)
	}
	if mayStart && longAllowed && len(a.long) > 0 {
		consider(a.long[0].entry)
	}
	return best
}

// before orders entries by deadline, those without a deadline last, then by arrival; with fifo, by arrival only.
func (e *entry) before(other *entry, fifo bool) bool {
	d, o := e.item.Deadline, other.item.Deadline
	if fifo || d.Equal(o) {
		return e.sequence < other.sequence
	}
	if d.IsZero() || o.IsZero() {
		return o.IsZero()
	}
	return d.Before(o)
}

func (a *account) addWaiting(e *entry, fifo bool) {
	heap.Push(a.heapOf(e), waiter{entry: e, fifo: fifo})
}

func (a *account) removeWaiting(e *entry) {
	h := a.heapOf(e)
	for i := range *h {
		if (*h)[i].entry == e {
			heap.Remove(h, i)
			return
		}
	}
}

func (a *account) removeReady(e *entry) {
	if i := slices.Index(a.ready, e); i >= 0 {
		a.ready = slices.Delete(a.ready, i, i+1)
	}
}

func (a *account) heapOf(e *entry) *waitHeap {
	if e.item.Long {
		return &a.long
	}
	return &a.short
}

type waiter struct {
	*entry
	fifo bool
}

// waitHeap orders the waiting requests of an account.
type waitHeap []waiter

func (h waitHeap) Len() int           { return len(h) }
func (h waitHeap) Less(i, j int) bool { return h[i].before(h[j].entry, h[i].fifo) }
func (h waitHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *waitHeap) Push(x any) { *h = append(*h, x.(waiter)) }

// Pop implements heap.Interface.
func (h *waitHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = waiter{}
	*h = (*h)[:last]
	return w
}
