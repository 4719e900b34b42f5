package cachevalue

import (
	"time"

	"github.com/wasabishunt/wasabishunt/piece"
)

// TierSettings are the settings of a Tier.
type TierSettings struct {
	// Capacity in bytes.
	Capacity int64
	// Sample bounds the entries examined per account for one eviction; default 64.
	Sample int
	// Weights of client accounts; an account without one has weight 1.
	Weights map[string]float64
	// Evictable reports whether a piece may be evicted now, for example because it has no leases; nil means always.
	Evictable func(piece.Name) bool
	// NoShares lets accounts evict each other's entries, for comparison runs only; default false.
	NoShares bool
}

// Tier decides which pieces one memory or disk tier stores. Each account has a share of the tier; it may use idle space
// beyond its share, and such space is reclaimed first.
type Tier struct {
	settings TierSettings
	policy   Policy
	entries  map[piece.Name]*tierEntry
	accounts map[string]*accountEntries
	order    []*accountEntries // In order of first use, because decisions must not depend on map order.
	used     int64
}

type tierEntry struct {
	Entry
	position int
}

type accountEntries struct {
	account string
	used    int64
	entries []*tierEntry
	cursor  int
}

// NewTier returns an empty tier.
func NewTier(settings TierSettings, policy Policy) *Tier {
	if settings.Sample <= 0 {
		settings.Sample = 64
	}
	return &Tier{settings: settings, policy: policy, entries: map[piece.Name]*tierEntry{}, accounts: map[string]*accountEntries{}}
}

// Get returns an entry without counting a use.
func (t *Tier) Get(name piece.Name) (Entry, bool) {
	if e := t.entries[name]; e != nil {
		return e.Entry, true
	}
	return Entry{}, false
}

// Touch records a use of an entry, and reports whether the tier holds it.
func (t *Tier) Touch(name piece.Name, now time.Time) bool {
	e := t.entries[name]
	if e != nil {
		e.LastUse = now
	}
	return e != nil
}

// Put adds an entry and returns what it evicts. The entry is not stored if it is less valuable than an entry of its
// account that it would evict, or if nothing can be evicted.
func (t *Tier) Put(entry Entry, now time.Time) (evicted []Entry, stored bool) {
	if t.Touch(entry.Name, now) {
		return nil, true
	}
	if entry.Bytes > t.settings.Capacity {
		return nil, false
	}
	var victims []*tierEntry
	for t.used+entry.Bytes > t.settings.Capacity {
		victim := t.victim(entry, now)
		if victim == nil || (victim.Account == entry.Account && t.policy.Value(victim.Entry, now) > t.policy.Value(entry, now)) {
			t.restore(victims)
			return nil, false
		}
		t.remove(victim)
		victims = append(victims, victim)
	}
	t.add(entry)
	for _, victim := range victims {
		evicted = append(evicted, victim.Entry)
	}
	return evicted, true
}

func (t *Tier) restore(victims []*tierEntry) {
	for _, victim := range victims {
		t.add(victim.Entry)
	}
}

// victim returns the least valuable evictable entry of the account that exceeds its share most. The bytes of
// added count as used by its account.
func (t *Tier) victim(added Entry, now time.Time) *tierEntry {
	if t.settings.NoShares {
		return t.leastValuable(t.order, now)
	}
	var worst *accountEntries
	excess := 0.0
	total := t.totalWeight(added.Account)
	for _, a := range t.order {
		if len(a.entries) == 0 {
			continue
		}
		used := float64(a.used)
		if a.account == added.Account {
			used += float64(added.Bytes)
		}
		if ratio := used / t.weight(a.account) * total; worst == nil || ratio > excess {
			worst, excess = a, ratio
		}
	}
	if worst == nil {
		return nil
	}
	return t.leastValuable([]*accountEntries{worst}, now)
}

// leastValuable returns the entry with the least value among a sample of each account's entries.
func (t *Tier) leastValuable(accounts []*accountEntries, now time.Time) *tierEntry {
	var least *tierEntry
	leastValue := 0.0
	for _, a := range accounts {
		for range min(t.settings.Sample, len(a.entries)) {
			a.cursor = (a.cursor + 1) % len(a.entries)
			e := a.entries[a.cursor]
			if t.settings.Evictable != nil && !t.settings.Evictable(e.Name) {
				continue
			}
			if v := t.policy.Value(e.Entry, now); least == nil || v < leastValue {
				least, leastValue = e, v
			}
		}
	}
	return least
}

func (t *Tier) weight(account string) float64 {
	if w := t.settings.Weights[account]; w > 0 {
		return w
	}
	return 1
}

// totalWeight sums the weights of the accounts that have entries and of the given one.
func (t *Tier) totalWeight(account string) float64 {
	total := t.weight(account)
	for _, a := range t.order {
		if len(a.entries) > 0 && a.account != account {
			total += t.weight(a.account)
		}
	}
	return total
}

func (t *Tier) add(entry Entry) {
	a := t.accounts[entry.Account]
	if a == nil {
		a = &accountEntries{account: entry.Account}
		t.accounts[entry.Account] = a
		t.order = append(t.order, a)
	}
	e := &tierEntry{Entry: entry, position: len(a.entries)}
	a.entries = append(a.entries, e)
	a.used += entry.Bytes
	t.used += entry.Bytes
	t.entries[entry.Name] = e
}

// Remove drops an entry.
func (t *Tier) Remove(name piece.Name) {
	if e := t.entries[name]; e != nil {
		t.remove(e)
	}
}

func (t *Tier) remove(e *tierEntry) {
	a := t.accounts[e.Account]
	last := a.entries[len(a.entries)-1]
	a.entries[e.position], last.position = last, e.position
	a.entries[len(a.entries)-1] = nil
	a.entries = a.entries[:len(a.entries)-1]
	a.used -= e.Bytes
	t.used -= e.Bytes
	delete(t.entries, e.Name)
}

// Used returns the bytes in use, in total and by one account.
func (t *Tier) Used(account string) (total, byAccount int64) {
	if a := t.accounts[account]; a != nil {
		byAccount = a.used
	}
	return t.used, byAccount
}

// Len returns the number of entries.
func (t *Tier) Len() int { return len(t.entries) }

// Entries returns all entries, by account in order of first use.
func (t *Tier) Entries() []Entry {
	entries := make([]Entry, 0, len(t.entries))
	for _, a := range t.order {
		for _, e := range a.entries {
			entries = append(entries, e.Entry)
		}
	}
	return entries
}
