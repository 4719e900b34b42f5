// Package operators keeps the hashes of the operators' tokens and reloads them when their file changes.
package operators

import (
	"bufio"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"strings"
	"sync"

	"github.com/wasabishunt/wasabishunt/failure"
)

// List holds the SHA-256 hashes of the operators' tokens by name. The zero value is an empty list. mu is a leaf lock:
// no other lock is acquired while it is held.
type List struct {
	mu     sync.RWMutex
	hashes map[string]string
}

// Load replaces the list by the operators in a file, one per line: a name and the SHA-256 hash of the token in hex.
// Empty lines and lines that start with # are skipped. If there are problems, the list stays unchanged.
func (l *List) Load(file io.Reader) []failure.Problem {
	hashes, problems := parse(file)
	if len(problems) == 0 {
		l.replace(hashes)
	}
	return problems
}

func (l *List) replace(hashes map[string]string) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed = !maps.Equal(l.hashes, hashes)
	l.hashes = hashes
	return changed
}

func parse(file io.Reader) (map[string]string, []failure.Problem) {
	hashes := map[string]string{}
	var problems []failure.Problem
	scanner := bufio.NewScanner(file)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		if problem := addOperator(hashes, strings.Fields(text)); problem != "" {
			problems = append(problems, failure.Problem{Path: fmt.Sprintf("line %d", line), Message: problem})
		}
	}
	if err := scanner.Err(); err != nil {
		problems = append(problems, failure.Problem{Path: "file", Message: err.Error()})
	}
	return hashes, problems
}

func addOperator(hashes map[string]string, fields []string) string {
	if len(fields) != 2 {
		return "must be a name and a SHA-256 hash"
	}
	name, hash := fields[0], strings.ToLower(fields[1])
	if raw, err := hex.DecodeString(hash); err != nil || len(raw) != sha256.Size {
		return "the second field is not a hex SHA-256 hash"
	}
	if hashes[name] != "" {
		return fmt.Sprintf("operator %q is listed twice", name)
	}
	hashes[name] = hash
	return ""
}

// Hash returns the hash of an operator's token.
func (l *List) Hash(name string) (string, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	hash, ok := l.hashes[name]
	return hash, ok
}

// NamesByHash returns the names of the operators by the hashes of their tokens.
func (l *List) NamesByHash() map[string]string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	names := map[string]string{}
	for name, hash := range l.hashes {
		names[hash] = name
	}
	return names
}

// HasToken reports whether a token belongs to any operator. Hashes are compared in constant time.
func (l *List) HasToken(token string) bool {
	sum := sha256.Sum256([]byte(token))
	hash := []byte(hex.EncodeToString(sum[:]))
	held := 0
	for expected := range l.NamesByHash() {
		held |= subtle.ConstantTimeCompare(hash, []byte(expected))
	}
	return held == 1
}
