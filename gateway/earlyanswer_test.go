package gateway

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/callers"
)

const (
	earlyBody    = 4 << 20
	earlyCallers = 60
)

// Guards against refusals that callers do not get, because the connection is reset while they still send a large body.
func TestRefusalReachesACallerThatStillSends(t *testing.T) {
	s := newSystem(t, good)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &callers.Server{Handler: s.gateway, Log: zap.NewNop()}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	var calls sync.WaitGroup
	for range earlyCallers {
		for path, want := range map[string]int{"/none/": http.StatusNotFound, "/once/": http.StatusRequestEntityTooLarge} {
			calls.Go(func() {
				r, err := http.NewRequest("POST", "http://"+listener.Addr().String()+path, bytes.NewReader(make([]byte, earlyBody)))
				if !assert.NoError(t, err) {
					return
				}
				r.Host = "h"
				r.Header = http.Header{"Id": {"r1"}, "Key": {"k"}, "Deadline": {"1500"}}
				response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
				if !assert.NoError(t, err, path) {
					return
				}
				assert.Equal(t, want, response.StatusCode)
				body, err := io.ReadAll(response.Body)
				assert.NoError(t, err)
				assert.Contains(t, string(body), `"execution":"not_run"`)
			})
		}
	}
	calls.Wait()
}
