package fleetview

import (
	"slices"
	"sync"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

const (
	// maxChanges is the length at which the oldest of the changes are replaced by the resulting state.
	maxChanges = 4096
	// keptChanges are kept then, for streams that are a few changes behind: the whole state of large stores, sent to all nodes at once, fills the
	// leader's link for seconds.
	keptChanges = maxChanges / 2
)

// Placements is the list of parts held by stores, which the leader maintains as a sequence of changes. Placements.mu is a
// leaf lock: no other lock is acquired while it is held.
type Placements struct {
	mu sync.Mutex
	// changes are the newest ones, the last of which has the revision newest.
	changes []*nodepb.StorePlacement
	newest  uint64
	// state is the result of all changes up to the revision stateAt. A stream that is behind the first of changes gets it and the changes
	// since.
	state   []*nodepb.StorePlacement
	stateAt uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewPlacements returns an empty list.
func NewPlacements() *Placements { return &Placements{changed: make(chan struct{})} }

// Changed returns a channel that is closed at the next change.
func (p *Placements) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// Append adds a change. At maxChanges the state becomes the result of full, which returns the whole state including the change, as changes
// that begin with a reset of each store.
func (p *Placements) Append(change *nodepb.StorePlacement, full func() []*nodepb.StorePlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, change)
	p.newest++
	if len(p.changes) > maxChanges {
		p.state, p.stateAt = full(), p.newest
		p.changes = slices.Clone(p.changes[len(p.changes)-keptChanges:])
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Clear drops all changes. It is called on a new leader, which reads all stores again.
func (p *Placements) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	// No stream has this revision, so each begins anew.
	p.newest++
	p.changes, p.state, p.stateAt = nil, nil, p.newest
}

// since returns the changes that were not yet sent on a stream and records them as sent.
func (p *Placements) since(sent *position) *nodepb.Placements {
	p.mu.Lock()
	defer p.mu.Unlock()
	from, began := sent.placements, sent.started
	if from == p.newest && began {
		return nil
	}
	sent.placements, sent.started = p.newest, true
	out := &nodepb.Placements{Revision: p.newest}
	if missing := p.newest - from; began && missing <= uint64(len(p.changes)) {
		out.Stores = p.changes[uint64(len(p.changes))-missing:]
		return out
	}
	out.Stores = slices.Concat(p.state, p.changes[uint64(len(p.changes))-(p.newest-p.stateAt):])
	return out
}
