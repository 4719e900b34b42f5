package gateway

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against forwarding a part of an event, and against bytes lost or repeated at read boundaries.
func TestEventsAreWholeWhateverTheReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"id: 7\n", "data: a\n", "\n", "\n\n", ": c\n", "x"}), 0, 30).Draw(t, "text"), "")
		var s eventSplitter
		got := ""
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			complete, err := s.add([]byte(rest[:n]))
			require.NoError(t, err)
			require.True(t, len(complete) == 0 || strings.HasSuffix(string(complete), "\n\n"))
			got += string(complete)
			rest = rest[n:]
		}
		require.Equal(t, text, got+string(s.rest()))
	})
}

// Guards against events with CR LF line ends not being recognized, which would block the whole stream.
func TestEventsWithOtherLineEnds(t *testing.T) {
	var s eventSplitter
	complete, err := s.add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\r\n"))
	require.NoError(t, err)
	require.Equal(t, "id: 1\r\ndata: a\r\n\r\n", string(complete))
	require.Equal(t, "1", s.lastID)
}
