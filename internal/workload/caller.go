// Package workload sends requests as callers do and records the responses, for the demo and the scenarios.
// It checks answers against the deterministic stand-ins, not against the system's own reports.
package workload

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/prompt"
)

// Question is one chat request.
type Question struct {
	Account  string
	Key      string
	Model    string
	Rank     string
	Deadline time.Duration
	Messages []prompt.Message
	Tokens   int64
	// NonStreaming requests the answer as one response body instead of a stream.
	NonStreaming bool
}

// Answer is the response to a question as the caller received it.
type Answer struct {
	Question  Question
	Text      string
	Tokens    int64
	RequestID string
	// Complete reports whether the whole answer arrived; a stream must end with the event [DONE].
	Complete     bool
	FirstToken   time.Duration
	Total        time.Duration
	PromptTokens int64
	CachedTokens int64
	// Failure is nil if the answer is complete.
	Failure *failure.Error
}

// Caller sends requests to entries.
type Caller struct {
	client *http.Client
	// OnToken, if set, is called after each token with the count so far.
	OnToken func(question Question, tokens int64)
}

// NewCaller returns a Caller with connections of its own.
func NewCaller() *Caller {
	return &Caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}}}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

type chatBody struct {
	Model     string           `json:"model"`
	Messages  []prompt.Message `json:"messages"`
	Stream    bool             `json:"stream,omitempty"`
	MaxTokens int64            `json:"max_completion_tokens"`
	Options   map[string]bool  `json:"stream_options,omitempty"`
}

type chatUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	Details          struct {
		CachedTokens int64 `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

type chatChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta        struct{ Content string } `json:"delta"`
		Message      struct{ Content string } `json:"message"`
		FinishReason *string                  `json:"finish_reason"`
	} `json:"choices"`
	Usage *chatUsage  `json:"usage"`
	Error *errorField `json:"error"`
}

type errorField struct {
	Type         string `json:"type"`
	Message      string `json:"message"`
	Execution    string `json:"execution"`
	RetryAfterMs int64  `json:"retry_after_ms"`
	RequestID    string `json:"request_id"`
}

func (e *errorField) failure() *failure.Error {
	f := failure.New(failure.Kind(e.Type), failure.Execution(e.Execution), "%s", e.Message)
	f.RetryAfter = time.Duration(e.RetryAfterMs) * time.Millisecond
	return f
}

// Ask sends a question to the entry with the given base URL.
func (c *Caller) Ask(ctx context.Context, entryURL string, q Question) Answer {
	answer := Answer{Question: q}
	started := time.Now()
	body := chatBody{Model: q.Model, Messages: q.Messages, Stream: !q.NonStreaming, MaxTokens: q.Tokens}
	if !q.NonStreaming {
		body.Options = map[string]bool{"include_usage": true}
	}
	header := http.Header{"Authorization": {"Bearer " + q.Key}, "Content-Type": {"application/json"}}
	if q.Rank != "" {
		header.Set("X-Rank", q.Rank)
	}
	if q.Deadline > 0 {
		header.Set("X-Deadline-Ms", strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	}
	response, err := c.post(ctx, http.MethodPost, entryURL+"/v1/chat/completions", header, body)
	if err != nil {
		answer.Failure = failure.Wrap(err, failure.StreamBroken, failure.Unknown, "send question")
		answer.Total = time.Since(started)
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	if q.NonStreaming || response.StatusCode != http.StatusOK {
		answer.readComplete(response.Body, started)
	} else {
		answer.readStream(response.Body, started, c.OnToken)
	}
	answer.Total = time.Since(started)
	return answer
}

func (c *Caller) post(ctx context.Context, method, url string, header http.Header, body any) (*http.Response, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	// The HTTP client must not resend a request by itself, because the checks count the executions of each request.
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	return c.client.Do(request)
}

func (a *Answer) readComplete(body io.Reader, started time.Time) {
	var chunk chatChunk
	if err := json.NewDecoder(body).Decode(&chunk); err != nil {
		a.Failure = failure.Wrap(err, failure.StreamBroken, failure.Unknown, "read answer")
		return
	}
	a.apply(chunk, started)
	if a.Failure == nil {
		a.Complete = true
	}
}

func (a *Answer) readStream(body io.Reader, started time.Time, onToken func(Question, int64)) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Complete = a.Failure == nil
			return
		}
		var chunk chatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			a.Failure = failure.Wrap(err, failure.StreamBroken, failure.Unknown, "read event")
			return
		}
		before := a.Tokens
		a.apply(chunk, started)
		if a.Failure != nil {
			return
		}
		if onToken != nil && a.Tokens > before {
			onToken(a.Question, a.Tokens)
		}
	}
	a.Failure = failure.New(failure.StreamBroken, failure.Unknown, "stream closed without the event [DONE]")
}

func (a *Answer) apply(chunk chatChunk, started time.Time) {
	if chunk.Error != nil {
		a.Failure = chunk.Error.failure()
		a.RequestID = chunk.Error.RequestID
		return
	}
	if chunk.ID != "" {
		a.RequestID = strings.TrimPrefix(chunk.ID, "chatcmpl-")
	}
	for _, choice := range chunk.Choices {
		text := choice.Delta.Content + choice.Message.Content
		if text == "" {
			continue
		}
		if a.FirstToken == 0 {
			a.FirstToken = time.Since(started)
		}
		a.Text += text
		a.Tokens += int64(len(prompt.Tokens(text)))
	}
	if chunk.Usage != nil {
		a.PromptTokens, a.CachedTokens = chunk.Usage.PromptTokens, chunk.Usage.Details.CachedTokens
	}
}

// Booking is one call that may run at most once.
type Booking struct {
	Account string
	Key     string
	Service string
	Method  string
	Path    string
	// IdempotencyKey is a UUIDv7, unless IssuedAt is set.
	IdempotencyKey string
	IssuedAt       time.Time
	Body           string
}

// BookingResult is the response to one attempt of a booking as the caller received it.
type BookingResult struct {
	Booking  Booking
	Status   int
	Body     string
	Replayed bool
	// Failure is nil if the service's answer arrived.
	Failure *failure.Error
}

// Book makes one attempt of a booking.
func (c *Caller) Book(ctx context.Context, entryURL string, b Booking) BookingResult {
	result := BookingResult{Booking: b}
	header := http.Header{"Authorization": {"Bearer " + b.Key}, "Idempotency-Key": {b.IdempotencyKey}, "Content-Type": {"application/json"}}
	if !b.IssuedAt.IsZero() {
		header.Set("Idempotency-Issued-At", b.IssuedAt.UTC().Format(time.RFC3339))
	}
	url := fmt.Sprintf("%s/services/%s%s", entryURL, b.Service, b.Path)
	response, err := c.post(ctx, b.Method, url, header, b.Body)
	if err != nil {
		result.Failure = failure.Wrap(err, failure.OutcomeUnknown, failure.Unknown, "send booking")
		return result
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err != nil {
		result.Failure = failure.Wrap(err, failure.OutcomeUnknown, failure.Unknown, "read answer")
		return result
	}
	result.Status, result.Body = response.StatusCode, string(content)
	result.Replayed = response.Header.Get("Idempotency-Replayed") != ""
	var body struct {
		Error *errorField `json:"error"`
	}
	if json.Unmarshal(content, &body) == nil && body.Error != nil {
		result.Failure = body.Error.failure()
	}
	return result
}
