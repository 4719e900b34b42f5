package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// newWeightsSystem returns a system of engines with version 1 of their weights.
func newWeightsSystem(t *testing.T, answers ...reply) *system {
	t.Helper()
	s := newSystem(t, answers...)
	s.gateway.options.Dialect = saltDialect{}
	publishTenants(s, 2, false, "k")
	s.loadWeights(1, func(*upstreams.Instance) bool { return true })
	return s
}

// loadWeights sets the version of the weights of some engines.
func (s *system) loadWeights(version uint64, loads func(i *upstreams.Instance) bool) {
	s.applyList(s.instances(), func(i *upstreams.Instance) bool {
		if loads(i) {
			i.Versions = map[string]uint64{"m": version}
		}
		return true
	})
}

// onDial calls a function before each connection to an upstream is opened, with the number of connections before it.
func (s *system) onDial(before func(dials int32, address string)) {
	var dials atomic.Int32
	s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		before(dials.Add(1)-1, address)
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
}

// Guards against a request that begins on weights whose time limit passed while its connection was opened.
func TestWeightsBecomeOutdatedWhileAConnectionIsOpened(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			s := newWeightsSystem(t, good, good)
			s.onDial(func(dials int32, address string) {
				if dials == 0 {
					s.loadWeights(2, func(i *upstreams.Instance) bool { return i.Address != address })
					s.sets.required.Store(2)
				}
			})
			status, body, err := s.call(http.MethodPost, path, "")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			for _, i := range s.instances() {
				if i.Versions["m"] == 2 {
					require.Equal(t, bodyFrom(i.ID, path), body)
				} else {
					require.Zero(t, s.runsAt(i.ID), "a request began on outdated weights")
				}
			}
		})
	}
}

// Guards against cutting a silent request for a move to weights that are outdated by then: it goes on where it is.
func TestSilentSendStaysIfTheOtherWeightsAreOutdated(t *testing.T) {
	t.Parallel()
	answer := pausedAnswer(minAttemptTimeout + 300*time.Millisecond)
	s := newWeightsSystem(t, answer, answer)
	s.extendTime()
	s.onDial(func(dials int32, _ string) {
		if dials == 1 {
			s.sets.required.Store(2)
		}
	})
	status, _, err := s.call(http.MethodPost, "/safe/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Len(t, s.startedRuns(), 1)
	require.EqualValues(t, 2, s.sets.required.Load(), "no move was prepared")
}

// Guards against an answer on old weights that is cut when their time limit passes: only beginnings are limited.
func TestAnswersGoOnWhenTheirWeightsBecomeOutdated(t *testing.T) {
	t.Parallel()
	s := newWeightsSystem(t, pausedAnswer(300*time.Millisecond))
	s.extendTime()
	time.AfterFunc(100*time.Millisecond, func() { s.sets.required.Store(2) })
	status, _, err := s.call(http.MethodPost, "/safe/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	begin := time.Now()
	status, _, err = s.call(http.MethodPost, "/safe/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status, "no engine has weights that are recent enough")
	require.Less(t, time.Since(begin), 200*time.Millisecond, "what cannot be served is refused at once")
	require.Len(t, s.startedRuns(), 1)
}
