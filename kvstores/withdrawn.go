package kvstores

import (
	"time"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// withdrawnFor is how long a removed part counts as withdrawn: longer than the reader takes to free it.
const withdrawnFor = withdrawDelay + 4*time.Second

// recordWithdrawn records parts that the reader removed, and forgets those removed long ago.
func (s *store) recordWithdrawn(parts []*nodepb.PlacedPart, now time.Time) {
	if len(parts) == 0 {
		return
	}
	if s.withdrawn == nil {
		s.withdrawn = map[Part]time.Time{}
	}
	for part, at := range s.withdrawn {
		if now.Sub(at) > withdrawnFor {
			delete(s.withdrawn, part)
		}
	}
	for _, part := range parts {
		s.withdrawn[Part{part.GetSalt(), part.GetId()}] = now
	}
}

// Withdrawn returns the parts of a store that the reader withdrew a short time ago. A new reader must not use them: the
// former one may still free them.
func (d *Directory) Withdrawn(address string) []Part {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.stores[address]
	if s == nil {
		return nil
	}
	var out []Part
	for part, at := range s.withdrawn {
		if d.now().Sub(at) <= withdrawnFor {
			out = append(out, part)
		}
	}
	return out
}
