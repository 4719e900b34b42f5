package engine

import (
	"container/list"
	"time"

	wire "github.com/wasabishunt/wasabishunt/upstream/engine"
)

// cacheKey separates cache scopes and weight versions.
type cacheKey struct {
	scope, version, piece string
}

type cacheEntry struct {
	key    cacheKey
	tokens int64
	// corrupt is set if the imported blocks differ from those of the piece.
	corrupt bool
}

type timedEvent struct {
	wire.EventBody
	visible time.Time
}

// prefixCache is a least-recently-used cache of pieces with an event log. The server's lock guards it.
type prefixCache struct {
	capacity, used int64
	entries        map[cacheKey]*list.Element
	order          *list.List // Front is the most recently used.
	events         []timedEvent
	sequence       uint64
	gapEvery       uint64
	delay          time.Duration
}

func newPrefixCache(capacity int64, delay time.Duration, gapEvery uint64) *prefixCache {
	return &prefixCache{capacity: capacity, entries: map[cacheKey]*list.Element{}, order: list.New(), delay: delay, gapEvery: gapEvery}
}

// prefix returns the number of leading pieces that are cached, and whether any of them is corrupt.
func (c *prefixCache) prefix(scope, version string, pieces []string) (count int, corrupt bool) {
	for _, name := range pieces {
		element, ok := c.entries[cacheKey{scope, version, name}]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		corrupt = corrupt || element.Value.(*cacheEntry).corrupt
		count++
	}
	return count, corrupt
}

// store adds a piece and evicts the least recently used ones beyond the capacity.
func (c *prefixCache) store(entry cacheEntry, now time.Time) {
	if element, ok := c.entries[entry.key]; ok {
		c.order.MoveToFront(element)
		return
	}
	if entry.tokens > c.capacity {
		return
	}
	for c.used+entry.tokens > c.capacity {
		c.evictOldest(now)
	}
	c.entries[entry.key] = c.order.PushFront(&entry)
	c.used += entry.tokens
	c.emit(entry.key.piece, true, now)
}

func (c *prefixCache) evictOldest(now time.Time) {
	element := c.order.Back()
	entry := c.order.Remove(element).(*cacheEntry)
	delete(c.entries, entry.key)
	c.used -= entry.tokens
	c.emit(entry.key.piece, false, now)
}

func (c *prefixCache) emit(piece string, stored bool, now time.Time) {
	c.sequence++
	if c.gapEvery > 0 && c.sequence%c.gapEvery == 0 {
		return
	}
	event := wire.EventBody{Sequence: c.sequence, Piece: piece, Stored: stored}
	c.events = append(c.events, timedEvent{event, now.Add(c.delay)})
	if len(c.events) > 2*maxEvents {
		c.events = append([]timedEvent(nil), c.events[len(c.events)-maxEvents:]...)
	}
}

// eventsAfter returns the visible events after a sequence number.
func (c *prefixCache) eventsAfter(sequence uint64, now time.Time) wire.EventsBody {
	body := wire.EventsBody{Events: []wire.EventBody{}, Gap: sequence > c.sequence}
	if body.Gap {
		sequence = 0 // The engine restarted and its sequence numbers began again.
	}
	for _, event := range c.events {
		if event.Sequence > sequence && !event.visible.After(now) && len(body.Events) < maxEvents {
			body.Events = append(body.Events, event.EventBody)
		}
	}
	return body
}
