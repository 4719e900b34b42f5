package docscheck

import (
	"go/ast"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a time since an event that is taken from the time of day, which jumps: a leader that could no longer read the instance list vouched
// for its old one for as long as its clock had been set back. Times keep their steady reading in a time.Time.
func TestElapsedTimesUseTheSteadyClock(t *testing.T) {
	uses := map[string]int{}
	visitNodes(t, func(dir string, n ast.Node) {
		if s, ok := n.(*ast.SelectorExpr); ok && s.Sel.Name == "UnixNano" && !strings.HasPrefix(dir, "review") {
			uses[dir]++
		}
	})
	require.Equal(t, map[string]int{
		"cachevalue": 1, // an order
		"peerload":   1, // the first of a sequence of numbers
		"quarantine": 1, // a part of a random id
		"replica":    3, // a seed and the first numbers of two sequences
	}, uses)
}
