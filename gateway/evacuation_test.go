package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/serving/evacuation"
	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreamlimit"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// evacuations is the list of evacuated zones of a test gateway.
type evacuations struct {
	mu   sync.Mutex
	list *evacuation.List
}

func (e *evacuations) current() *evacuation.List {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.list
}

func (e *evacuations) set(zones ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list, _, _ = e.list.Accept(e.list.Revision()+1, zones, time.Now())
}

// newZonedSystem returns a system whose instance uN is in zone zN, and its evacuated zones.
func newZonedSystem(t testing.TB, replies ...reply) (*system, *evacuations) {
	t.Helper()
	s := newSystem(t, replies...)
	s.applyList(s.instances(), func(i *upstreams.Instance) bool {
		i.AvailabilityZone = "z" + i.ID[1:]
		i.Born = 1
		return true
	})
	e := &evacuations{}
	s.gateway.options.Evacuations = e.current
	return s, e
}

// Guards against requests to an evacuated zone, and against a zone that stays unused after its evacuation.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	s, e := newZonedSystem(t, good, good)
	e.set("z0")
	for range 20 {
		s.requireServedBy("u1", "while z0 is evacuated")
	}
	require.Zero(t, s.runsAt("u0"))
	e.set("z1")
	s.requireServedBy("u0", "after the end of the evacuation")
}

// Guards against a send to a zone whose evacuation began while the connection was opened.
func TestEvacuationBeginsWhileAConnectionIsOpened(t *testing.T) {
	s, e := newZonedSystem(t, good, good)
	core, logs := observer.New(zap.InfoLevel)
	s.gateway.options.Log = zap.New(core)
	evacuated := s.instances()[0]
	s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if address == evacuated.Address {
			e.set("z0")
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
	for range 10 {
		s.requireServedBy("u1", "the evacuation began before the send")
	}
	require.Zero(t, s.runsAt("u0"), "a request reached an evacuated zone")
	for _, line := range logs.FilterMessage("send withdrawn from an evacuated zone").All() {
		require.Equal(t, "z0", line.ContextMap()["zone"])
	}
}

// Guards against a stream that moves, or a request that is repeated, into an evacuated zone: the zones of the choice are not those of the send.
func TestEvacuationBeginsWhileAMoveIsPrepared(t *testing.T) {
	for _, path := range []string{"/resume/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			end := make(chan struct{})
			t.Cleanup(func() { close(end) })
			silent := silentAfter(0, end)
			if path == "/resume/" {
				silent = silentAfter(1, end)
			}
			answer := firstThen(silent, good)
			if path == "/resume/" {
				answer = firstThen(silent, events(1, 2, true))
			}
			s, e := newZonedSystem(t, answer, answer, answer)
			s.extendTime()
			var first, second atomic.Pointer[string]
			instances := s.instances()
			s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				for _, i := range instances {
					if i.Address == address && !first.CompareAndSwap(nil, &i.ID) && second.CompareAndSwap(nil, &i.ID) {
						e.set(i.AvailabilityZone)
					}
				}
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}})
			status, _, err := s.call("POST", path, "")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			require.NotNil(t, second.Load(), "no move was prepared")
			require.Zero(t, s.runsAt(*second.Load()), "the send moved into an evacuated zone")
			require.Len(t, s.startedRuns(), 2)
		})
	}
}

// Guards against cutting a silent request for a move into a zone that is evacuated by then: it goes on where it is.
func TestSilentSendStaysIfTheOtherZoneIsEvacuated(t *testing.T) {
	t.Parallel()
	answer := pausedAnswer(minAttemptTimeout + 300*time.Millisecond)
	s, e := newZonedSystem(t, answer, answer)
	s.extendTime()
	var first atomic.Pointer[string]
	instances := s.instances()
	s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		for _, i := range instances {
			if i.Address == address && !first.CompareAndSwap(nil, &i.ID) {
				e.set(i.AvailabilityZone)
			}
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
	status, _, err := s.call("POST", "/safe/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Len(t, s.startedRuns(), 1)
	require.NotEmpty(t, e.current().Zones(), "no move was prepared")
}

// Guards against cutting a request that runs in a zone when its evacuation begins.
func TestRunningRequestsEndInTheEvacuatedZone(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/"} {
		s, e := newZonedSystem(t, pausedAnswer(200*time.Millisecond))
		go func() {
			for len(s.startedRuns()) == 0 {
				time.Sleep(time.Millisecond)
			}
			e.set("z0")
		}()
		status, _, err := s.call("POST", path, "")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Len(t, s.startedRuns(), 1)
	}
}

// Guards against a request that waits for an evacuated service, against a refusal that may have run or gives no time to come back, and against
// one whose log line does not tell the cause.
func TestServiceInEvacuatedZonesIsRefused(t *testing.T) {
	s, e := newZonedSystem(t, good, good)
	core, logs := observer.New(zap.InfoLevel)
	s.gateway.options.Log = zap.New(core)
	e.set("z1", "z0", "z7")
	began := time.Now()
	response, err := s.front.Client().Do(s.request("POST", "/once/", ""))
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Less(t, time.Since(began), 500*time.Millisecond)
	require.Contains(t, string(body), `"not_run"`)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, seconds)
	require.LessOrEqual(t, seconds, maxPauseAdvice.Seconds())
	lines := logs.FilterMessage("request refused").All()
	require.Len(t, lines, 1)
	require.Contains(t, lines[0].ContextMap()["error"], `evacuated zones: ["z0" "z1"]`)
	require.Empty(t, s.startedRuns())
	e.set()
	status, _, err := s.call("POST", "/once/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}

// Guards against an engine that fetches from another one in a zone whose evacuation began after the choice, and against a store that is not used
// because its zone is evacuated.
func TestSourcesInAZoneThatIsEvacuatedAfterTheChoice(t *testing.T) {
	s, e := newZonedSystem(t, good)
	c := &call{gateway: s.gateway}
	store, engine := placement.StoredPart{Address: "store", AvailabilityZone: "z1"}, placement.StoredPart{Address: "engine", AvailabilityZone: "z1"}
	other := placement.StoredPart{Address: "other", AvailabilityZone: "z0"}
	chosen := &choice{query: &placement.Request{Stored: []placement.StoredPart{store}}, sources: []placement.StoredPart{store, engine, other, {}}}
	c.dropEvacuatedSources(chosen)
	require.Equal(t, []placement.StoredPart{store, engine, other, {}}, chosen.sources)
	e.set("z1")
	c.dropEvacuatedSources(chosen)
	require.Equal(t, []placement.StoredPart{store, {}, other, {}}, chosen.sources)
}

// Guards against a send to a zone whose evacuation began while another node was asked for a permit, after the connection was open.
func TestEvacuationBeginsWhileAPermitIsAsked(t *testing.T) {
	s, e := newZonedSystem(t, good)
	s.deadlineMs = 5000
	now := time.Now()
	var asked atomic.Int64
	var opened atomic.Bool
	l := upstreamlimit.New(upstreamlimit.Options{
		Self: "10.0.0.1:7000", Log: zap.NewNop(), Metrics: gometrics.NewRegistry(),
		Ask: func(context.Context, string, *nodepb.PermitRequest) (*nodepb.PermitReply, error) {
			asked.Add(1)
			if opened.Load() {
				e.set("z0")
			}
			return &nodepb.PermitReply{Granted: 1}, nil
		},
	})
	instance := s.instances()[0]
	// The owner is another node.
	l.SetNodes([]string{"10.0.0.2:7000"}, now.Add(-limitSettled))
	for at := -limitSettled; at <= limitSettled; at += time.Second {
		l.Confirm(s.gateway.options.Directory.View(), now.Add(at))
	}
	l.Named(&instance, 50, now, "r0", now)
	s.gateway.options.Limiter = l
	s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{DialTimeout: 5 * time.Second, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		// The first permit expires meanwhile.
		time.Sleep(600 * time.Millisecond)
		opened.Store(true)
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
	status, _, err := s.call("POST", "/once/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.GreaterOrEqual(t, asked.Load(), int64(2), "no permit was asked for after the connection was open")
	require.Empty(t, s.startedRuns(), "a request reached an evacuated zone")
}
