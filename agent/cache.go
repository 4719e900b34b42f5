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

// cacheContents is what the agent believes the engine's prefix cache holds: the pieces that runs have computed or that
// were imported, and the engine's events, which arrive late and with gaps. It serves estimates only; no correctness
// depends on it.
type cacheContents struct {
	clock clock.Clock
	limit int
	// lag is how late an event may arrive.
	lag time.Duration

	mu     sync.Mutex
	pieces map[string]struct{}
	// own is when the agent itself last knew a piece stored or evicted; entries older than lag are dropped.
	own map[string]time.Time
}

func newCacheContents(clock clock.Clock, limit int, lag time.Duration) *cacheContents {
	return &cacheContents{clock: clock, limit: limit, lag: lag, pieces: map[string]struct{}{}, own: map[string]time.Time{}}
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

// Gone notes a piece that the engine has evicted.
func (c *cacheContents) Gone(name string) { c.set(name, false) }

func (c *cacheContents) set(name string, stored bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own[name] = c.clock.Now()
	c.put(name, stored)
}

// event applies an event of the engine, and reports whether it did. An event may be older than what the agent knows from
// its own runs and imports: applied late, the eviction of a piece would hide that it was stored again.
func (c *cacheContents) event(name string, stored bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.own[name]; ok && c.clock.Now().Sub(known) < c.lag {
		return false
	}
	c.put(name, stored)
	return true
}

// forgetOwn drops what the agent knew longer ago than an event may be late.
func (c *cacheContents) forgetOwn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	maps.DeleteFunc(c.own, func(_ string, known time.Time) bool { return now.Sub(known) >= c.lag })
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
	clear(c.own)
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
			// The numbers of a restarted engine begin again, and its cache is empty.
			last = 0
			a.cache.clear()
			continue
		}
		if gap {
			a.cache.clear()
		}
		for _, event := range events {
			if a.cache.event(event.Piece, event.Stored) && !event.Stored {
				a.pieces.Evicted(event.Piece)
			}
			last = max(last, event.Sequence)
		}
		a.cache.forgetOwn()
	}
}
