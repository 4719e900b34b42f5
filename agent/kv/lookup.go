package kv

import (
	"context"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/piece"
)

// maxLookupPieces limits the pieces in one lookup.
const maxLookupPieces = 4096

// source is a store with the result of the lookup for one request.
type source struct {
	target
	fetchplan.Source
}

// sources looks up the pieces after the first cached ones in all stores that may hold them. The lookups run concurrently
// within one time limit.
func (m *Mover) sources(ctx context.Context, r *Request, cached int) []source {
	if m.deps.Stores == nil {
		return nil
	}
	lookupCtx, cancel := context.WithTimeout(ctx, m.options.LookupTimeout)
	defer cancel()
	var mu sync.Mutex
	var list []source
	var group sync.WaitGroup
	targets := m.targets()
	m.dropRemovedStores(targets)
	for _, t := range targets {
		positions := m.lookupPositions(t, r, cached, targets)
		if len(positions) == 0 || !m.health.allow(t.address, m.deps.Clock.Now()) {
			continue
		}
		group.Go(func() {
			s, err := m.lookup(lookupCtx, t, r, positions)
			if err == nil {
				m.health.recordSuccess(t.address)
				mu.Lock()
				defer mu.Unlock()
				list = append(list, s)
				return
			}
			// If the caller has disconnected, the error says nothing about the store.
			if ctx.Err() == nil {
				m.recordUnreachable(t)
			}
		})
	}
	group.Wait()
	return list
}

// dropRemovedStores drops the health of stores that are no longer in the set.
func (m *Mover) dropRemovedStores(targets []target) {
	known := map[string]bool{}
	for _, t := range targets {
		known[t.address] = true
	}
	m.health.retain(known)
}

// recordUnreachable records that a store did not answer. It may have lost its pieces, so they are exported again;
// while it does not answer, another store gets them.
func (m *Mover) recordUnreachable(t target) {
	m.health.recordFailure(t.address, m.deps.Clock.Now())
	m.sent.removeStore(t.name)
}

// lookupPositions returns the positions in the prompt of the pieces after the first cached ones that the store may hold.
func (m *Mover) lookupPositions(t target, r *Request, cached int, targets []target) []int {
	var positions []int
	for i := cached; i < len(r.Pieces) && len(positions) < maxLookupPieces; i++ {
		for _, holder := range candidates(r.Pieces[i], targets) {
			if holder.name == t.name {
				positions = append(positions, i)
			}
		}
	}
	return positions
}

func (m *Mover) lookup(ctx context.Context, t target, r *Request, positions []int) (source, error) {
	names := make([]piece.Name, len(positions))
	for n, i := range positions {
		names[n] = r.Pieces[i]
	}
	started := m.deps.Clock.Now()
	result, err := m.deps.Stores.Has(ctx, t.address, r.Scope.Account, r.Rank, names)
	if err != nil {
		return source{}, err
	}
	now := m.deps.Clock.Now()
	has := make([]bool, len(r.Pieces))
	for n, i := range positions {
		has[i] = result.Held[n]
		if !has[i] {
			m.sent.remove(t.name, r.Pieces[i])
			m.counts.missed.Inc(1)
		}
	}
	return source{t, fetchplan.Source{
		Name: t.name, Has: has, Wait: result.LinkWait, BytesPerSecond: m.bandwidth(t, result.BytesPerSecond, now),
		Delay: min(now.Sub(started), maxDelay),
	}}, nil
}

// maxDelay limits the round-trip time used in a plan: a longer one is due to a busy machine, not to the network.
const maxDelay = 20 * time.Millisecond
