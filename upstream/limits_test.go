package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstream/engine"
	"github.com/wasabishunt/wasabishunt/upstream/service"
	"github.com/wasabishunt/wasabishunt/upstream/vmlist"
	"github.com/wasabishunt/wasabishunt/upstream/weightstore"
)

// serveAnswer answers each request on a connection of its own with the same bytes.
func serveAnswer(t *testing.T, answer string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, answer)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// calls returns one call of each client of upstreams.
func calls() map[string]func(ctx context.Context, address string) error {
	return map[string]func(ctx context.Context, address string) error{
		"engine": func(ctx context.Context, address string) error {
			client := engine.NewHTTP(address, engine.HTTPOptions{})
			defer client.Close()
			_, err := client.Load(ctx)
			return err
		},
		"service": func(ctx context.Context, address string) error {
			conn, err := service.New(address, service.Options{}).Open(ctx)
			if err != nil {
				return err
			}
			defer conn.Close()
			_, err = conn.Call(ctx, service.Request{Method: http.MethodGet, Path: "/"})
			return err
		},
		"VM list": func(ctx context.Context, address string) error {
			reader := vmlist.NewReader("http://"+address+"/", 0)
			defer reader.Close()
			_, err := reader.Read(ctx)
			return err
		},
		"weight store": func(ctx context.Context, address string) error {
			client := weightstore.New(address, weightstore.Options{})
			defer client.Close()
			return client.Fetch(ctx, "v1")
		},
	}
}

// Guards against a faulty upstream that sends a head without end: what the clients keep of it exhausts the memory of the process.
func TestLongHeadsAreRefused(t *testing.T) {
	const body = `{}`
	answer := func(padding int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX: %s\r\n\r\n%s", len(body), strings.Repeat("x", padding), body)
	}
	for name, call := range calls() {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			require.NoError(t, call(ctx, serveAnswer(t, answer(1000))))
			require.Error(t, call(ctx, serveAnswer(t, answer(1<<20))))
			interim := strings.Repeat("HTTP/1.1 103 Early Hints\r\nX: "+strings.Repeat("x", 10_000)+"\r\n\r\n", 100)
			require.Error(t, call(ctx, serveAnswer(t, interim+answer(0))), "heads of interim answers")
		})
	}
}

// Guards against an answer that an upstream broke off, in its head or body, and that is taken for complete.
func TestCutAnswersAreErrors(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 4\r\n\r\n{  }"
	for name, call := range calls() {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			require.NoError(t, call(ctx, serveAnswer(t, answer)))
			for end := range len(answer) {
				require.Error(t, call(ctx, serveAnswer(t, answer[:end])), "cut after %q", answer[:end])
			}
		})
	}
}
