package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/wasabishunt/wasabishunt/settings"
)

func parse(flags ...string) (bool, string) {
	var stderr bytes.Buffer
	ok, _ := settings.Parse(&arguments{}, "wasabishunt-store", flags, &bytes.Buffer{}, &stderr)
	return ok, stderr.String()
}

// Guards against a store that starts with settings it cannot work with, and against faults reported one at a time.
func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	ok, report := parse("--max-transfer-bytes", "1", "--refill-max-fill", "2", "--listen", "localhost:1")
	assert.False(t, ok)
	for _, name := range []string{"process-id", "store", "zone", "data-dir", "control", "listen", "max-transfer-bytes", "refill-max-fill"} {
		assert.Contains(t, report, name+":")
	}
}

// Guards against environment variables that are not read.
func TestSettingsComeFromTheEnvironment(t *testing.T) {
	for name, value := range map[string]string{
		"PROCESS_ID": "p", "STORE": "a", "ZONE": "z", "DATA_DIR": "/d", "CONTROL": "127.0.0.1:1,127.0.0.1:2",
	} {
		t.Setenv("WASABISHUNT_STORE_"+name, value)
	}
	ok, report := parse()
	assert.True(t, ok, report)
}
