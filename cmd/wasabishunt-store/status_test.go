package main

import (
	"testing"

	"github.com/wasabishunt/wasabishunt/internal/daemontest"
)

// Guards against a status address that is not served, and a readyz that is true without a confirmed object set.
func TestStatusAddressReportsReadiness(t *testing.T) {
	daemontest.RequireStatusEndpoints(t, &arguments{}, wire, serve, "--store", "store-a", "--data-dir", t.TempDir())
}
