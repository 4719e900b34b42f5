package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against forwarding a part of an event, against holding a complete one back, and against bytes lost or repeated at read boundaries.
func TestEventsAreWholeWhateverTheReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom([]string{"id: 7\n", "data: a\n", "\n", "\n\n", "\r", "\r\n", ": c\n", "x"}), 0, 30).Draw(t, "text"), "")
		var s eventSplitter
		got := ""
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			complete, err := s.add([]byte(rest[:n]))
			require.NoError(t, err)
			require.True(t, len(complete) == 0 || strings.HasSuffix(string(complete), "\n\n") || strings.HasSuffix(string(complete), "\n\r\n"))
			require.NotContains(t, string(s.rest()), "\n\n")
			require.NotContains(t, string(s.rest()), "\n\r\n")
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

// Guards against a long event that costs the square of its length: the searches in 60 streams with such events took
// 3.2 s of CPU time (arm64).
func TestLongEventTakesLinearTime(t *testing.T) {
	const parts = 1500
	var s eventSplitter
	part := bytes.Repeat([]byte("x"), streamBuffer)
	began := time.Now()
	for range parts {
		_, err := s.add(part)
		require.NoError(t, err)
	}
	require.Less(t, time.Since(began), time.Second)
	complete, err := s.add([]byte("\n\n"))
	require.NoError(t, err)
	require.Len(t, complete, parts*streamBuffer+2)
}
