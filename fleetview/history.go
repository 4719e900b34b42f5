package fleetview

import (
	"slices"
	"sync"

	"github.com/zeebo/blake3"

	"github.com/wasabishunt/wasabishunt/bindelta"
)

const (
	// maxHistoryBytes limits the documents of earlier versions that a core member keeps, in bytes.
	maxHistoryBytes = 4 << 20
	// maxHistorySets limits their number.
	maxHistorySets = 16
)

// setHistory holds the newest published sets of a core member, and their deltas. mu is a leaf lock: no other lock is acquired while it
// is held.
type setHistory struct {
	mu sync.Mutex
	// sets has the newest set last.
	sets []historicSet
	// deltas holds the encoded newest set by the version of its base, 0 for none.
	deltas map[uint64]*setDelta
}

type historicSet struct {
	version  uint64
	document []byte
	hash     [32]byte
}

// setDelta is the newest set, encoded once for all nodes that have the same base.
type setDelta struct {
	once sync.Once
	data []byte
	err  error
}

// record adds a set unless it is older than the newest one.
func (h *setHistory) record(version uint64, document []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k := len(h.sets); k > 0 && h.sets[k-1].version >= version {
		return
	}
	h.sets = append(h.sets, historicSet{version, document, blake3.Sum256(document)})
	h.deltas = map[uint64]*setDelta{}
	total := 0
	for i := len(h.sets) - 1; i >= 0; i-- {
		if total += len(h.sets[i].document); i < len(h.sets)-1 && (total > maxHistoryBytes || len(h.sets)-i > maxHistorySets) {
			h.sets = slices.Clone(h.sets[i+1:])
			return
		}
	}
}

// encode returns the newest set as a delta against the document that a node has, or as a whole if that document is not known here.
func (h *setHistory) encode(haveVersion uint64, haveHash []byte) (newest historicSet, delta []byte, againstHave bool, err error) {
	h.mu.Lock()
	if len(h.sets) == 0 {
		h.mu.Unlock()
		return newest, nil, false, nil
	}
	newest = h.sets[len(h.sets)-1]
	var base historicSet
	if i := slices.IndexFunc(h.sets, func(s historicSet) bool { return s.version == haveVersion && string(s.hash[:]) == string(haveHash) }); i >= 0 {
		base, againstHave = h.sets[i], true
	}
	encoded := h.deltas[base.version]
	if encoded == nil {
		encoded = &setDelta{}
		h.deltas[base.version] = encoded
	}
	h.mu.Unlock()
	encoded.once.Do(func() { encoded.data, encoded.err = bindelta.Encode(base.document, newest.document) })
	return newest, encoded.data, againstHave, encoded.err
}
