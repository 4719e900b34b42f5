package kv

import (
	"container/list"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/piece"
)

// maxResident limits the pieces tracked by residency.
const maxResident = 65536

// residency tracks the pieces in the engine's cache by their last use. Engines evict the least recently used piece.
type residency struct {
	mu     sync.Mutex
	order  *list.List // Front was used last.
	byName map[string]*list.Element
	// capacity is the size of the engine's cache in tokens; 0 means unknown.
	capacity int64
}

type residentPiece struct {
	name    string
	lastUse time.Time
}

func newResidency() *residency {
	return &residency{order: list.New(), byName: map[string]*list.Element{}}
}

// recordUse records a use of a piece. It returns the pieces that the engine must have evicted to make room; the engine's
// events report them too, but late.
func (r *residency) recordUse(name piece.Name, now time.Time) (evicted []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := name.String()
	if element, ok := r.byName[key]; ok {
		r.order.Remove(element)
	}
	r.byName[key] = r.order.PushFront(residentPiece{key, now})
	for r.order.Len() > r.limit() {
		oldest := r.order.Remove(r.order.Back()).(residentPiece).name
		delete(r.byName, oldest)
		evicted = append(evicted, oldest)
	}
	return evicted
}

// limit returns the number of pieces that fit in the engine's cache.
func (r *residency) limit() int {
	if r.capacity <= 0 {
		return maxResident
	}
	return min(maxResident, int(r.capacity/piece.TokensPerPiece))
}

func (r *residency) remove(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if element, ok := r.byName[name]; ok {
		r.order.Remove(element)
		delete(r.byName, name)
	}
}

func (r *residency) setCapacity(tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.capacity = tokens
}

// safeShare is the share of the engine's capacity that holds the most recent pieces, which are not expected to be evicted
// soon.
const safeShare = 0.75

// evictionRiskBefore returns the time of last use before which pieces are close to eviction; zero if none are.
func (r *residency) evictionRiskBefore() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	safe := int(safeShare * float64(r.capacity) / piece.TokensPerPiece)
	if r.capacity <= 0 || r.order.Len() <= safe {
		return time.Time{}
	}
	element := r.order.Front()
	for range safe {
		element = element.Next()
	}
	return element.Value.(residentPiece).lastUse.Add(1)
}
