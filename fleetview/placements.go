package fleetview

import (
	"sync"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// maxChanges is the length at which the sequence is replaced by the state that it leads to.
const maxChanges = 4096

// Placements is the list of parts that stores hold, kept by the leader as a sequence of changes. Its lock is a leaf.
type Placements struct {
	mu      sync.Mutex
	changes []*nodepb.StorePlacement
	// first is the revision of the first change; a watcher that is behind it starts anew.
	first   uint64
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

// Append adds a change. Full returns the whole state as changes that begin with a reset of each store; it is called
// when the sequence has grown long.
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

// Clear forgets all changes: a node that begins to lead reads the stores anew.
func (p *Placements) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.first += uint64(len(p.changes)) + 1
	p.changes = nil
}

// since returns the changes that a stream has not sent.
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
