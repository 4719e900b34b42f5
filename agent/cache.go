package agent

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/piece"
)

// cacheContents is the agent's estimate of what the engine's prefix cache holds. It follows from the pieces that runs have
// computed or that were imported, and from the engine's events, which arrive late and with gaps. No correctness depends
// on it.
type cacheContents struct {
	clock clock.Clock
	limit int
	// maxEventLag is how late an event may arrive.
	maxEventLag time.Duration

	mu     sync.Mutex
	pieces map[string]struct{}
	// observedAt is when a run or import of the agent last showed a piece as stored or evicted; entries older than
	// maxEventLag are dropped.
	observedAt map[string]time.Time
}

func newCacheContents(clock clock.Clock, limit int, lag time.Duration) *cacheContents {
	return &cacheContents{clock: clock, limit: limit, maxEventLag: lag, pieces: map[string]struct{}{}, observedAt: map[string]time.Time{}}
}

// prefixTokens returns the number of tokens in the leading pieces that are estimated to be cached.
func (c *cacheContents) prefixTokens(names []piece.Name) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var tokens int64
	for _, name := range names {
		if _, ok := c.pieces[name.String()]; !ok {
			break
		}
		tokens += piece.TokensPerPiece
	}
	return tokens
}

// PrefixPieces returns the number of leading pieces that are estimated to be cached.
func (c *cacheContents) PrefixPieces(names []piece.Name) int {
	return int(c.prefixTokens(names) / piece.TokensPerPiece)
}

// RecordStored records that the engine holds a piece now.
func (c *cacheContents) RecordStored(name piece.Name) { c.set(name.String(), true) }

// RecordEvicted records that the engine has evicted a piece.
func (c *cacheContents) RecordEvicted(name string) { c.set(name, false) }

func (c *cacheContents) set(name string, stored bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observedAt[name] = c.clock.Now()
	c.setLocked(name, stored)
}

// applyEvent applies an event of the engine and reports whether it did. An event that may be older than what the agent's
// own runs and imports have shown is ignored: a late eviction would hide that the piece was stored again.
func (c *cacheContents) applyEvent(name string, stored bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if observed, ok := c.observedAt[name]; ok && c.clock.Now().Sub(observed) < c.maxEventLag {
		return false
	}
	c.setLocked(name, stored)
	return true
}

// pruneObserved drops observations older than maxEventLag: events that arrive from now on are newer.
func (c *cacheContents) pruneObserved() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	maps.DeleteFunc(c.observedAt, func(_ string, observed time.Time) bool { return now.Sub(observed) >= c.maxEventLag })
}

// setLocked requires mu. At the limit it drops an arbitrary piece.
func (c *cacheContents) setLocked(name string, stored bool) {
	if !stored {
		delete(c.pieces, name)
		return
	}
	if len(c.pieces) >= c.limit {
		for victim := range c.pieces {
			delete(c.pieces, victim)
			break
		}
	}
	c.pieces[name] = struct{}{}
}

func (c *cacheContents) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.pieces)
	clear(c.observedAt)
}

// pollCacheEvents reads the engine's cache events until ctx ends. After a gap the estimate starts empty again.
func (a *Agent) pollCacheEvents(ctx context.Context) {
	ticker := time.NewTicker(a.options.CachePollInterval)
	defer ticker.Stop()
	var last uint64
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		events, gap, err := a.deps.Engine.CacheEvents(ctx, last)
		if err != nil {
			a.deps.Log.Debug("cache events not read", zap.Error(err))
			// A restarted engine numbers its events from the start, and its cache is empty.
			last = 0
			a.cache.clear()
			continue
		}
		if gap {
			a.cache.clear()
		}
		for _, event := range events {
			if a.cache.applyEvent(event.Piece, event.Stored) && !event.Stored {
				a.pieces.RecordEvicted(event.Piece)
			}
			last = max(last, event.Sequence)
		}
		a.cache.pruneObserved()
	}
}
