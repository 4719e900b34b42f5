package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/settings"
)

// TestSettings guards against settings that are not validated, or whose problems are reported one at a time.
func TestSettings(t *testing.T) {
	var stderr bytes.Buffer
	shortKey := filepath.Join(t.TempDir(), "short")
	require.NoError(t, os.WriteFile(shortKey, []byte("short"), 0o600))
	bad := []string{"--listen", "host:1", "--piece-key-file", shortKey, "--operators-file", "/does/not/exist", "--retry-share", "2", "--max-buffered-bytes", "1", "--drain-limit", "0s", "--source-ip", "x", "--max-attempts", "many", "--no-such-flag"}
	ok, code := settings.Parse(&arguments{}, "wasabishunt-entry", bad, &stderr, &stderr)
	assert.False(t, ok)
	assert.Equal(t, settings.ExitUsage, code)
	for _, name := range []string{"process-id", "listen", "status", "control", "zone", "piece-key-file", "operators-file", "retry-share", "max-buffered-bytes", "drain-limit", "source-ip", "max-attempts", "no-such-flag"} {
		assert.Contains(t, stderr.String(), "  --"+name+": ")
	}
	validKey := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(validKey, make([]byte, 32), 0o600))
	ok, _ = settings.Parse(&arguments{}, "wasabishunt-entry", []string{"--process-id", "e", "--listen", "127.0.0.1:1", "--status", "127.0.0.1:2", "--zone", "z", "--control", "127.0.0.1:1", "--piece-key-file", validKey}, &stderr, &stderr)
	assert.True(t, ok)
}
