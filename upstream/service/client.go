// Package service is the client of the plain service beside an agent. A call travels once, on a connection of
// its own that is opened first: a failed connect proves that nothing was sent, and nothing repeats a call.
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
)

// BookingIDHeader tells the service which booking a call belongs to.
const BookingIDHeader = "Wasabishunt-Booking-Id"

// Options limits a Client.
type Options struct {
	// ConnectTimeout limits connection set-up; default 1 s.
	ConnectTimeout time.Duration
	// MaxBodyBytes limits the body of an answer; default 1 MiB, well under the 4 MiB that a drpc client reads.
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
	// Path with its query.
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

// Connection is a fresh connection for one call.
type Connection struct {
	client *Client
	raw    net.Conn
	used   atomic.Bool
}

// Open connects to the service. An error is not_run: no byte of a call has left.
func (c *Client) Open(ctx context.Context) (*Connection, error) {
	dialer := net.Dialer{Timeout: c.options.ConnectTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return nil, failure.Wrap(err, failure.NoUpstream, failure.NotRun, "connect to the service")
	}
	return &Connection{client: c, raw: raw}, nil
}

// Close closes the connection.
func (c *Connection) Close() { _ = c.raw.Close() }

// forbiddenHeaders never reach the service: net/http takes the first two as permission to repeat a request,
// the others belong to the connection or to the caller's account.
var forbiddenHeaders = map[string]bool{
	"Idempotency-Key": true, "X-Idempotency-Key": true, "Authorization": true, "Connection": true, "Host": true,
	"Content-Length": true, "Transfer-Encoding": true, "Upgrade": true, "Te": true, "Trailer": true, "Expect": true,
}

// Call sends the one call of this connection. Any error after the first byte may have left is unknown.
func (c *Connection) Call(ctx context.Context, request Request) (Response, error) {
	if c.used.Swap(true) {
		return Response{}, failure.New(failure.Internal, failure.NotRun, "a service connection carries one call")
	}
	out, err := c.build(ctx, request)
	if err != nil {
		return Response{}, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "build the call")
	}
	transport := &http.Transport{
		DialContext:        c.dialOnce(),
		DisableKeepAlives:  true,
		DisableCompression: true,
		MaxConnsPerHost:    1,
	}
	response, err := transport.RoundTrip(out)
	if err != nil {
		return Response{}, failure.Wrap(err, failure.OutcomeUnknown, failure.Unknown, "the call of the service broke")
	}
	defer func() { _ = response.Body.Close() }()
	return c.read(response)
}

// build makes a request that the transport cannot repeat: the body is not replayable and GetBody is nil.
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

// errSecondDial stops a transport that wants to send the call again.
var errSecondDial = errors.New("a second connection for one call")

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
		return Response{}, failure.Wrap(err, failure.OutcomeUnknown, failure.Unknown, "the service's answer broke off")
	}
	if int64(len(body)) > c.client.options.MaxBodyBytes {
		return Response{}, failure.New(failure.OutcomeUnknown, failure.Ran, "the service's answer is above %d bytes", c.client.options.MaxBodyBytes)
	}
	headers := map[string]string{}
	for _, name := range []string{"Content-Type", "Location", "Etag", "Last-Modified", "Retry-After"} {
		if value := response.Header.Get(name); value != "" {
			headers[name] = value
		}
	}
	return Response{Status: response.StatusCode, Headers: headers, Body: body}, nil
}
