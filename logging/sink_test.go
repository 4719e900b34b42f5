package logging

import (
	"bytes"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Guards against a process that blocks because its log is not read, and against lines that are dropped without being
// counted.
func TestSinkNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	reader, writer := io.Pipe()
	sink := NewSink(writer, 8)
	log := NewWithSink(sink, "node", "n1", zapcore.InfoLevel)
	started := time.Now()
	const lines = 1000
	for range lines {
		log.Info("event")
	}
	require.Less(t, time.Since(started), time.Second)
	done := make(chan string)
	go func() {
		var out bytes.Buffer
		_, _ = io.Copy(&out, reader)
		done <- out.String()
	}()
	sink.Close()
	require.NoError(t, writer.Close())
	out := <-done
	written, reported := strings.Count(out, "event=event"), 0
	for _, count := range regexp.MustCompile(`event="log lines dropped" count=(\d+)`).FindAllStringSubmatch(out, -1) {
		n, err := strconv.Atoi(count[1])
		require.NoError(t, err)
		reported += n
	}
	require.Positive(t, reported)
	// It depends on timing when the sink writes its first line and reports the lines dropped until then.
	require.LessOrEqual(t, written, 8+1, "the queue and the line being written")
	require.EqualValues(t, lines, int64(written+reported)+sink.Dropped(), "each line is written or counted")
}

// Guards against log lines without the process, the event or a field.
func TestLinesAreKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	sink := NewSink(&out, 8)
	NewWithSink(sink, "node", "n1", zapcore.InfoLevel).Info("two words", zap.Int("count", 3))
	sink.Close()
	line := strings.TrimSpace(out.String())
	for _, part := range []string{"level=info", `event="two words"`, "role=node", "process=n1", "count=3"} {
		require.Contains(t, line, part)
	}
}

// Guards against a process that ends with a panic because a task that outlives its stop logs after the log was closed.
func TestLinesAfterCloseAreLost(t *testing.T) {
	t.Parallel()
	var out bytes.Buffer
	s := NewSink(&out, 4)
	_, err := s.Write([]byte("before\n"))
	require.NoError(t, err)
	s.Close()
	for range 10 {
		_, err = s.Write([]byte("after\n"))
		require.NoError(t, err)
	}
	require.Equal(t, "before\n", out.String())
	require.Zero(t, s.Dropped())
}
