package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

// errIdle is the cancellation cause of a stream that exceeded the stream idle timeout.
var errIdle = failure.New(failure.StreamBroken, failure.Unknown, "engine sent nothing for longer than the stream idle timeout")

var dataPrefix = []byte("data:")

// sseStream reads the events of one run. Next must be called from a single goroutine; Close may be called from any.
type sseStream struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	body    io.ReadCloser
	scanner *bufio.Scanner
	idle    *time.Timer
	timeout time.Duration
	// next is the expected index of the next token.
	next  int64
	final bool
	err   error
}

func newSSEStream(ctx context.Context, cancel context.CancelCauseFunc, body io.ReadCloser, next int64, options HTTPOptions) *sseStream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, min(4096, options.MaxEventBytes)), options.MaxEventBytes)
	return &sseStream{
		ctx: ctx, cancel: cancel, body: body, scanner: scanner, next: next, timeout: options.StreamIdleTimeout,
		idle: time.AfterFunc(options.StreamIdleTimeout, func() { cancel(errIdle) }),
	}
}

// Next returns the next event, or io.EOF after the final event. After an error it returns the same error again.
func (s *sseStream) Next() (Event, error) {
	if s.err != nil {
		return Event{}, s.err
	}
	if s.final {
		return Event{}, io.EOF
	}
	event, err := s.read()
	if err != nil {
		s.err = err
		_ = s.Close()
	}
	return event, err
}

// Close cancels the run if it has not ended.
func (s *sseStream) Close() error {
	s.idle.Stop()
	s.cancel(nil)
	return s.body.Close()
}

func (s *sseStream) read() (Event, error) {
	// The idle timer runs only while waiting for the engine, so that a slow reader does not end the stream.
	s.idle.Reset(s.timeout)
	defer s.idle.Stop()
	for s.scanner.Scan() {
		s.idle.Reset(s.timeout)
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), dataPrefix)
		if !ok {
			continue // A blank line or a keep-alive comment.
		}
		return s.decode(bytes.TrimSpace(data))
	}
	return Event{}, s.prematureEnd()
}

// prematureEnd returns the error for a body that ended before the final event, even if it was closed cleanly.
func (s *sseStream) prematureEnd() error {
	if cause := context.Cause(s.ctx); cause != nil {
		if errors.Is(cause, errIdle) {
			return errIdle
		}
		return failure.Wrap(cause, failure.Canceled, failure.Unknown, "run canceled")
	}
	err := s.scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return failure.Wrap(err, failure.StreamBroken, failure.Unknown, "stream ended before its final event, at token %d", s.next)
}

func (s *sseStream) decode(data []byte) (Event, error) {
	if string(data) == DoneMark {
		return Event{}, s.broken("end marker without a final event")
	}
	var chunk CompletionChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Event{}, failure.Wrap(err, failure.StreamBroken, failure.Unknown, "decode event at token %d", s.next)
	}
	if len(chunk.Choices) != 1 {
		return Event{}, s.broken("event does not have exactly one choice")
	}
	if chunk.Choices[0].FinishReason == "" {
		return s.token(chunk)
	}
	return s.finish(chunk)
}

func (s *sseStream) token(chunk CompletionChunk) (Event, error) {
	if chunk.TokenIndex != s.next {
		return Event{}, s.broken("token index out of order")
	}
	s.next++
	return Event{Index: chunk.TokenIndex, Text: chunk.Choices[0].Text, WeightVersion: chunk.WeightVersion}, nil
}

func (s *sseStream) finish(chunk CompletionChunk) (Event, error) {
	if chunk.Usage == nil || chunk.Usage.CompletionTokens != s.next {
		return Event{}, s.broken("token count of the final event does not match the tokens received")
	}
	s.final = true
	return Event{
		Index: s.next, Final: true, TotalTokens: s.next, FinishReason: chunk.Choices[0].FinishReason,
		CachedTokens: chunk.Usage.CachedTokens, WeightVersion: chunk.WeightVersion,
	}, nil
}

// broken returns the error for an invalid event.
func (s *sseStream) broken(message string) error {
	return failure.New(failure.StreamBroken, failure.Unknown, "%s at token %d", message, s.next)
}
