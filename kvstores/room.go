package kvstores

import (
	"context"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// roomInterval is the time between checks of a store's free space.
const roomInterval = 500 * time.Millisecond

// makeRoom evicts parts that have not been used for long from a store that is nearly full: it frees the parts that were
// withdrawn long enough ago, and withdraws further ones. A store that is full saves nothing new, whatever its parts are
// worth.
func (c *Coordinator) makeRoom(ctx context.Context, s *storeState) {
	now := time.Now()
	if c.LastUsed == nil || c.EngineClock() == 0 || now.Sub(s.checked) < roomInterval {
		return
	}
	s.checked = now
	c.freeWithdrawn(ctx, s, now)
	capacity := c.capacity(s.address)
	if missingRoom(lo.Sum(lo.Values(s.parts)), capacity) <= 0 {
		return
	}
	held := make([]heldPart, 0, len(s.parts))
	for part, tokens := range s.parts {
		held = append(held, heldPart{part, tokens, c.lastUsed(s, part)})
	}
	evicted := selectEvictions(held, capacity, now)
	if len(evicted) == 0 {
		return
	}
	c.mu.Lock()
	for _, part := range evicted {
		s.withdrawn[part] = &withdrawal{at: now, tokens: s.parts[part]}
		delete(s.parts, part)
	}
	c.mu.Unlock()
	c.publishWithdrawn(s, evicted)
}

func (c *Coordinator) publishWithdrawn(s *storeState, parts []Part) {
	change := &nodepb.StorePlacement{Address: s.address, Epoch: s.epoch, Accepts: s.accepts}
	for _, part := range parts {
		change.Removed = append(change.Removed, &nodepb.PlacedPart{Salt: part.Salt, Id: part.ID})
	}
	c.Log.Info("parts of a store are withdrawn", zap.String("store", s.address), zap.Int("parts", len(parts)), zap.Int("kept", len(s.parts)))
	c.publish(change)
}

// freeWithdrawn frees the parts that no fetch can still read. Parts that were requested since their withdrawal are used
// again instead, and parts that could not be freed for long are withdrawn anew: nodes, and with them the next leader,
// remember a withdrawal for withdrawnFor only.
func (c *Coordinator) freeWithdrawn(ctx context.Context, s *storeState, now time.Time) {
	if !c.Leads() {
		return
	}
	var due, renewed []Part
	var restored []Event
	for part, w := range s.withdrawn {
		switch {
		case w.freed || now.Sub(w.at) < withdrawDelay:
		case w.tokens > 0 && !w.requested && c.lastUsed(s, part).After(w.at):
			restored = append(restored, Event{Part: part, Tokens: w.tokens})
		case now.Sub(w.at) > withdrawnFor/2+withdrawDelay/2:
			w.at = now
			renewed = append(renewed, part)
		default:
			w.requested = true
			due = append(due, part)
		}
	}
	for _, event := range restored {
		delete(s.withdrawn, event.Part)
	}
	if len(restored) > 0 {
		c.apply(s, restored)
	}
	if len(renewed) > 0 {
		c.publishWithdrawn(s, renewed)
	}
	for _, part := range c.free(ctx, s, due) {
		s.withdrawn[part].freed = true
	}
}

// lastUsed returns when a part was last used; a part not known to have been used counts as used when this node began to
// lead.
func (c *Coordinator) lastUsed(s *storeState, part Part) time.Time {
	if at := c.LastUsed(part); at.After(s.leadsSince) {
		return at
	}
	return s.leadsSince
}

// capacity returns the usable size of a store, 0 if the published set has none at the address.
func (c *Coordinator) capacity(address string) int {
	set := c.Set()
	for i := range set.Services {
		if store := set.Services[i].Store; store != nil && store.Address == address {
			return int(maxFillShare * float64(store.CacheTokens))
		}
	}
	return 0
}
