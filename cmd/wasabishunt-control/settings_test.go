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

func parse(flags ...string) (int, string) {
	var stderr bytes.Buffer
	_, code := settings.Parse(&arguments{}, "wasabishunt-control", flags, &bytes.Buffer{}, &stderr)
	return code, stderr.String()
}

// Guards against a member that starts with invalid settings, and against problems that are reported one at a time.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	code, report := parse("--listen", "localhost:1", "--status", "127.0.0.1:99999", "--bootstrap", "x", "--vm-list-url", "ftp://a",
		"--max-pending", "0", "--dead-after", "3", "--source-ip", "x", "--operators-file", "/does/not/exist")
	assert.Equal(t, settings.ExitUsage, code)
	for _, name := range []string{
		"member-id", "group", "zone", "data-dir", "listen", "status", "bootstrap", "vm-list-url", "max-pending", "dead-after",
		"source-ip", "operators-file",
	} {
		assert.Contains(t, report, "  --"+name+": ")
	}
}

// Guards against valid settings that are rejected.
func TestValidSettingsAreAccepted(t *testing.T) {
	operators := filepath.Join(t.TempDir(), "operators")
	require.NoError(t, os.WriteFile(operators, []byte("sari 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08\n"), 0o600))
	code, report := parse("--member-id", "1", "--group", "g", "--zone", "zone-a", "--data-dir", "/d", "--listen", "127.0.0.1:1",
		"--status", "127.0.0.1:2", "--operators-file", operators, "--bootstrap", "1=127.0.0.1:1=zone-a")
	assert.Zero(t, code, report)
}
