package placement

import "container/list"

// Part is one part of a prompt; parts are shared between requests.
type Part struct {
	ID     string
	Tokens int
}

type partKey struct{ salt, id string }

// partCache is a node's belief of what an engine holds, from the requests that it sent there.
type partCache struct {
	order  *list.List
	parts  map[partKey]*list.Element
	tokens int
}

type cachedPart struct {
	key    partKey
	tokens int
}

func newPartCache() *partCache {
	return &partCache{order: list.New(), parts: map[partKey]*list.Element{}}
}

// add notes parts as the most recent ones and forgets the oldest beyond the capacity.
func (c *partCache) add(salt string, parts []Part, capacity int) {
	for _, part := range parts {
		key := partKey{salt, part.ID}
		if old, ok := c.parts[key]; ok {
			c.order.MoveToFront(old)
			continue
		}
		c.parts[key] = c.order.PushFront(cachedPart{key, part.Tokens})
		c.tokens += part.Tokens
	}
	for c.tokens > capacity && c.order.Len() > 0 {
		oldest := c.order.Back()
		part := c.order.Remove(oldest).(cachedPart)
		delete(c.parts, part.key)
		c.tokens -= part.tokens
	}
}

// prefix returns the number and the tokens of the leading parts that are held.
func (c *partCache) prefix(salt string, parts []Part) (held, tokens int) {
	for _, part := range parts {
		if _, ok := c.parts[partKey{salt, part.ID}]; !ok {
			break
		}
		held++
		tokens += part.Tokens
	}
	return held, tokens
}
