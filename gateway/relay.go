package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/bytebudget"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// send is a request that an instance has begun to answer.
type send struct {
	call            *call
	ctx, attemptCtx context.Context
	// mover, attemptTimeout and unresponsive are nil if the request is not repeatable.
	mover          *mover
	attemptTimeout *attemptTimeout
	unresponsive   *unresponsiveTimeout
	exchange       *upstreamconn.Exchange
	answer         Answer
	attempt        *placement.Attempt
	instance       *upstreams.Instance
	out            Outbound
	repeatable     bool
	// begun is set when the first event of this send has been received.
	begun bool
}

const (
	// defaultAnswerBytes limits an answer that is buffered until it is complete.
	defaultAnswerBytes = 4 << 20
	// defaultEventBytes limits one event of a stream; an event of a few tokens has a few hundred bytes.
	defaultEventBytes = 256 << 10
	// maxRejectionBytes and rejectionReadTimeout bound the reading of an answer whose head states that the request did not
	// run. Its body is read only so that the connection can be reused.
	maxRejectionBytes    = 64 << 10
	rejectionReadTimeout = 100 * time.Millisecond
	// writeTimeout limits one write to the caller.
	writeTimeout = 5 * time.Second
)

func (s *send) relay() result {
	status := s.exchange.Response.StatusCode
	if s.answer.NotRun {
		return s.rejected()
	}
	if s.call.route.Kind == trafficset.Stream && status == http.StatusOK {
		return s.relayStream()
	}
	return s.relayBuffered()
}

// rejected handles an answer which states that the instance did not run the request.
func (s *send) rejected() result {
	c := s.call
	c.mayHaveRun = c.earlierMayHaveRun
	timer := time.AfterFunc(rejectionReadTimeout, s.exchange.Abort)
	body, err := s.exchange.ReadAll(maxRejectionBytes)
	timer.Stop()
	outcome := placement.Rejected
	if s.answer.Replaced && (s.answer.Version == 0 || s.answer.Version == s.out.Version) {
		// The instance has the expected weights, so another incarnation has replaced it. A different weight version is
		// recorded by attempt.RecordAnswer.
		outcome = placement.Replaced
	}
	s.attempt.End(outcome, time.Now())
	c.gateway.options.Log.Info("upstream rejected a request", zap.String("request", c.attributes.ID), zap.String("instance", s.instance.ID),
		zap.Int("status", s.exchange.Response.StatusCode), zap.Int("bytes", len(body)))
	if err != nil {
		s.exchange.Abort()
	} else {
		s.exchange.Finish(s.answer.Idle)
	}
	e := failure.New(failure.Overloaded, failure.NotRun, "instance %s answered %d and did not run the request", s.instance.ID, s.exchange.Response.StatusCode)
	e.RetryAfter = upstreamRetryAfter
	return result{notRun: true, err: e}
}

// relayBuffered reads the complete answer before it sends anything to the caller.
func (s *send) relayBuffered() result {
	c := s.call
	c.memory.Patience = answerPatience
	body, err := s.exchange.ReadInto(c.memory, c.gateway.options.AnswerBytes)
	if errors.Is(err, bytebudget.ErrExhausted) {
		s.exchange.Abort()
		s.attempt.End(placement.Canceled, time.Now())
		return result{done: true, err: err}
	}
	if err == nil && isEndedByClose(s.exchange.Response) && c.prompt.wasCutOff() {
		err = errCutOff
	}
	if err != nil {
		s.exchange.Abort()
		return c.noAnswer(s.ctx, s.attempt, s.instance, err)
	}
	status := s.exchange.Response.StatusCode
	if s.repeatable {
		s.stopWatching()
	}
	s.exchange.Finish(s.answer.Idle)
	if status >= http.StatusInternalServerError {
		s.attempt.End(placement.Failed, time.Now())
		if s.repeatable && c.relayed == 0 {
			return result{err: failure.New(failure.UpstreamFailed, failure.Ran, "instance %s answered %d", s.instance.ID, status)}
		}
	} else {
		s.attempt.End(placement.Answered, time.Now())
	}
	if status < http.StatusBadRequest {
		c.prompt.recordAnswer(isEndedByClose(s.exchange.Response))
	}
	if c.answered {
		return result{done: true, err: failure.New(failure.StreamBroken, failure.Ran, "instance %s answered %d to a resumed stream", s.instance.ID, status)}
	}
	if status < http.StatusInternalServerError && status < http.StatusBadRequest && !s.answer.Signed {
		return result{done: true, err: failure.New(failure.UpstreamFailed, failure.Ran, "instance %s sent no response signature", s.instance.ID)}
	}
	c.firstByte = time.Since(c.started)
	c.writeHead(s.exchange.Response, int64(len(body)))
	if err := c.write(body); err != nil {
		return result{done: true, err: err}
	}
	return result{done: true}
}

// hopHeaders are hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// isHopHeader reports whether a header concerns only the connection to the upstream. connection is the value of Connection.
func isHopHeader(name, connection string) bool {
	if slices.Contains(hopHeaders, name) {
		return true
	}
	for listed := range strings.SplitSeq(connection, ",") {
		if strings.EqualFold(strings.TrimSpace(listed), name) {
			return true
		}
	}
	return false
}

// writeHead sends the status and the headers of an answer to the caller, without Content-Length if length is negative.
func (c *call) writeHead(response *http.Response, length int64) {
	header := c.writer.Header()
	connection := response.Header.Get("Connection")
	for name, values := range response.Header {
		if !isHopHeader(name, connection) {
			header[name] = values
		}
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if c.gateway.closing.Load() {
		header.Set("Connection", "close")
	}
	c.answered = true
	c.status = response.StatusCode
	c.writer.WriteHeader(response.StatusCode)
}

func (c *call) write(data []byte) error {
	control := http.NewResponseController(c.writer)
	if err := control.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return failure.Wrap(err, failure.Internal, failure.Ran, "set the write deadline")
	}
	if _, err := c.writer.Write(data); err != nil {
		return failure.Wrap(err, failure.Canceled, failure.Ran, "writing to the caller failed")
	}
	return nil
}

func (c *call) flush() error {
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		return failure.Wrap(err, failure.Canceled, failure.Ran, "writing to the caller failed")
	}
	return nil
}

// relayStream forwards events as they arrive. It never forwards a part of an event.
func (s *send) relayStream() result {
	c := s.call
	if !s.answer.Signed && !c.answered {
		s.exchange.Abort()
		s.attempt.End(placement.Failed, time.Now())
		return result{err: failure.New(failure.UpstreamFailed, failure.Ran, "instance %s sent no response signature", s.instance.ID)}
	}
	if err := s.checkContinuation(); err != nil {
		return s.brokenStream(err)
	}
	splitter := eventSplitter{limit: c.gateway.options.EventBytes, memory: c.memory}
	buffer := make([]byte, streamBuffer)
	stall := s.newStallTimeout()
	defer stall.stop()
	gaps := newGapMeter(s.attempt, time.Now())
	for {
		n, err := s.exchange.Response.Body.Read(buffer)
		events, tooLong := splitter.add(buffer[:n])
		if tooLong != nil {
			return s.brokenStream(tooLong)
		}
		if err := s.checkFirstEvents(events); err != nil {
			return s.brokenStream(err)
		}
		if len(events) > 0 {
			stall.stop()
			gaps.arrived(time.Now())
			if s.unresponsive != nil {
				s.unresponsive.recordProgress()
			}
			if err := s.relayEvents(events, splitter.lastID); err != nil {
				return s.writeFailed(err)
			}
			gaps.written(time.Now())
			stall.reset()
		}
		if err != nil && len(bytes.TrimSpace(splitter.rest())) > 0 {
			c.partialEvent = true
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return s.endOfStream(&splitter)
		case stall.expired.Load():
			return s.brokenStream(failure.New(failure.UpstreamFailed, failure.Unknown, "no complete event for %v", stall.limit))
		default:
			return s.brokenStream(err)
		}
	}
}

// streamBuffer is the size of the read buffer in bytes; an event of a few tokens has a few hundred bytes.
const streamBuffer = 2 << 10

func (s *send) relayEvents(events []byte, lastID string) error {
	c := s.call
	if s.attemptTimeout != nil {
		s.attemptTimeout.timer.Stop()
	}
	if !c.answered {
		c.firstByte = time.Since(c.started)
		c.writeHead(s.exchange.Response, -1)
	}
	if !s.begun {
		s.begun = true
		s.attempt.Prefilled()
	}
	if err := c.write(events); err != nil {
		return err
	}
	c.prompt.recordEvent()
	c.relayed++
	c.partialEvent = false
	if lastID != "" {
		c.lastEvent = lastID
	}
	return c.flush()
}

// errCutOff is the error of an answer without length and chunks whose instance had ended when its connection did.
var errCutOff = failure.Wrap(io.ErrUnexpectedEOF, failure.UpstreamFailed, failure.Unknown, "the instance has ended, and its answer may be incomplete")

// endOfStream handles a stream whose body ended without an error. A body without length and chunks ends with its connection,
// so only its last event shows whether the stream is complete.
func (s *send) endOfStream(splitter *eventSplitter) result {
	c := s.call
	rest := splitter.rest()
	if len(bytes.TrimSpace(rest)) > 0 {
		return s.brokenStream(failure.Wrap(io.ErrUnexpectedEOF, failure.UpstreamFailed, failure.Ran, "the stream ended inside an event"))
	}
	// A continuation may be empty if the stream broke off after its last event.
	if !s.begun && (s.out.LastEventID == "" || c.partialEvent) && isEndedByClose(s.exchange.Response) {
		return s.brokenStream(failure.Wrap(io.ErrUnexpectedEOF, failure.UpstreamFailed, failure.Ran, "the connection ended before the first event"))
	}
	if isEndedByClose(s.exchange.Response) && c.prompt.wasCutOff() {
		return s.brokenStream(errCutOff)
	}
	s.attempt.End(placement.Answered, time.Now())
	c.prompt.recordAnswer(isEndedByClose(s.exchange.Response))
	if !c.answered {
		c.writeHead(s.exchange.Response, -1)
	}
	if len(rest) > 0 {
		if err := c.write(rest); err != nil {
			return s.writeFailed(err)
		}
	}
	s.exchange.Finish(s.answer.Idle)
	return result{done: true}
}

// isEndedByClose reports whether the body has neither a length nor chunks and ends with its connection.
func isEndedByClose(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// writeFailed handles a failed write to the caller.
func (s *send) writeFailed(err error) result {
	s.exchange.Abort()
	s.attempt.End(placement.Canceled, time.Now())
	return result{done: true, err: err}
}

// brokenStream handles an answer that was cut off. A resumable stream continues at another instance after its last complete
// event.
func (s *send) brokenStream(err error) result {
	c := s.call
	s.exchange.Abort()
	cause := failure.Wrap(err, failure.StreamBroken, failure.Ran, "the stream of instance %s was cut off", s.instance.ID)
	if c.isCanceled() {
		s.attempt.End(placement.Canceled, time.Now())
		return result{done: true, err: cause}
	}
	if s.ctx.Err() != nil {
		s.attempt.End(placement.Canceled, time.Now())
		return result{done: true, err: failure.Wrap(context.Cause(s.ctx), failure.DeadlineExceeded, failure.Ran, "the stream of instance %s was cut off", s.instance.ID)}
	}
	outcome := placement.Failed
	if c.prompt.brokeOff(err) {
		outcome = placement.Unresponsive
	}
	s.attempt.End(outcome, time.Now())
	c.gateway.options.Log.Info("stream broke off", zap.String("request", c.attributes.ID), zap.String("instance", s.instance.ID),
		zap.Int("events", c.relayed), zap.String("last_event", c.lastEvent), zap.Error(err))
	if !s.repeatable || c.answered && c.lastEvent == "" {
		return result{done: c.answered, err: cause}
	}
	if c.answered {
		c.gateway.metrics.resumed.Inc(1)
	}
	return result{err: cause}
}
