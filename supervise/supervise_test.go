package supervise

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"storj.io/drpc"

	"github.com/wasabishunt/wasabishunt/failure"
)

// Guards against a task that ends the whole process when it panics, or is not run again.
func TestLoopGoesOnAfterAPanic(t *testing.T) {
	core, lines := observer.New(zap.ErrorLevel)
	runs := 0
	Loop(context.Background(), zap.New(core), "reader", func() {
		if runs++; runs < 3 {
			var entries []int
			_ = entries[runs]
		}
	})
	require.Equal(t, 3, runs)
	require.Equal(t, 2, lines.Len())
	require.Equal(t, "reader", lines.All()[0].ContextMap()["task"])
	require.Contains(t, lines.All()[0].ContextMap()["stack"], "TestLoopGoesOnAfterAPanic")
}

type panicking struct{}

func (panicking) HandleRPC(drpc.Stream, string) error { panic("malformed") }

// Guards against a call of another node that ends this process by a panic.
func TestCallsThatPanicAreAnsweredWithAnError(t *testing.T) {
	err := Handler{Handler: panicking{}, Log: zap.NewNop()}.HandleRPC(nil, "/node/Watch")
	require.True(t, failure.Is(err, failure.Internal), "%v", err)
}

// Guards against an incomplete response that looks complete after a panic, and against panics that are not logged.
func TestHandlerThatPanicsEndsItsConnection(t *testing.T) {
	core, lines := observer.New(zap.ErrorLevel)
	server := httptest.NewServer(HTTP(zap.New(core), "gateway", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		if r.URL.Path == "/abort" {
			panic(http.ErrAbortHandler)
		}
		panic("unexpected")
	})))
	defer server.Close()
	for _, path := range []string{"/abort", "/panic"} {
		response, err := server.Client().Get(server.URL + path)
		if err == nil {
			_ = response.Body.Close()
		}
		require.Error(t, err)
	}
	require.Equal(t, 1, lines.Len(), "a response that is aborted deliberately is not logged")
}
