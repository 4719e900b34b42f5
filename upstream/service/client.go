// Package service implements the client of the plain service next to an agent. Each call is sent at most once, on a
// separate connection that is opened beforehand, so that a failed connect proves that nothing was sent.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/duplexconn"
	"github.com/wasabishunt/wasabishunt/upstream"
)

// BookingIDHeader is the header with the id of the booking that a call belongs to.
const BookingIDHeader = "Wasabishunt-Booking-Id"

// Options limits a Client.
type Options struct {
	// ConnectTimeout limits connection set-up; default 1 s.
	ConnectTimeout time.Duration
	// MaxBodyBytes limits the body of an answer; default 1 MiB, well below the 4 MiB that a drpc client accepts.
	MaxBodyBytes int64
}

// Client calls one service at an IP address and port.
type Client struct {
	address string
	options Options
}

// New returns a Client.
func New(address string, options Options) *Client {
	if options.ConnectTimeout == 0 {
		options.ConnectTimeout = time.Second
	}
	if options.MaxBodyBytes == 0 {
		options.MaxBodyBytes = 1 << 20
	}
	return &Client{address: address, options: options}
}

// Request is one call.
type Request struct {
	Method string
	// Path includes the query.
	Path    string
	Headers map[string]string
	Body    []byte
}

// Response is the service's answer.
type Response struct {
	Status  int
	Headers map[string]string
	Body    []byte
}

// Connection is a new connection for a single call.
type Connection struct {
	client *Client
	raw    net.Conn
	used   atomic.Bool
}

// Open connects to the service. An error has the execution not_run, because no byte of a call has been sent.
func (c *Client) Open(ctx context.Context) (*Connection, error) {
	dialer := net.Dialer{Timeout: c.options.ConnectTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, failure.Wrap(err, failure.NoUpstream, failure.NotRun, "connect to the service")
	}
	return &Connection{client: c, raw: duplexconn.New(raw)}, nil
}

// Close closes the connection.
func (c *Connection) Close() { _ = c.raw.Close() }

// forbiddenHeaders are not sent to the service. net/http treats the first two as permission to repeat a request; the others
// belong to the connection or to the caller's account.
var forbiddenHeaders = map[string]bool{
	"Idempotency-Key": true, "X-Idempotency-Key": true, "Authorization": true, "Connection": true, "Host": true,
	"Content-Length": true, "Transfer-Encoding": true, "Upgrade": true, "Te": true, "Trailer": true, "Expect": true,
}

// Call sends the single call of this connection. An error after the first byte may have been sent has an unknown outcome.
func (c *Connection) Call(ctx context.Context, request Request) (Response, error) {
	if c.used.Swap(true) {
		return Response{}, failure.New(failure.Internal, failure.NotRun, "service connection was used for a call before")
	}
	out, err := c.build(ctx, request)
	if err != nil {
		return Response{}, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "build the call")
	}
	transport := &http.Transport{
		DialContext:            c.dialOnce(),
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxConnsPerHost:        1,
		MaxResponseHeaderBytes: upstream.MaxHeadBytes,
	}
	response, err := transport.RoundTrip(out)
	if err != nil {
		return Response{}, failure.Wrap(err, failure.OutcomeUnknown, failure.Unknown, "calling the service failed")
	}
	defer func() { _ = response.Body.Close() }()
	return c.read(response)
}

// build returns a request that the transport cannot repeat, because the body is not replayable and GetBody is nil.
func (c *Connection) build(ctx context.Context, request Request) (*http.Request, error) {
	if !strings.HasPrefix(request.Path, "/") {
		return nil, failure.New(failure.InvalidRequest, failure.NotRun, "path %q does not start with a slash", request.Path)
	}
	var body io.Reader
	if len(request.Body) > 0 {
		body = io.NopCloser(bytes.NewReader(request.Body))
	}
	out, err := http.NewRequestWithContext(ctx, request.Method, "http://"+c.client.address+request.Path, body)
	if err != nil {
		return nil, err
	}
	out.ContentLength = int64(len(request.Body))
	out.GetBody = nil
	for name, value := range request.Headers {
		if !forbiddenHeaders[http.CanonicalHeaderKey(name)] {
			out.Header.Set(name, value)
		}
	}
	return out, nil
}

// errSecondDial is returned if the transport tries to send the call again.
var errSecondDial = errors.New("second connection for a single call")

// dialOnce returns a dial function that returns the open connection the first time and an error afterwards.
func (c *Connection) dialOnce() func(context.Context, string, string) (net.Conn, error) {
	var dialed atomic.Bool
	return func(context.Context, string, string) (net.Conn, error) {
		if dialed.Swap(true) {
			return nil, errSecondDial
		}
		return c.raw, nil
	}
}

func (c *Connection) read(response *http.Response) (Response, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, c.client.options.MaxBodyBytes+1))
	if err != nil {
		return Response{}, failure.Wrap(err, failure.OutcomeUnknown, failure.Unknown, "the service's answer was cut off")
	}
	if int64(len(body)) > c.client.options.MaxBodyBytes {
		return Response{}, failure.New(failure.OutcomeUnknown, failure.Ran, "the service's answer exceeds %d bytes", c.client.options.MaxBodyBytes)
	}
	headers := map[string]string{}
	for _, name := range []string{"Content-Type", "Location", "Etag", "Last-Modified", "Retry-After"} {
		if value := response.Header.Get(name); value != "" {
			headers[name] = value
		}
	}
	return Response{Status: response.StatusCode, Headers: headers, Body: body}, nil
}
