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
	bad := []string{"--listen", "host:1", "--piece-key-file", shortKey, "--upstream", "u", "--status", "x", "--workers", "-1", "--drain-limit", "0s", "--source-ip", "x", "--max-queued", "many", "--drain-notice", "5"}
	ok, code := settings.Parse(&arguments{}, "wasabishunt-agent", bad, &stderr, &stderr)
	assert.False(t, ok)
	assert.Equal(t, settings.ExitUsage, code)
	for _, name := range []string{"process-id", "listen", "control", "zone", "piece-key-file", "engine", "status", "workers", "drain-limit", "source-ip", "max-queued", "drain-notice"} {
		assert.Contains(t, stderr.String(), "  --"+name+": ")
	}
	validKey := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(validKey, make([]byte, 32), 0o600))
	ok, _ = settings.Parse(&arguments{}, "wasabishunt-agent", []string{"--process-id", "e", "--listen", "127.0.0.1:1", "--status", "127.0.0.1:3", "--zone", "z", "--control", "127.0.0.1:1", "--upstream", "u", "--engine", "127.0.0.1:2", "--piece-key-file", validKey}, &stderr, &stderr)
	assert.True(t, ok)
}
