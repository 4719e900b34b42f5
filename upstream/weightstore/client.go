// Package weightstore implements the client of the platform's rate-limited weight store.
package weightstore

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/upstream"
)

const (
	// PathWeights is followed by the path of a weight version.
	PathWeights = "/weights/"
	// HeaderRetryAfterMs is the retry advice in milliseconds; Retry-After has whole seconds only.
	HeaderRetryAfterMs = "Retry-After-Ms"
)

// Options limits a Client.
type Options struct {
	// ConnectTimeout limits connection set-up; default 1 s.
	ConnectTimeout time.Duration
	// HeaderTimeout limits the wait for the head of a response; default 5 s.
	HeaderTimeout time.Duration
	// FetchTimeout limits one fetch with all its attempts; default 10 min.
	FetchTimeout time.Duration
	// MaxAttempts limits the attempts of one fetch; default 20.
	MaxAttempts int
	// MaxRetryAfter limits the wait requested by the store; default 10 s.
	MaxRetryAfter time.Duration
	// MaxBytes limits one weight version; default 1 TiB.
	MaxBytes int64
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.ConnectTimeout, time.Second)
	defaults.Set(&o.HeaderTimeout, 5*time.Second)
	defaults.Set(&o.FetchTimeout, 10*time.Minute)
	defaults.Set(&o.MaxAttempts, 20)
	defaults.Set(&o.MaxRetryAfter, 10*time.Second)
	defaults.Set(&o.MaxBytes, 1<<40)
	return o
}

// Client reads weights.
type Client struct {
	base    string
	client  *http.Client
	options Options
}

// New returns a client of the weight store at an IP address and port.
func New(address string, options Options) *Client {
	options = options.withDefaults()
	dialer := net.Dialer{Timeout: options.ConnectTimeout, KeepAlive: 5 * time.Second}
	transport := &http.Transport{
		DialContext: dialer.DialContext, ResponseHeaderTimeout: options.HeaderTimeout,
		MaxConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		MaxResponseHeaderBytes: upstream.MaxHeadBytes,
	}
	return &Client{base: "http://" + address, client: &http.Client{Transport: transport}, options: options}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Fetch reads a complete weight version and discards its bytes. Between attempts it waits as long as the store requests.
func (c *Client) Fetch(ctx context.Context, version string) error {
	return c.Read(ctx, version, io.Discard)
}

// Read copies a complete weight version to w. It retries only if nothing has been written to w.
func (c *Client) Read(ctx context.Context, version string, w io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.FetchTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		err := c.attempt(ctx, version, w)
		if err == nil || !failure.Is(err, failure.Overloaded) || attempt == c.options.MaxAttempts {
			return err
		}
		if !wait(ctx, failure.Of(err).RetryAfter) {
			return failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.NotRun, "fetch weights %s", version)
		}
	}
}

func (c *Client) attempt(ctx context.Context, version string, w io.Writer) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathWeights+url.PathEscape(version), nil)
	if err != nil {
		return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "build request for weights %s", version)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return failure.Wrap(err, failure.UpstreamFailed, failure.Unknown, "fetch weights %s", version)
	}
	defer func() { _ = response.Body.Close() }()
	if err := c.check(response, version); err != nil {
		return err
	}
	if _, err := io.Copy(w, response.Body); err != nil {
		return failure.Wrap(err, failure.UpstreamFailed, failure.Unknown, "read weights %s", version)
	}
	return nil
}

func (c *Client) check(response *http.Response, version string) error {
	switch {
	case response.StatusCode == http.StatusTooManyRequests:
		e := failure.New(failure.Overloaded, failure.NotRun, "weight store rate limit reached")
		e.RetryAfter = min(retryAfter(response.Header), c.options.MaxRetryAfter)
		return e
	case response.StatusCode == http.StatusNotFound:
		return failure.New(failure.NotFound, failure.NotRun, "weights %s not found in the weight store", version)
	case response.StatusCode != http.StatusOK:
		return failure.New(failure.UpstreamFailed, failure.Unknown, "weight store returned status %d", response.StatusCode)
	// Truncation of a body of unknown length could not be detected.
	case response.ContentLength < 0 || response.ContentLength > c.options.MaxBytes:
		return failure.New(failure.UpstreamFailed, failure.Ran, "weights %s have an invalid length of %d bytes", version, response.ContentLength)
	}
	return nil
}

// defaultRetryAfter is used if the store sends no retry advice.
const defaultRetryAfter = time.Second

func retryAfter(header http.Header) time.Duration {
	if ms, err := strconv.ParseInt(header.Get(HeaderRetryAfterMs), 10, 32); err == nil && ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	if seconds, err := strconv.ParseInt(header.Get("Retry-After"), 10, 32); err == nil && seconds > 0 {
		return time.Duration(seconds) * time.Second
	}
	return defaultRetryAfter
}

// wait reports whether the duration passed before the context ended.
func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
