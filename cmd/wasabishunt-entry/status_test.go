package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/internal/daemontest"
)

// Guards against a status address that is not served, and a readyz that is true without a confirmed object set.
func TestStatusAddressReportsReadiness(t *testing.T) {
	key := filepath.Join(t.TempDir(), "piece.key")
	require.NoError(t, os.WriteFile(key, make([]byte, 32), 0o600))
	daemontest.RequireStatusEndpoints(t, &arguments{}, wire, serve, "--piece-key-file", key)
}
