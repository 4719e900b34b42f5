package kv

import (
	"context"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/piece"
)

// maxAsked limits the pieces of one question to a store.
const maxAsked = 4096

// source is a store with its answer for the pieces of one request.
type source struct {
	target
	fetchplan.Source
}

// sources asks the stores that may hold the missing pieces what they hold. All are asked at once, within one time limit.
func (m *Mover) sources(ctx context.Context, r *Request, cached int) []source {
	if m.deps.Stores == nil {
		return nil
	}
	asking, cancel := context.WithTimeout(ctx, m.options.AskTimeout)
	defer cancel()
	var mu sync.Mutex
	var list []source
	var group sync.WaitGroup
	all := m.targets()
	m.forget(all)
	for _, t := range all {
		asked := m.asked(t, r, cached, all)
		if len(asked) == 0 || !m.health.usable(t.address, m.deps.Clock.Now()) {
			continue
		}
		group.Go(func() {
			s, err := m.ask(asking, t, r, asked)
			if err == nil {
				m.health.succeeded(t.address)
				mu.Lock()
				defer mu.Unlock()
				list = append(list, s)
				return
			}
			// A caller that has gone says nothing about the store.
			if ctx.Err() == nil {
				m.unreachable(t)
			}
		})
	}
	group.Wait()
	return list
}

// forget drops what is known of stores that the set no longer names.
func (m *Mover) forget(all []target) {
	known := map[string]bool{}
	for _, t := range all {
		known[t.address] = true
	}
	m.health.keep(known)
}

// unreachable notes a store that did not answer. It may have lost its pieces, so they are offered again: to another store
// until this one answers.
func (m *Mover) unreachable(t target) {
	m.health.failed(t.address, m.deps.Clock.Now())
	m.sent.forget(t.name)
}

// asked returns the positions of the missing pieces that a store may hold.
func (m *Mover) asked(t target, r *Request, cached int, all []target) []int {
	var positions []int
	for i := cached; i < len(r.Pieces) && len(positions) < maxAsked; i++ {
		for _, holder := range candidates(r.Pieces[i], all) {
			if holder.name == t.name {
				positions = append(positions, i)
			}
		}
	}
	return positions
}

func (m *Mover) ask(ctx context.Context, t target, r *Request, positions []int) (source, error) {
	names := make([]piece.Name, len(positions))
	for n, i := range positions {
		names[n] = r.Pieces[i]
	}
	started := m.deps.Clock.Now()
	holding, err := m.deps.Stores.Has(ctx, t.address, r.Scope.Account, r.Rank, names)
	if err != nil {
		return source{}, err
	}
	now := m.deps.Clock.Now()
	has := make([]bool, len(r.Pieces))
	for n, i := range positions {
		has[i] = holding.Held[n]
		if !has[i] {
			m.sent.lacks(t.name, r.Pieces[i])
			m.counts.missed.Inc(1)
		}
	}
	return source{t, fetchplan.Source{
		Name: t.name, Has: has, Wait: holding.LinkWait, BytesPerSecond: m.bandwidth(t, holding.BytesPerSecond, now),
		Delay: min(now.Sub(started), maxDelay),
	}}, nil
}

// maxDelay bounds the round trip that a plan counts on; a longer one comes from a busy machine.
const maxDelay = 20 * time.Millisecond
