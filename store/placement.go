package store

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabishunt/wasabishunt/piece"
)

const (
	// Copies is the number of stores that should hold a piece. A store refills only pieces that it should hold itself.
	Copies = 1
	// MaxCopies is the number of stores that may hold a piece. The second one holds the piece while the first is
	// unavailable, and a second copy of a valuable piece.
	MaxCopies = 2
)

// Holders returns the stores that should hold a piece: the first Copies of its Candidates.
func Holders(name piece.Name, stores []string) []string {
	candidates := Candidates(name, stores)
	return candidates[:min(Copies, len(candidates))]
}

// Candidates returns the first MaxCopies stores in the order of their rendezvous hashes for the piece. All processes
// compute the same order from the same names. The loss of a store moves only the pieces of that store.
func Candidates(name piece.Name, stores []string) []string {
	type ranked struct {
		store string
		hash  uint64
	}
	list := make([]ranked, 0, len(stores))
	for _, store := range stores {
		list = append(list, ranked{store, rendezvous(name, store)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if a.hash != b.hash {
			if a.hash > b.hash {
				return -1
			}
			return 1
		}
		return strings.Compare(a.store, b.store)
	})
	candidates := make([]string, 0, MaxCopies)
	for _, r := range list[:min(MaxCopies, len(list))] {
		candidates = append(candidates, r.store)
	}
	return candidates
}

func rendezvous(name piece.Name, store string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(name[:])
	_, _ = digest.WriteString(store)
	return digest.Sum64()
}
