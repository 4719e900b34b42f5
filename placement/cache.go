package placement

import (
	"container/list"

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

// partCache estimates what an engine holds, from the requests that all nodes sent there. It evicts the oldest parts
// first, as engines do.
type partCache struct {
	order  *list.List
	parts  map[uint32]*list.Element
	tokens int
}

func newPartCache() *partCache {
	return &partCache{order: list.New(), parts: map[uint32]*list.Element{}}
}

// add records parts as the most recent ones and evicts the oldest beyond the capacity.
func (c *partCache) add(parts []keyedPart, capacity int) {
	for _, part := range parts {
		if old, ok := c.parts[part.key]; ok {
			c.order.MoveToFront(old)
			continue
		}
		c.parts[part.key] = c.order.PushFront(part)
		c.tokens += part.tokens
	}
	for c.tokens > capacity && c.order.Len() > 0 {
		c.evict(c.order.Back())
	}
}

func (c *partCache) evict(element *list.Element) {
	part := c.order.Remove(element).(keyedPart)
	delete(c.parts, part.key)
	c.tokens -= part.tokens
}

// prefix returns the number and the tokens of the leading parts that are held.
func (c *partCache) prefix(parts []keyedPart) (held, tokens int) {
	for _, part := range parts {
		if _, ok := c.parts[part.key]; !ok {
			break
		}
		held++
		tokens += part.tokens
	}
	return held, tokens
}
