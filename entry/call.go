package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// Request headers of callers.
const (
	headerRank      = "X-Rank"
	headerDeadline  = "X-Deadline-Ms"
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
	headerIssuedAt  = "Idempotency-Issued-At"
)

// maxClientIDBytes limits the echoed id of the caller.
const maxClientIDBytes = 128

// deadlineGrace is how long after the deadline an entry still waits for the agent, which ends the request at the
// deadline and alone knows whether it ran.
const deadlineGrace = 250 * time.Millisecond

// call is one authenticated request of a caller.
type call struct {
	server  *Server
	writer  http.ResponseWriter
	request *http.Request
	// id is made here; the caller's own id is only echoed, because callers may reuse each other's ids.
	id       string
	clientID string
	view     controlclient.View
	catalog  *catalog
	account  *objectset.Account
	rank     *objectset.Rank
	// ctx ends shortly after the deadline or when the caller has gone.
	ctx      context.Context
	deadline time.Time
	record   Record
	// answered is true once the response was started; later failures cannot change its status.
	answered bool
	// heldBytes of the buffer limit are given back at the end.
	heldBytes int64
}

// withCall authenticates, limits and records a request around its handler.
func (s *Server) withCall(handle func(*call) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c := &call{server: s, writer: w, request: r, id: uuid.NewString(), clientID: r.Header.Get(headerRequestID)}
		if len(c.clientID) > maxClientIDBytes {
			c.clientID = c.clientID[:maxClientIDBytes]
		}
		w.Header().Set(headerRequestID, c.id)
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		c.record = Record{RequestID: c.id, ClientRequestID: c.clientID, Path: r.URL.Path, Started: s.deps.Clock.Now()}
		err := c.serve(handle)
		c.finish(err)
	}
}

// serve runs the steps before the handler in order of cost: view, key, places, deadline.
func (c *call) serve(handle func(*call) error) error {
	s := c.server
	if err := c.authenticate(); err != nil {
		return err
	}
	if !s.slots.TryAcquire(1) {
		return overloaded("%d requests are in flight", s.options.MaxConcurrent)
	}
	defer s.slots.Release(1)
	if err := s.accounts.enter(c.account); err != nil {
		return err
	}
	defer s.accounts.leave(c.account)
	defer func() { s.buffered.Release(c.heldBytes) }()
	limit, err := c.timeLimit()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), limit+deadlineGrace)
	defer cancel()
	c.ctx = ctx
	c.deadline = time.Now().Add(limit)
	s.budget.request()
	return handle(c)
}

func (c *call) authenticate() error {
	view := c.server.deps.Source.Current()
	if view.Set == nil {
		return staleSet()
	}
	c.use(view)
	account, err := c.catalog.account(c.request.Header.Get("Authorization"))
	if err != nil {
		return err
	}
	c.account = account
	c.record.Account = account.Name
	view, err = c.server.awaitFresh(c.request.Context())
	if err != nil {
		return err
	}
	return c.adopt(view)
}

func (c *call) use(view controlclient.View) {
	c.view = view
	c.catalog = c.server.catalogs.of(view.Set)
	c.record.SetVersion = view.Version
}

// adopt moves the call to a newer view, in which its key must still be valid.
func (c *call) adopt(view controlclient.View) error {
	c.use(view)
	account, err := c.catalog.account(c.request.Header.Get("Authorization"))
	if err != nil {
		return err
	}
	c.account = account
	return nil
}

func staleSet() *failure.Error {
	e := failure.New(failure.StaleSet, failure.NotRun, "control has not confirmed the object set")
	e.RetryAfter = time.Second
	return e
}

// awaitFresh returns a view under which new work may start. It waits, within a limit, for a version that was
// seen on the data path; without confirmation from control it refuses at once.
func (s *Server) awaitFresh(ctx context.Context) (controlclient.View, error) {
	timer := time.NewTimer(s.options.CatchUp)
	defer timer.Stop()
	for {
		changed := s.deps.Source.Changed()
		view := s.deps.Source.Current()
		now := s.deps.Clock.Now()
		if view.Fresh(now) {
			return view, nil
		}
		if view.Set == nil || !now.Before(view.FreshUntil) {
			return view, staleSet()
		}
		select {
		case <-changed:
		case <-timer.C:
			return view, staleSet()
		case <-ctx.Done():
			return view, failure.Wrap(ctx.Err(), failure.Canceled, failure.NotRun, "canceled while waiting for a set version")
		}
	}
}

// timeLimit reads X-Deadline-Ms.
func (c *call) timeLimit() (time.Duration, error) {
	value := c.request.Header.Get(headerDeadline)
	if value == "" {
		return c.server.options.DefaultDeadline, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	largest := c.server.options.MaxDeadline
	if err != nil || ms <= 0 || ms > largest.Milliseconds() {
		return 0, failure.New(failure.InvalidRequest, failure.NotRun, "%s must be a whole number from 1 to %d", headerDeadline, largest.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func (c *call) chooseRank(fallback string) error {
	rank, err := c.catalog.rank(c.account, c.request.Header.Get(headerRank), fallback)
	if err != nil {
		return err
	}
	c.rank = rank
	c.record.Rank = rank.Name
	return nil
}

// readBody reads the whole body within the limits of size, time and memory.
func (c *call) readBody() ([]byte, error) {
	s := c.server
	limit := s.options.MaxBodyBytes
	if c.request.ContentLength > limit {
		c.writer.Header().Set("Connection", "close")
		return nil, tooLarge(limit)
	}
	hold := limit
	if c.request.ContentLength >= 0 {
		hold = c.request.ContentLength
	}
	if !s.buffered.TryAcquire(hold) {
		return nil, overloaded("the bodies of requests in flight fill the memory set aside for them")
	}
	c.heldBytes += hold
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, limit))
	if _, large := errors.AsType[*http.MaxBytesError](err); large {
		return nil, tooLarge(limit)
	}
	if err != nil {
		c.writer.Header().Set("Connection", "close")
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "the body did not arrive whole within %s", s.options.BodyTimeout)
	}
	// The deadline stays in force after a failure: the server reads on in the rest of a refused body.
	_ = http.NewResponseController(c.writer).SetReadDeadline(time.Time{})
	return body, nil
}

func tooLarge(limit int64) *failure.Error {
	return failure.New(failure.BodyTooLarge, failure.NotRun, "the body is above %d bytes", limit)
}

// header is the part of a data-path message that names this call.
func (c *call) header() *agentpb.Header {
	return &agentpb.Header{
		RequestId:  c.id,
		Account:    c.account.Name,
		Rank:       c.rank.Name,
		DeadlineMs: max(1, time.Until(c.deadline).Milliseconds()),
		SetVersion: c.view.Version,
	}
}

// decided notes a decision for the debug page.
func (c *call) decided(lines ...string) {
	const maxDecisions = 64
	room := max(0, maxDecisions-len(c.record.Decisions))
	c.record.Decisions = append(c.record.Decisions, lines[:min(room, len(lines))]...)
}

// finish answers a failed call, logs it and remembers it.
func (c *call) finish(err error) {
	s := c.server
	c.record.Outcome = "ok"
	if err != nil {
		e := failure.Of(err)
		c.record.Outcome = string(e.Kind)
		c.record.Execution = string(e.Execution)
		if !c.answered {
			s.writeError(c.writer, e, c.id, c.clientID)
		}
	}
	c.record.DurationMs = s.deps.Clock.Now().Sub(c.record.Started).Milliseconds()
	s.history.add(c.record)
	s.count("requests." + c.record.Outcome)
	s.deps.Log.Info("request", zap.String("request_id", c.id), zap.String("client_request_id", c.clientID),
		zap.String("account", c.record.Account), zap.String("path", c.record.Path), zap.String("rank", c.record.Rank),
		zap.String("outcome", c.record.Outcome), zap.Int64("duration_ms", c.record.DurationMs),
		zap.Int64("tokens", c.record.Tokens), zap.Error(err))
}
