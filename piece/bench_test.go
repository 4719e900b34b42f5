package piece

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func benchTokens(count int) []string {
	tokens := make([]string, count)
	for i := range tokens {
		tokens[i] = fmt.Sprint("word", i%1000)
	}
	return tokens
}

// BenchmarkNames measures computing the names of a prompt's pieces. The time per token must not grow with the prompt,
// as it would if each name hashed the whole prefix again.
func BenchmarkNames(b *testing.B) {
	scope := Scope{Account: "account", Model: "model", WeightVersion: "model-v1"}
	for _, count := range []int{2_000, 8_000, 20_000} {
		tokens := benchTokens(count)
		b.Run(fmt.Sprintf("tokens=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				require.Len(b, Names(Key{}, scope, tokens), count/TokensPerPiece)
			}
		})
	}
}

// BenchmarkNamesHMAC measures the same with HMAC-SHA-256, the alternative to keyed blake3.
func BenchmarkNamesHMAC(b *testing.B) {
	tokens := benchTokens(8_000)
	var key Key
	for b.Loop() {
		mac := hmac.New(sha256.New, key[:])
		var names [][]byte
		for i, token := range tokens {
			_, _ = mac.Write(make([]byte, 8))
			_, _ = mac.Write([]byte(token))
			if (i+1)%TokensPerPiece == 0 {
				names = append(names, mac.Sum(nil))
			}
		}
		require.Len(b, names, len(tokens)/TokensPerPiece)
	}
}
