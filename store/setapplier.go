package store

import (
	"context"
	"slices"
	"sync"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/objectset"
)

// unknownRankOrder is the order of ranks that are not in the set: after all ranks of the set and before bulk.
const unknownRankOrder = 1 << 20

// SetApplier applies each new object set to a store: account weights, the link's bandwidth, the order of ranks and the
// peers. mu is a leaf lock: no other lock is acquired while it is held.
type SetApplier struct {
	name         string
	peersChanged chan struct{}

	mu     sync.Mutex
	orders map[string]int
	peers  []Peer
}

// NewSetApplier returns a SetApplier for the store with the given name. Order must be passed to the link of the store.
func NewSetApplier(name string) *SetApplier {
	return &SetApplier{name: name, peersChanged: make(chan struct{}, 1), orders: map[string]int{}}
}

// Order returns the order of a rank.
func (a *SetApplier) Order(rank string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if order, ok := a.orders[rank]; ok {
		return order
	}
	return unknownRankOrder
}

// Peers returns the other stores.
func (a *SetApplier) Peers() []Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.peers
}

// PeersChanged returns a channel that receives a signal after the peers changed.
func (a *SetApplier) PeersChanged() <-chan struct{} { return a.peersChanged }

// Run applies each view until ctx ends.
func (a *SetApplier) Run(ctx context.Context, source controlclient.Source, store *Store, link *Link) {
	for {
		changed := source.Changed()
		if view := source.Current(); view.Set != nil {
			a.apply(view, store, link)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (a *SetApplier) apply(view controlclient.View, store *Store, link *Link) {
	weights := map[string]float64{}
	for _, account := range view.Set.Accounts {
		weights[account.Name] = account.Weight
	}
	store.SetWeights(weights)
	for _, s := range view.Set.Stores {
		if s.Name == a.name {
			link.SetRate(float64(s.LinkBytesPerSecond))
		}
	}
	a.update(rankOrders(view.Set), a.peersOf(view))
}

func rankOrders(set *objectset.Set) map[string]int {
	orders := map[string]int{}
	for _, rank := range set.Ranks {
		orders[rank.Name] = rank.Order
	}
	return orders
}

// peersOf lists the other stores of the set, with an empty address for those that are unavailable.
func (a *SetApplier) peersOf(view controlclient.View) []Peer {
	var peers []Peer
	for _, s := range view.Set.Stores {
		if s.Name == a.name {
			continue
		}
		peer := Peer{s.Name, s.Address}
		if unavailable(view, s.Name) {
			peer.Address = ""
		}
		peers = append(peers, peer)
	}
	return peers
}

// unavailable reports whether a store has known processes and all of them are dead or leaving.
func unavailable(view controlclient.View, name string) bool {
	known, live := false, false
	for _, process := range view.Processes {
		if process.Role == Role && process.Serves == name {
			known = true
			live = live || process.State == controlclient.Live
		}
	}
	return known && !live
}

// Role is the role of store processes in the membership table.
const Role = "store"

func (a *SetApplier) update(orders map[string]int, peers []Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Equal(a.peers, peers) {
		select {
		case a.peersChanged <- struct{}{}:
		default:
		}
	}
	a.orders, a.peers = orders, peers
}
