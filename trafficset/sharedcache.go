package trafficset

import (
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/zeebo/blake3"
)

// sharedCacheBytes is the length of the hash of the isolated accounts.
const sharedCacheBytes = 8

// SharedCache names the cache that the accounts share that are not isolated. Sets with the same isolated accounts have the
// same name: what lies under it was made by accounts that are not isolated in any of these sets. It is empty without isolated
// accounts.
func (s *Set) SharedCache() string { return s.sharedCache }

func nameSharedCache(accounts []Account) string {
	var isolated []string
	for i := range accounts {
		if accounts[i].Isolated {
			isolated = append(isolated, accounts[i].Name)
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	var encoded []byte
	for _, name := range slices.Compact(isolated) {
		encoded = append(binary.AppendUvarint(encoded, uint64(len(name))), name...)
	}
	sum := blake3.Sum256(encoded)
	return hex.EncodeToString(sum[:sharedCacheBytes])
}
