// Package daemontest holds checks shared by the tests of several programs.
package daemontest

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

// RequireStatusEndpoints starts a program that reaches no control member, with additional flags, and requires that it
// serves its status address and that /readyz fails while no object set is confirmed.
func RequireStatusEndpoints[A settings.Validator](t *testing.T, args A, wire func(A) do.Injector, serve func(context.Context, do.Injector, A) error, flags ...string) {
	t.Helper()
	var problems bytes.Buffer
	ok, _ := settings.Parse(args, "program", append([]string{
		"--process-id", "p", "--zone", "zone-a", "--listen", "127.0.0.1:0", "--status", "127.0.0.1:0",
		"--control", "127.0.0.1:1", "--drain-notice", "1ms",
	}, flags...), &problems, &problems)
	require.True(t, ok, problems.String())
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
		requireResponse(t, "http://"+address+path, path, want)
	}
	http.DefaultClient.CloseIdleConnections()
	cancel()
	require.NoError(t, <-served)
}

func requireResponse(t *testing.T, url, path string, want int) {
	t.Helper()
	response, err := http.Get(url)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, want, response.StatusCode, path)
	if path == "/readyz" {
		assert.Contains(t, string(body), "stale_set: ")
	}
}
