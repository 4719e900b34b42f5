package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Guards against a process that stands still because nobody reads its log, and against lines that vanish unnoticed.
func TestSinkNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	reader, writer := io.Pipe()
	sink := NewSink(writer, 8)
	log := NewTo(sink, "node", "n1", zapcore.InfoLevel)
	started := time.Now()
	for range 1000 {
		log.Info("event")
	}
	require.Less(t, time.Since(started), time.Second)
	require.Greater(t, sink.Dropped(), int64(900))
	done := make(chan string)
	go func() {
		var out bytes.Buffer
		_, _ = io.Copy(&out, reader)
		done <- out.String()
	}()
	sink.Close()
	require.NoError(t, writer.Close())
	require.Contains(t, <-done, `event="log lines dropped" count=`)
}

// Guards against lines without the process, the event or a field.
func TestLinesAreKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	sink := NewSink(&out, 8)
	NewTo(sink, "node", "n1", zapcore.InfoLevel).Info("two words", zap.Int("count", 3))
	sink.Close()
	line := strings.TrimSpace(out.String())
	for _, part := range []string{"level=info", `event="two words"`, "role=node", "process=n1", "count=3"} {
		require.Contains(t, line, part)
	}
}
