package fleetview

import (
	"sync"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// Placements is the list of parts that stores hold, kept by the leader as a sequence of changes. Its lock is a leaf.
type Placements struct {
	mu      sync.Mutex
	changes []*nodepb.StorePlacement
	// base is the revision of the first change; a watcher that is behind it starts anew.
	base    uint64
	changed chan struct{}
}

// NewPlacements returns an empty list.
func NewPlacements() *Placements { return &Placements{changed: make(chan struct{}), base: 1} }

// Changed returns a channel that is closed at the next change.
func (p *Placements) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// Append adds a change.
func (p *Placements) Append(change *nodepb.StorePlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, change)
	close(p.changed)
	p.changed = make(chan struct{})
}

// since returns the changes that a stream has not sent.
func (p *Placements) since(sent *position) *nodepb.Placements {
	p.mu.Lock()
	defer p.mu.Unlock()
	newest := p.base + uint64(len(p.changes)) - 1
	if sent.placements == newest && sent.started {
		return nil
	}
	from := sent.placements
	if !sent.started {
		from = p.base - 1
	}
	sent.placements, sent.started = newest, true
	return &nodepb.Placements{Revision: newest, Stores: p.changes[from+1-p.base:]}
}
