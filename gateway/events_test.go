package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against half an event that is passed on, and against bytes lost or repeated at the borders of reads.
func TestEventsAreWholeWhateverTheReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"id: 7\n", "data: a\n", "\n", "\n\n", ": c\n", "x"}), 0, 30).Draw(t, "text"), "")
		var s eventSplitter
		got := ""
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			whole := string(s.add([]byte(rest[:n])))
			require.True(t, whole == "" || strings.HasSuffix(whole, "\n\n"))
			got += whole
			rest = rest[n:]
		}
		require.Equal(t, text, got+string(s.rest()))
	})
}
