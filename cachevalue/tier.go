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

// Tier decides what one memory or disk tier keeps. Each account has a share of the tier; it may use idle space beyond
// its share, and such space is reclaimed first.
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
	if k := t.entries[name]; k != nil {
		return k.Entry, true
	}
	return Entry{}, false
}

// Touch marks an entry as used.
func (t *Tier) Touch(name piece.Name, now time.Time) bool {
	k := t.entries[name]
	if k != nil {
		k.LastUse = now
	}
	return k != nil
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

// victim returns the least valuable evictable entry of the account that exceeds its share most, with newcomer
// counted.
func (t *Tier) victim(newcomer Entry, now time.Time) *tierEntry {
	if t.settings.NoShares {
		return t.leastValuable(t.order, now)
	}
	var worst *accountEntries
	excess := 0.0
	total := t.totalWeight(newcomer.Account)
	for _, h := range t.order {
		if len(h.entries) == 0 {
			continue
		}
		used := float64(h.used)
		if h.account == newcomer.Account {
			used += float64(newcomer.Bytes)
		}
		if ratio := used / t.weight(h.account) * total; worst == nil || ratio > excess {
			worst, excess = h, ratio
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
	for _, h := range accounts {
		for range min(t.settings.Sample, len(h.entries)) {
			h.cursor = (h.cursor + 1) % len(h.entries)
			k := h.entries[h.cursor]
			if t.settings.Evictable != nil && !t.settings.Evictable(k.Name) {
				continue
			}
			if v := t.policy.Value(k.Entry, now); least == nil || v < leastValue {
				least, leastValue = k, v
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

// totalWeight sums the weights of the accounts that have entries, and that of the newcomer.
func (t *Tier) totalWeight(newcomer string) float64 {
	total := t.weight(newcomer)
	for _, h := range t.order {
		if len(h.entries) > 0 && h.account != newcomer {
			total += t.weight(h.account)
		}
	}
	return total
}

func (t *Tier) add(entry Entry) {
	h := t.accounts[entry.Account]
	if h == nil {
		h = &accountEntries{account: entry.Account}
		t.accounts[entry.Account] = h
		t.order = append(t.order, h)
	}
	k := &tierEntry{Entry: entry, position: len(h.entries)}
	h.entries = append(h.entries, k)
	h.used += entry.Bytes
	t.used += entry.Bytes
	t.entries[entry.Name] = k
}

// Remove drops an entry.
func (t *Tier) Remove(name piece.Name) {
	if k := t.entries[name]; k != nil {
		t.remove(k)
	}
}

func (t *Tier) remove(k *tierEntry) {
	h := t.accounts[k.Account]
	last := h.entries[len(h.entries)-1]
	h.entries[k.position], last.position = last, k.position
	h.entries[len(h.entries)-1] = nil
	h.entries = h.entries[:len(h.entries)-1]
	h.used -= k.Bytes
	t.used -= k.Bytes
	delete(t.entries, k.Name)
}

// Used returns the bytes in use, in total and by one account.
func (t *Tier) Used(account string) (total, own int64) {
	if h := t.accounts[account]; h != nil {
		own = h.used
	}
	return t.used, own
}

// Len returns the number of entries.
func (t *Tier) Len() int { return len(t.entries) }

// Entries returns all entries, by account in order of first use.
func (t *Tier) Entries() []Entry {
	entries := make([]Entry, 0, len(t.entries))
	for _, h := range t.order {
		for _, k := range h.entries {
			entries = append(entries, k.Entry)
		}
	}
	return entries
}
