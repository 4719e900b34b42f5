package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/piece"
)

// cacheContents is what the agent believes the engine's prefix cache holds: the engine's events, which arrive
// late and with gaps, corrected by what each run reports. It serves estimates only; no correctness depends on it.
type cacheContents struct {
	mu     sync.Mutex
	pieces map[string]struct{}
	limit  int
}

func newCacheContents(limit int) *cacheContents {
	return &cacheContents{pieces: map[string]struct{}{}, limit: limit}
}

// prefixTokens returns the tokens of the leading pieces that are believed to be cached.
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

func (c *cacheContents) set(name string, stored bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(name, stored)
}

func (c *cacheContents) put(name string, stored bool) {
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

// correct applies a run's report: the pieces within the reported prefix were cached, the next one was not.
func (c *cacheContents) correct(names []piece.Name, cachedTokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	whole := cachedTokens / piece.TokensPerPiece
	for i, name := range names {
		if int64(i) > whole {
			return
		}
		c.put(name.String(), int64(i) < whole)
	}
}

func (c *cacheContents) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.pieces)
}

// followCache reads the engine's cache events. After a gap nothing is known, so the contents start empty again.
func (a *Agent) followCache(ctx context.Context) {
	ticker := time.NewTicker(a.options.CachePoll)
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
			continue
		}
		if gap {
			a.cache.clear()
		}
		for _, event := range events {
			a.cache.set(event.Piece, event.Stored)
			last = max(last, event.Sequence)
		}
	}
}
