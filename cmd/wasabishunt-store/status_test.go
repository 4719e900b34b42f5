package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/samber/do/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wasabishunt/wasabishunt/settings"
)

// Guards against a status address that is not served, and a readyz that is true without a confirmed object set.
func TestStatusAddressTellsTheTruth(t *testing.T) {
	args := &arguments{}
	var faults bytes.Buffer
	ok, _ := settings.Parse(args, "program", []string{
		"--process-id", "p", "--zone", "zone-a", "--listen", "127.0.0.1:0", "--status", "127.0.0.1:0",
		"--control", "127.0.0.1:1", "--drain-notice", "1ms", "--store", "store-a", "--data-dir", t.TempDir(),
	}, &faults, &faults)
	require.True(t, ok, faults.String())
	injector := wire(args)
	core, logs := observer.New(zapcore.InfoLevel)
	do.OverrideValue(injector, zap.New(core))
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- serve(ctx, injector, args) }()
	listening := func() []observer.LoggedEntry { return logs.FilterMessage("listening").All() }
	require.Eventually(t, func() bool { return len(listening()) == 1 }, 5*time.Second, time.Millisecond)
	address, ok := listening()[0].ContextMap()["status"].(string)
	require.True(t, ok)
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 503, "/metrics": 200, "/other": 404} {
		response, err := http.Get("http://" + address + path)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, want, response.StatusCode, path)
		if path == "/readyz" {
			assert.Contains(t, string(body), "stale_set: ")
		}
	}
	http.DefaultClient.CloseIdleConnections()
	cancel()
	require.NoError(t, <-served)
}
