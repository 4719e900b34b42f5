package kvstores

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// freeUnused frees parts that have been incomplete for some time, and parts whose salt no request uses any more.
func (c *Coordinator) freeUnused(ctx context.Context, s *storeState, listing Listing) {
	now := time.Now()
	incomplete := map[Part]time.Time{}
	var free []Part
	for _, part := range listing.Incomplete {
		since, found := s.incomplete[part]
		if !found {
			since = now
		}
		incomplete[part] = since
		if now.Sub(since) > incompleteTimeout {
			free = append(free, part)
		}
	}
	s.incomplete = incomplete
	for part := range s.parts {
		if c.isUnused(part.Salt, now) {
			free = append(free, part)
		}
	}
	c.free(ctx, s, free)
}

// free removes parts from a store and returns those of the calls that succeeded.
func (c *Coordinator) free(ctx context.Context, s *storeState, parts []Part) (freed []Part) {
	for len(freed) < len(parts) {
		batch := parts[len(freed):min(len(parts), len(freed)+freeBatch)]
		untilMs := int64(0)
		if clock := c.EngineClock(); clock > 0 {
			untilMs = int64(clock) + freeValidity.Milliseconds()
		}
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		err := c.Client.Free(callCtx, s.address, s.epoch, untilMs, batch)
		cancel()
		c.Log.Info("freed parts of a store", zap.String("store", s.address), zap.Int("parts", len(batch)), zap.Error(err))
		if err != nil {
			break
		}
		freed = append(freed, batch...)
	}
	return freed
}

// isUnused reports whether a salt has been out of use for longer than a fetch takes.
func (c *Coordinator) isUnused(salt string, now time.Time) bool {
	if c.IsSaltUsable == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.IsSaltUsable(salt) {
		delete(c.unusedSince, salt)
		return false
	}
	if c.unusedSince == nil {
		c.unusedSince = map[string]time.Time{}
	}
	since, found := c.unusedSince[salt]
	if !found {
		since = now
		c.unusedSince[salt] = now
	}
	return now.Sub(since) >= transferDrain
}
