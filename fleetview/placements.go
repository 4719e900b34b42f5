package fleetview

import (
	"sync"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// maxChanges is the length at which the sequence of changes is replaced by the resulting state.
const maxChanges = 4096

// Placements is the list of parts held by stores, which the leader maintains as a sequence of changes. Placements.mu is a
// leaf lock: no other lock is acquired while it is held.
type Placements struct {
	mu      sync.Mutex
	changes []*nodepb.StorePlacement
	// first is the revision of the first change; a stream that is behind it gets the whole sequence.
	first uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewPlacements returns an empty list.
func NewPlacements() *Placements { return &Placements{changed: make(chan struct{}), first: 1} }

// Changed returns a channel that is closed at the next change.
func (p *Placements) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// Append adds a change. If the sequence has reached maxChanges, it is replaced by the result of full, which returns the
// whole state including the change, as changes that begin with a reset of each store.
func (p *Placements) Append(change *nodepb.StorePlacement, full func() []*nodepb.StorePlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.changes) >= maxChanges {
		p.first += uint64(len(p.changes))
		p.changes = full()
	} else {
		p.changes = append(p.changes, change)
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Clear drops all changes. It is called on a new leader, which reads all stores again.
func (p *Placements) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.first += uint64(len(p.changes)) + 1
	p.changes = nil
}

// since returns the changes that were not yet sent on a stream and records them as sent.
func (p *Placements) since(sent *position) *nodepb.Placements {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := p.first + uint64(len(p.changes)) - 1
	from := sent.placements
	if !sent.started || from < p.first-1 {
		from = p.first - 1
	}
	if from == newest && sent.started {
		return nil
	}
	sent.placements, sent.started = newest, true
	return &nodepb.Placements{Revision: newest, Stores: p.changes[from+1-p.first:]}
}
