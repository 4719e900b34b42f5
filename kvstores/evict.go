package kvstores

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// freeShare is the share of a store that is kept free for new parts, or is being freed.
	freeShare = 0.05
	// evictStep is the smallest share of a store that is freed at a time.
	evictStep = 0.01
	// minIdle is the time without use after which a part may be evicted. Prompts return after gaps: a part evicted sooner
	// is often read again.
	minIdle = 20 * time.Second
)

// heldPart is a part in a store, for the choice of what to evict.
type heldPart struct {
	part     Part
	tokens   int
	lastUsed time.Time
}

// selectEvictions returns the parts to evict from a store, those first that have not been used for the longest time.
// Parts whose eviction is in progress are not among those held.
func selectEvictions(held []heldPart, capacity int, now time.Time) []Part {
	missing := missingRoom(lo.SumBy(held, func(h heldPart) int { return h.tokens }), capacity)
	if missing <= 0 {
		return nil
	}
	slices.SortFunc(held, func(a, b heldPart) int { return a.lastUsed.Compare(b.lastUsed) })
	var evicted []Part
	for _, h := range held {
		if missing <= 0 || now.Sub(h.lastUsed) < minIdle {
			break
		}
		evicted = append(evicted, h.part)
		missing -= h.tokens
	}
	return evicted
}

// missingRoom returns how much must be evicted from a store that holds so much, 0 for less than evictStep.
func missingRoom(used, capacity int) int {
	missing := int(freeShare*float64(capacity)) - (capacity - used)
	if float64(missing) < evictStep*float64(capacity) {
		return 0
	}
	return missing
}

// withdrawal is a part that nodes no longer fetch, and that is freed once no fetch of it can still be in progress.
type withdrawal struct {
	at     time.Time
	tokens int
	// freed is set once the store was told to free the part. The part counts as withdrawn until the store reports that
	// it is gone: an earlier report that it is complete may still arrive, and the part may be written anew meanwhile.
	freed bool
	// requested is set once a call to free the part was sent, whose answer may have been lost: the part may be gone.
	requested bool
}

// withdrawDelay is the time from the withdrawal of a part to its release: nodes without contact to the reader still
// begin fetches for contactTimeout.
const withdrawDelay = contactTimeout + transferDrain
