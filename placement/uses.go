package placement

import "time"

// partUses records when parts of prompts were last sent to an engine. The map older holds the entries of the time before
// recent was begun, so that the size is bounded without a search for the oldest entry.
type partUses struct{ recent, older map[uint32]time.Time }

// maxPartUses is the size at which the entries in older are dropped. Stores hold fewer parts.
const maxPartUses = 1 << 15

func newPartUses() partUses { return partUses{recent: map[uint32]time.Time{}} }

func (u *partUses) record(parts []keyedPart, at time.Time) {
	if len(u.recent) >= maxPartUses {
		u.older, u.recent = u.recent, make(map[uint32]time.Time, maxPartUses)
	}
	for _, part := range parts {
		u.recent[part.key] = at
	}
}

func (u *partUses) last(key uint32) time.Time {
	if at, ok := u.recent[key]; ok {
		return at
	}
	return u.older[key]
}

// LastUsed returns when a request with a part was last sent to an engine, by this node or by another one that reported
// it; zero if no such request is known.
func (t *Tracker) LastUsed(salt, part string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.uses.last(uint32(PartKey(salt, part)))
}
