package engine

import (
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/zeebo/blake3"
)

// words are the readable parts of generated tokens, selected by a hash.
var words = []string{
	"glaze", "kiln", "order", "stock", "slot", "table", "lamp", "shelf", "clay", "frame", "paint", "valve",
	"pump", "seal", "panel", "hinge",
}

// corruptPrefix changes the answers of runs that used KV blocks with other content than the piece's, so that checkers notice.
const corruptPrefix = "corrupt\x00"

// Token returns the token at an index of the answer. It depends only on the arguments, so a checker can compute it.
func Token(prompt, model, weightVersion string, index int64) string {
	return newAnswer(prompt, model, weightVersion).token(index)
}

// Answer returns all tokens of the answer to a prompt.
func Answer(prompt, model, weightVersion string, maxTokens int64) []string {
	answer := newAnswer(prompt, model, weightVersion)
	tokens := make([]string, maxTokens)
	for i := range tokens {
		tokens[i] = answer.token(int64(i))
	}
	return tokens
}

// answer is the hash of prompt, model and weight version, which determines all tokens of one answer.
type answer [32]byte

func newAnswer(prompt, model, weightVersion string) answer {
	hasher := blake3.New()
	for _, field := range []string{prompt, model, weightVersion} {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hasher.Write(length[:])
		_, _ = hasher.WriteString(field)
	}
	var a answer
	hasher.Sum(a[:0])
	return a
}

func (a answer) token(index int64) string {
	var input [40]byte
	copy(input[:], a[:])
	binary.LittleEndian.PutUint64(input[32:], uint64(index))
	sum := blake3.Sum256(input[:])
	return words[int(sum[0])%len(words)] + "-" + hex.EncodeToString(sum[1:4]) + " "
}

// PromptHash returns the hash that identifies a prompt in the run log.
func PromptHash(prompt string) string {
	sum := blake3.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:16])
}

// KVBody returns the KV blocks of a piece: a pseudo-random stream seeded by the weight version that computed them and by the
// piece name, so that blocks of another version differ even under the same name.
func KVBody(weightVersion, name string, length int64) io.Reader {
	hasher := blake3.New()
	_, _ = hasher.WriteString("kv\x00" + weightVersion + "\x00" + name)
	return io.LimitReader(hasher.Digest(), length)
}
