package store

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabishunt/wasabishunt/piece"
)

// Copies is the number of stores that may hold a piece.
const Copies = 2

// Holders returns the first Copies stores by rendezvous hash of the piece name, in order. Each process computes the
// same order from the same names; losing a store moves only its own pieces.
func Holders(name piece.Name, stores []string) []string {
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
	holders := make([]string, 0, Copies)
	for _, r := range list[:min(Copies, len(list))] {
		holders = append(holders, r.store)
	}
	return holders
}

func rendezvous(name piece.Name, store string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(name[:])
	_, _ = digest.WriteString(store)
	return digest.Sum64()
}
