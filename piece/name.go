// Package piece defines the names and the file format of stored pieces of KV cache.
package piece

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/zeebo/blake3"
)

// TokensPerPiece is the length of a piece in tokens.
const TokensPerPiece = 2000

// affinityTokens is the length in tokens of the prefix by which a prompt shorter than one piece is routed.
const affinityTokens = 64

// Key is the secret key of the hash. Without it, the piece names of another account cannot be computed.
type Key [32]byte

// Name is the keyed hash of everything that the content of a piece depends on.
type Name [32]byte

func (n Name) String() string { return hex.EncodeToString(n[:]) }

// Scope holds the values other than the tokens that the content and the name of a piece depend on.
type Scope struct {
	Account       string
	Model         string
	WeightVersion string
	Adapter       string
}

// Names returns the names of all complete pieces of a token sequence, in order. Each name covers the whole prefix up to
// the end of its piece.
func Names(key Key, scope Scope, tokens []string) []Name {
	hasher := newHasher(key, scope)
	names := make([]Name, 0, len(tokens)/TokensPerPiece)
	for i, token := range tokens {
		writeField(hasher, token)
		if (i+1)%TokensPerPiece == 0 {
			names = append(names, nameOf(hasher))
		}
	}
	return names
}

// Affinity returns the name by which a prompt is routed: its first piece, or its first tokens if it is shorter.
func Affinity(key Key, scope Scope, tokens []string) Name {
	limit := affinityTokens
	if len(tokens) >= TokensPerPiece {
		limit = TokensPerPiece
	}
	hasher := newHasher(key, scope)
	for _, token := range tokens[:min(limit, len(tokens))] {
		writeField(hasher, token)
	}
	return nameOf(hasher)
}

func newHasher(key Key, scope Scope) *blake3.Hasher {
	hasher, err := blake3.NewKeyed(key[:])
	if err != nil {
		panic(err) // Unreachable: the key has the only length that NewKeyed accepts.
	}
	for _, field := range []string{scope.Account, scope.Model, scope.WeightVersion, scope.Adapter} {
		writeField(hasher, field)
	}
	return hasher
}

// writeField hashes a field with its length before it, so that different lists of fields have different hashes.
func writeField(hasher *blake3.Hasher, field string) {
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = hasher.Write(length[:])
	_, _ = hasher.WriteString(field)
}

func nameOf(hasher *blake3.Hasher) Name {
	var name Name
	hasher.Sum(name[:0])
	return name
}
