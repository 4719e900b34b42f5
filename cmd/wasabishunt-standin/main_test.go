package main

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wasabishunt/wasabishunt/settings"
)

// Guards against a stand-in that starts with invalid settings.
func TestInvalidSettingsAreRefused(t *testing.T) {
	for _, flags := range []string{"", "engine --decode-rate 0", "engine --weight-store localhost:1", "weights --bytes -1", "vmlist --lag -1s"} {
		var stderr bytes.Buffer
		ok, _ := settings.Parse(&options{}, "wasabishunt-standin", strings.Fields(flags), &bytes.Buffer{}, &stderr)
		assert.False(t, ok, flags)
		assert.Contains(t, stderr.String(), "invalid settings", flags)
	}
}

// Guards against a stand-in that cannot be started, reached or stopped.
func TestEachSimulatorServesAndStops(t *testing.T) {
	paths := map[string]string{
		"engine --weight-version v1": "/load", "service": "/standin/executions", "vmlist": "/vms", "weights": "/standin/stats",
	}
	for flags, path := range paths {
		o := &options{}
		ok, _ := settings.Parse(o, "wasabishunt-standin", strings.Fields(flags), &bytes.Buffer{}, &bytes.Buffer{})
		require.True(t, ok, flags)
		core, logs := observer.New(zapcore.InfoLevel)
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan error, 1)
		handler, _, closeSimulator := o.simulator().Build()
		go func() { served <- serve(ctx, o.Listen, handler, closeSimulator, zap.New(core)) }()
		require.Eventually(t, func() bool { return logs.Len() > 0 }, 5*time.Second, time.Millisecond)
		address := logs.All()[0].ContextMap()["address"].(string)
		response, err := http.Get("http://" + address + path)
		require.NoError(t, err, flags)
		_ = response.Body.Close()
		assert.Equal(t, http.StatusOK, response.StatusCode, flags)
		cancel()
		require.NoError(t, <-served)
	}
}
