package placement

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part is one part of a prompt; parts are shared between requests.
type Part struct {
	ID     string
	Tokens int
}

// keyedPart is a part under the salt of a request; nodes report parts by these keys.
type keyedPart struct {
	key    uint32
	tokens int
}

// PartKey identifies a part of a prompt under a salt in the nodes' reports of saves. keyedPart uses only its lower 32
// bits: a collision there costs no more than a prefill.
func PartKey(salt, id string) uint64 { return xxhash.Sum64String(salt + "\x00" + id) }

func keyParts(salt string, parts []Part) []keyedPart {
	out := make([]keyedPart, len(parts))
	for i, part := range parts {
		out[i] = keyedPart{uint32(PartKey(salt, part.ID)), part.Tokens}
	}
	return out
}

// promptUse is the use of the parts of one prompt by a request at an engine.
type promptUse struct {
	sentAt time.Time
	// readAt is when the engine is expected to have read the prompt.
	readAt time.Time
	// size is the size class of the prompt, which determines how long the request is expected to run.
	size int
}

// cachedPart is a part that an engine is expected to hold.
type cachedPart struct {
	keyedPart
	// readAt is when the engine is expected to have read the part.
	readAt time.Time
	// usedAt and size describe the request that is expected to use the part longest.
	usedAt time.Time
	size   int
}

// runTimes are the expected times from the send to the end of a request, by size class of the prompt.
type runTimes [sizeClasses]time.Duration

const (
	// initialRunTime is assumed until the first request of a size class has ended.
	initialRunTime = time.Second
	// runTimeWeight is the weight of one request in the learned time.
	runTimeWeight = 0.05
)

func newRunTimes() runTimes { return runTimes{initialRunTime, initialRunTime, initialRunTime} }

func (r *runTimes) observe(size int, took time.Duration) {
	r[size] += time.Duration(runTimeWeight * float64(took-r[size]))
}

// partCache estimates what an engine holds, from the requests that all nodes sent there. An engine keeps the parts of
// running requests, and evicts the parts of ended ones, the oldest first.
type partCache struct {
	// lists hold the parts by size class of the request that uses them longest, the newest first.
	lists  [sizeClasses]*list.List
	parts  map[uint32]*list.Element
	tokens int
	// holders is the index of the parts of all caches, in which this one is that of owner.
	holders *partHolders
	owner   *instanceState
}

func newPartCache(holders *partHolders, owner *instanceState) *partCache {
	c := &partCache{parts: map[uint32]*list.Element{}, holders: holders, owner: owner}
	for i := range c.lists {
		c.lists[i] = list.New()
	}
	return c
}

// add records the use of parts and evicts those beyond the capacity whose requests ended first.
func (c *partCache) add(parts []keyedPart, use promptUse, capacity int, times *runTimes) {
	for _, part := range parts {
		added := cachedPart{keyedPart: part, readAt: use.readAt, usedAt: use.sentAt, size: use.size}
		if element, ok := c.parts[part.key]; ok {
			old := element.Value.(cachedPart)
			added.tokens = old.tokens
			if old.readAt.Before(added.readAt) {
				added.readAt = old.readAt
			}
			if old.unusedAt(times).After(added.unusedAt(times)) {
				added.usedAt, added.size = old.usedAt, old.size
			}
			c.lists[old.size].Remove(element)
			c.tokens -= old.tokens
		} else {
			c.holders.add(part.key, c.owner)
		}
		c.parts[part.key] = c.lists[added.size].PushFront(added)
		c.tokens += added.tokens
	}
	for c.tokens > capacity && len(c.parts) > 0 {
		c.evictOldest(times)
	}
}

// unusedAt is when the last request that uses the part is expected to end.
func (p *cachedPart) unusedAt(times *runTimes) time.Time { return p.usedAt.Add(times[p.size]) }

func (c *partCache) evictOldest(times *runTimes) {
	var oldest *list.Element
	var unusedAt time.Time
	for _, l := range c.lists {
		if element := l.Back(); element != nil {
			part := element.Value.(cachedPart)
			if at := part.unusedAt(times); oldest == nil || at.Before(unusedAt) {
				oldest, unusedAt = element, at
			}
		}
	}
	part := oldest.Value.(cachedPart)
	c.lists[part.size].Remove(oldest)
	delete(c.parts, part.key)
	c.holders.remove(part.key, c.owner)
	c.tokens -= part.tokens
}

// drop removes the cache from the index of the parts of all caches.
func (c *partCache) drop() {
	for key := range c.parts {
		c.holders.remove(key, c.owner)
	}
}

// cachedPrefix describes the leading parts of a prompt that an engine is expected to hold.
type cachedPrefix struct {
	parts, tokens int
	// readParts is the number of leading parts that the engine has read already; the others wait or are being read.
	readParts int
	// usedTokens are the tokens of parts that running requests use.
	usedTokens int
}

func (c *partCache) prefix(parts []keyedPart, now time.Time, times *runTimes) (p cachedPrefix) {
	for _, part := range parts {
		element, ok := c.parts[part.key]
		if !ok {
			break
		}
		held := element.Value.(cachedPart)
		if p.readParts == p.parts && !now.Before(held.readAt) {
			p.readParts++
		}
		p.parts++
		p.tokens += part.tokens
		if now.Before(held.unusedAt(times)) {
			p.usedTokens += part.tokens
		}
	}
	return p
}
