package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wasabishunt/wasabishunt/settings"
)

func parse(flags ...string) (int, string) {
	var stderr bytes.Buffer
	_, code := settings.Parse(&arguments{}, "wasabishunt-store", flags, &bytes.Buffer{}, &stderr)
	return code, stderr.String()
}

// Guards against a store that starts with invalid settings, and against problems that are reported one at a time.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	code, report := parse("--max-transfer-bytes", "1", "--status", "x:y:z", "--memory-bytes", "much", "--refill-max-fill", "2", "--listen", "localhost:1")
	assert.Equal(t, settings.ExitUsage, code)
	for _, name := range []string{"process-id", "store", "zone", "data-dir", "control", "listen", "status", "memory-bytes", "max-transfer-bytes", "refill-max-fill"} {
		assert.Contains(t, report, "  --"+name+": ")
	}
}

// Guards against environment variables that are ignored.
func TestSettingsComeFromTheEnvironment(t *testing.T) {
	for name, value := range map[string]string{
		"PROCESS_ID": "p", "LISTEN": "127.0.0.1:1", "STATUS": "127.0.0.1:2", "STORE": "a", "ZONE": "z", "DATA_DIR": "/d", "CONTROL": "127.0.0.1:1,127.0.0.1:2",
	} {
		t.Setenv("WASABISHUNT_STORE_"+name, value)
	}
	code, report := parse()
	assert.Zero(t, code, report)
}
