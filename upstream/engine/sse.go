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

// errIdle is the cause of a stream that was canceled after too long a silence.
var errIdle = failure.New(failure.StreamBroken, failure.Unknown, "engine sent nothing for longer than the stream idle timeout")

var dataPrefix = []byte("data:")

// sseStream reads the events of one run. It is used by one goroutine; Close may be called by another.
type sseStream struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	body    io.ReadCloser
	scanner *bufio.Scanner
	idle    *time.Timer
	timeout time.Duration
	// next is the index that the next token must have.
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

// Next returns the next event, io.EOF after the final event, or the same error again after an error.
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
	// Silence counts only while the reader waits, so a slow reader does not break its own stream.
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
	return Event{}, s.ended()
}

// ended classifies the end of the body before the final event: it is never the end of an answer.
func (s *sseStream) ended() error {
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
		return Event{}, s.broken("end mark without a final event")
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
		return Event{}, s.broken("token out of order")
	}
	s.next++
	return Event{Index: chunk.TokenIndex, Text: chunk.Choices[0].Text, WeightVersion: chunk.WeightVersion}, nil
}

func (s *sseStream) finish(chunk CompletionChunk) (Event, error) {
	if chunk.Usage == nil || chunk.Usage.CompletionTokens != s.next {
		return Event{}, s.broken("final event does not count the tokens that arrived")
	}
	s.final = true
	return Event{
		Index: s.next, Final: true, TotalTokens: s.next, FinishReason: chunk.Choices[0].FinishReason,
		CachedTokens: chunk.Usage.CachedTokens, WeightVersion: chunk.WeightVersion,
	}, nil
}

func (s *sseStream) broken(message string) error {
	return failure.New(failure.StreamBroken, failure.Unknown, "%s at token %d", message, s.next)
}
