package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/duplexconn"
	"github.com/wasabishunt/wasabishunt/upstream"
)

// HTTPOptions limits an HTTP client.
type HTTPOptions struct {
	// ConnectTimeout limits connection set-up; default 1 s.
	ConnectTimeout time.Duration
	// HeaderTimeout limits the wait for the headers of a response; default 5 s.
	HeaderTimeout time.Duration
	// CallTimeout limits a complete call other than a run or a KV transfer; default 5 s.
	CallTimeout time.Duration
	// TransferTimeout limits a complete KV transfer; default 60 s.
	TransferTimeout time.Duration
	// StreamIdleTimeout limits the time without any line in a stream, counting keep-alive comments as lines; default 5 s.
	StreamIdleTimeout time.Duration
	// MaxEventBytes limits one SSE line; default 1 MiB.
	MaxEventBytes int
	// MaxBodyBytes limits the body of a call other than a run or a KV transfer; default 4 MiB.
	MaxBodyBytes int64
	// MaxPieceBytes limits the KV blocks of one piece; default 256 MiB.
	MaxPieceBytes int64
	// MaxConns limits the connections to the engine; default 512.
	MaxConns int
}

func (o HTTPOptions) withDefaults() HTTPOptions {
	defaults.Set(&o.ConnectTimeout, time.Second)
	defaults.Set(&o.HeaderTimeout, 5*time.Second)
	defaults.Set(&o.CallTimeout, 5*time.Second)
	defaults.Set(&o.TransferTimeout, time.Minute)
	defaults.Set(&o.StreamIdleTimeout, 5*time.Second)
	defaults.Set(&o.MaxEventBytes, 1<<20)
	defaults.Set(&o.MaxBodyBytes, 4<<20)
	defaults.Set(&o.MaxPieceBytes, 256<<20)
	defaults.Set(&o.MaxConns, 512)
	return o
}

// HTTP implements Client over HTTP.
type HTTP struct {
	base    string
	client  *http.Client
	options HTTPOptions
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client of the engine at an IP address and port.
func NewHTTP(address string, options HTTPOptions) *HTTP {
	options = options.withDefaults()
	dialer := net.Dialer{Timeout: options.ConnectTimeout, KeepAlive: 5 * time.Second}
	transport := &http.Transport{
		DialContext:            duplexconn.Dial(dialer.DialContext),
		ResponseHeaderTimeout:  options.HeaderTimeout,
		MaxConnsPerHost:        options.MaxConns,
		MaxIdleConnsPerHost:    16,
		IdleConnTimeout:        30 * time.Second,
		DisableCompression:     true,
		MaxResponseHeaderBytes: upstream.MaxHeadBytes,
	}
	return &HTTP{base: "http://" + address, client: &http.Client{Transport: transport, CheckRedirect: refuseRedirect}, options: options}
}

// refuseRedirect prevents calls to addresses that are not in the settings.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (h *HTTP) Close() { h.client.CloseIdleConnections() }

// Generate implements Client.
func (h *HTTP) Generate(ctx context.Context, request Request) (Stream, error) {
	body, err := json.Marshal(completionRequest(request))
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "encode completion request")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	response, err := h.send(ctx, http.MethodPost, PathCompletions, bytes.NewReader(body), int64(len(body)))
	if err != nil {
		cancel(nil)
		return nil, err
	}
	return newSSEStream(ctx, cancel, response.Body, int64(len(request.Emitted)), h.options), nil
}

func completionRequest(r Request) CompletionRequest {
	return CompletionRequest{
		Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens, Stream: true,
		RequestID: r.RequestID, WeightVersion: r.WeightVersion, Adapter: r.Adapter, Priority: r.Priority,
		Emitted: r.Emitted, CacheScope: r.CacheScope, PieceNames: r.PieceNames,
	}
}

// Load implements Client.
func (h *HTTP) Load(ctx context.Context) (Load, error) {
	var body LoadBody
	if err := h.call(ctx, http.MethodGet, PathLoad, nil, &body); err != nil {
		return Load{}, err
	}
	return Load(body), nil
}

// CacheEvents implements Client.
func (h *HTTP) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, bool, error) {
	var body EventsBody
	query := url.Values{QueryAfter: {strconv.FormatUint(after, 10)}}
	if err := h.call(ctx, http.MethodGet, PathEvents+"?"+query.Encode(), nil, &body); err != nil {
		return nil, false, err
	}
	events, gap := make([]CacheEvent, 0, len(body.Events)), body.Gap
	last := after
	for _, e := range body.Events {
		if e.Sequence <= last {
			return nil, false, failure.New(failure.UpstreamFailed, failure.Ran, "cache event %d follows event %d", e.Sequence, last)
		}
		gap = gap || e.Sequence != last+1
		last = e.Sequence
		events = append(events, CacheEvent(e))
	}
	return events, gap, nil
}

// LoadWeights implements Client. After an error with an unknown outcome, the caller should read Weights.
func (h *HTTP) LoadWeights(ctx context.Context, command WeightCommand) error {
	return h.call(ctx, http.MethodPost, PathWeights, WeightOrder(command), nil)
}

// Weights implements Client.
func (h *HTTP) Weights(ctx context.Context) (Weights, error) {
	var body WeightsBody
	if err := h.call(ctx, http.MethodGet, PathWeights, nil, &body); err != nil {
		return Weights{}, err
	}
	return Weights(body), nil
}

// call makes one call with JSON bodies. in and out may be nil.
func (h *HTTP) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, h.options.CallTimeout)
	defer cancel()
	var body io.Reader
	var length int64
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "encode request")
		}
		body, length = bytes.NewReader(encoded), int64(len(encoded))
	}
	response, err := h.send(ctx, method, path, body, length)
	if err != nil {
		return err
	}
	if out == nil {
		return endBody(response.Body)
	}
	defer closeBody(response.Body)
	if err := json.NewDecoder(io.LimitReader(response.Body, h.options.MaxBodyBytes)).Decode(out); err != nil {
		return failure.Wrap(err, failure.UpstreamFailed, failure.Ran, "decode response of %s %s", method, path)
	}
	return nil
}

// send returns a 2xx response or a typed error.
func (h *HTTP) send(ctx context.Context, method, path string, body io.Reader, length int64) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, h.base+path, body)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "build request for %s", path)
	}
	if body != nil {
		request.ContentLength = length
		request.Header.Set("Content-Type", "application/json")
	}
	// Without GetBody the transport cannot repeat the request on another connection.
	request.GetBody = nil
	response, err := h.client.Do(request)
	if err != nil {
		return nil, transportError(ctx, err, method+" "+path)
	}
	if response.StatusCode/100 != 2 {
		defer closeBody(response.Body)
		return nil, responseError(response)
	}
	return response, nil
}

// transportError classifies an error of the HTTP client. Only a failed connect proves that nothing was sent.
func transportError(ctx context.Context, err error, call string) error {
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return failure.Wrap(err, failure.NoUpstream, failure.NotRun, "%s", call)
	}
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return failure.Wrap(err, failure.Canceled, failure.Unknown, "%s", call)
	// The context is checked instead of err, because http.Client also reports its own timeouts as context.DeadlineExceeded.
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failure.Wrap(err, failure.DeadlineExceeded, failure.Unknown, "%s", call)
	default:
		return failure.Wrap(err, failure.UpstreamFailed, failure.Unknown, "%s", call)
	}
}

// maxErrorBytes limits the body of an error response.
const maxErrorBytes = 64 << 10

func responseError(response *http.Response) error {
	var body ErrorBody
	err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&body)
	if err != nil || body.Error.Type == "" {
		return failure.New(failure.UpstreamFailed, failure.Unknown, "engine answered status %d", response.StatusCode)
	}
	detail := body.Error
	e := failure.New(failure.Kind(detail.Type), parseExecution(detail.Execution), "engine: %s", detail.Message)
	e.RetryAfter = time.Duration(detail.RetryAfterMs) * time.Millisecond
	return e
}

// parseExecution returns failure.Unknown for a missing or unknown value.
func parseExecution(value string) failure.Execution {
	switch e := failure.Execution(value); e {
	case failure.NotRun, failure.Ran:
		return e
	default:
		return failure.Unknown
	}
}

// closeBody reads the rest of a short body, so that the connection can be reused, and closes it.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxErrorBytes)
	_ = body.Close()
}

// endBody is closeBody for an answer of which only the status matters. It is an error if the connection broke within the answer: an engine may
// answer before it has read the request, and fail afterwards.
func endBody(body io.ReadCloser) error {
	_, err := io.CopyN(io.Discard, body, maxErrorBytes)
	_ = body.Close()
	if err != nil && err != io.EOF {
		return failure.Wrap(err, failure.UpstreamFailed, failure.Unknown, "the engine's answer was cut off")
	}
	return nil
}
