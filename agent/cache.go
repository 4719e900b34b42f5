package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/piece"
)

// cacheContents is what the agent believes the engine's prefix cache holds: the engine's events, which arrive
// late and with gaps, and the pieces that runs have computed or that were imported. It serves estimates only; no correctness depends on it.
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

// PrefixPieces counts the leading pieces that are believed to be cached.
func (c *cacheContents) PrefixPieces(names []piece.Name) int {
	return int(c.prefixTokens(names) / piece.TokensPerPiece)
}

// Stored notes a piece that the engine holds now.
func (c *cacheContents) Stored(name piece.Name) { c.set(name.String(), true) }

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
			if !event.Stored {
				a.pieces.Evicted(event.Piece)
			}
			last = max(last, event.Sequence)
		}
	}
}
