package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/serving/coldstart"
	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// withColdLimit gives the service of a system a cold limit. The list then shows the instances with these ids as cold for a time.
func (s *system) withColdLimit(limit trafficset.ColdLimit, left time.Duration, ids ...string) *coldstart.Guard {
	set := *s.sets.Set()
	set.Services = []trafficset.Service{{Name: "s", Cold: limit}}
	require.NoError(s.t, set.Build())
	s.sets.set.Store(&set)
	directory := s.gateway.options.Directory
	list := s.instances()
	for i := range list {
		for _, id := range ids {
			if list[i].ID == id {
				list[i].ColdLeft = left
			}
		}
	}
	directory.ApplyList(list, time.Now())
	s.gateway.options.Cold = coldstart.New(coldstart.Options{
		Directory: directory, Limit: func(string) trafficset.ColdLimit { return limit }, Log: zap.NewNop(), Metrics: gometrics.NewRegistry(),
	})
	return s.gateway.options.Cold
}

// Guards against a flood of requests to an instance that has just started: it looks idle, and so is the cheapest one. The use of its permits is compared
// with a limiter that is asked at the same moments, because a busy machine begins fewer requests.
func TestColdInstanceGetsNoMoreThanItAccepts(t *testing.T) {
	const (
		coldFor   = time.Second
		perSecond = 20
	)
	s := newSystem(t, good, good)
	s.extendTime()
	s.withLimiter()
	s.withColdLimit(trafficset.ColdLimit{Duration: coldFor, PerSecond: perSecond}, coldFor, "u0")
	began := time.Now()
	reference := rate.NewLimiter(perSecond, 1)
	var available atomic.Int64
	var calls sync.WaitGroup
	for time.Since(began) < coldFor {
		calls.Go(func() {
			if time.Since(began) < coldFor && reference.Allow() {
				available.Add(1)
			}
			status, _, err := s.call("POST", "/once/", "")
			assert.NoError(t, err)
			assert.Equal(t, 200, status, "the warm instance takes the request")
		})
		time.Sleep(5 * time.Millisecond)
	}
	runs := s.runsAt("u0")
	require.LessOrEqual(t, runs, 2+int(perSecond*time.Since(began).Seconds()))
	t.Logf("%d requests in %v, %d available", runs, time.Since(began), available.Load())
	calls.Wait()
	require.GreaterOrEqual(t, s.runsAt("u0"), int(0.7*float64(available.Load())), "0.7 of what the instance accepts is used")
	time.Sleep(200 * time.Millisecond)
	before := s.runsAt("u0")
	for range 100 {
		_, _, _ = s.call("POST", "/once/", "")
	}
	require.Greater(t, s.runsAt("u0")-before, 30, "the instance is warm")
}

// Guards against an instance that counts as warm because a request to it got a permit, and was withdrawn while its connection was opened.
func TestWithdrawnRequestDoesNotCountAsSent(t *testing.T) {
	const coldFor = 20 * time.Millisecond
	s, e := newZonedSystem(t, good)
	s.withLimiter()
	limit := trafficset.ColdLimit{Duration: time.Second, PerSecond: 12}
	guard := s.withColdLimit(limit, coldFor, "u0")
	// The cold time is over, and the list is too old to show the instance as warm.
	instance := &s.gateway.options.Directory.View().Instances[0]
	time.Sleep(time.Until(instance.ColdUntil) + time.Millisecond)
	var evacuates atomic.Bool
	evacuates.Store(true)
	s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if evacuates.Load() {
			e.set("z0")
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
	need := func() coldstart.Need { return guard.Need(instance, limit, time.Now()) }
	require.Eventually(t, func() bool {
		status, _, err := s.call("POST", "/once/", "")
		require.NoError(t, err)
		require.Equal(t, 503, status)
		return e.current().Contains("z0")
	}, 2*time.Second, 10*time.Millisecond, "no request got a permit")
	require.Zero(t, s.runsAt("u0"))
	require.Equal(t, coldstart.NewConnections, need(), "nothing was sent")
	evacuates.Store(false)
	e.set()
	require.Eventually(t, func() bool {
		status, _, err := s.call("POST", "/once/", "")
		require.NoError(t, err)
		return status == 200
	}, 2*time.Second, 10*time.Millisecond)
	require.Equal(t, coldstart.NoPermit, need(), "a request was sent")
}

// Guards against requests that wait, or fail as if they may have run, because all instances of a service are cold.
func TestRequestBeyondAllColdInstancesIsRefusedAtOnce(t *testing.T) {
	s := newSystem(t, good)
	s.withRemoteOwner(func(_ context.Context, q *nodepb.PermitRequest) (*nodepb.PermitReply, error) {
		require.True(t, q.GetCold())
		return &nodepb.PermitReply{WaitMs: 700}, nil
	})
	s.withColdLimit(trafficset.ColdLimit{Duration: time.Second, PerSecond: 1}, 2*time.Second, "u0")
	for range 3 {
		began := time.Now()
		response, err := http.DefaultClient.Do(s.request("POST", "/once/", ""))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, 503, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.Less(t, time.Since(began), 300*time.Millisecond)
	}
	require.Zero(t, s.runsAt("u0"))
}

// Guards against requests that reach a cold instance together, because they got their permits while their connections were opened.
func TestColdPermitIsValidWhenTheRequestIsSent(t *testing.T) {
	const perSecond, openingTime = 40, time.Second
	s := newSystem(t, good)
	s.withLimiter()
	s.withColdLimit(trafficset.ColdLimit{Duration: 5 * time.Second, PerSecond: perSecond}, 5*time.Second, "u0")
	open := make(chan struct{})
	s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{DialTimeout: 2 * openingTime, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		<-open
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
	var calls sync.WaitGroup
	for end := time.Now().Add(openingTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		calls.Go(func() { _, _, _ = s.call("POST", "/once/", "") })
	}
	close(open)
	opened := time.Now()
	calls.Wait()
	// The permits of the last 250 ms, those that the owner keeps, and one in each 25 ms since.
	require.LessOrEqual(t, s.runsAt("u0"), 10+2+2+int(perSecond*time.Since(opened).Seconds()))
}

// Guards against nodes that cannot ask for permits, which send what they have to a cold instance.
func TestWithoutAnOwnerAColdInstanceGetsNothing(t *testing.T) {
	s := newSystem(t, good)
	s.withRemoteOwner(func(context.Context, *nodepb.PermitRequest) (*nodepb.PermitReply, error) {
		return nil, errors.New("cut off")
	})
	s.withColdLimit(trafficset.ColdLimit{Duration: time.Second, PerSecond: 12}, 10*time.Second, "u0")
	for range 5 {
		status, _, err := s.call("POST", "/safe/", "")
		require.NoError(t, err)
		require.Equal(t, 503, status)
	}
	require.Zero(t, s.runsAt("u0"))
}

// Guards against a restart that the node does not notice, since it only sees that its kept connections have ended, and against permits for
// connections to a process that has not restarted.
func TestInstanceThatMayHaveRestartedNeedsPermits(t *testing.T) {
	var cut atomic.Bool
	idle := make(chan net.Conn, 16)
	s := newSystem(t, func(conn net.Conn, r *http.Request, instance string) bool {
		idle <- conn
		return good(conn, r, instance)
	})
	var asked atomic.Int32
	s.withRemoteOwner(func(_ context.Context, q *nodepb.PermitRequest) (*nodepb.PermitReply, error) {
		asked.Add(1)
		return &nodepb.PermitReply{Granted: 1}, nil
	})
	limit := trafficset.ColdLimit{Duration: 2 * time.Second, PerSecond: 12}
	guard := s.withColdLimit(limit, 0)
	call := func() {
		status, _, err := s.call("POST", "/once/", "", func(r *http.Request) { r.Header.Set("Id", fmt.Sprint("r", time.Now().UnixNano())) })
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	call()
	require.Zero(t, asked.Load(), "the instance is warm")
	instance := s.instances()[0]
	guard.Sign(&instance, limit, "other", io.EOF, time.Now())
	call()
	require.Zero(t, asked.Load(), "the connection was opened while the instance was warm")
	guard.Reached(&instance, time.Now().Add(-limit.Duration))
	cut.Store(true)
	for len(idle) > 0 {
		_ = (<-idle).Close()
	}
	time.Sleep(20 * time.Millisecond)
	call()
	require.EqualValues(t, 1, asked.Load())
	require.Len(t, guard.News(false, time.Now()), 1, "the other nodes are told")
	call()
	require.EqualValues(t, 2, asked.Load(), "a connection to the new process needs permits")
}

// Guards against instances that restarted and are not recognized by connections that are refused or break within an answer.
func TestBrokenConnectionsAreSignsOfARestart(t *testing.T) {
	limit := trafficset.ColdLimit{Duration: 2 * time.Second, PerSecond: 12}
	for name, answer := range map[string]reply{"no answer": closeConnection, "stream": events(1, 2, false)} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, answer)
			s.withLimiter()
			guard := s.withColdLimit(limit, 0)
			_, _, _ = s.call("POST", "/stream/", "")
			require.Len(t, guard.News(false, time.Now()), 1)
		})
	}
	t.Run("refused", func(t *testing.T) {
		s := newSystem(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		require.NoError(t, listener.Close())
		s.gateway.options.Directory.ApplyList([]upstreams.Instance{{ID: "gone", Service: "s", Address: listener.Addr().String()}}, time.Now())
		s.withLimiter()
		guard := s.withColdLimit(limit, 0)
		_, _, _ = s.call("POST", "/once/", "")
		require.Len(t, guard.News(false, time.Now()), 1)
	})
}

// Guards against locks, messages and permits for services without a cold limit. Any use of the empty guard, and any permit without a limiter, panics.
func TestServiceWithoutAColdLimitIsServedAsBefore(t *testing.T) {
	for name, limit := range map[string]trafficset.ColdLimit{"no fields": {}, "no rate": {Duration: time.Second}, "no time": {PerSecond: 12}} {
		t.Run(name, func(t *testing.T) {
			s := newSystem(t, closeConnection, good)
			s.withColdLimit(limit, time.Minute, "u0", "u1")
			s.gateway.options.Cold = coldstart.New(coldstart.Options{})
			for _, path := range []string{"/safe/", "/safe/", "/safe/", "/once/"} {
				status, _, err := s.call("POST", path, "")
				require.NoError(t, err)
				require.Contains(t, []int{200, 502}, status)
			}
			require.Positive(t, s.runsAt("u1"))
			require.Empty(t, s.gateway.options.Cold.News(true, time.Now()))
		})
	}
}

// BenchmarkColdPauses measures what each choice among instances pays while the zone of some of them returns.
func BenchmarkColdPauses(b *testing.B) {
	const cold = 14
	for _, engines := range []int{15, 2600} {
		for name, limit := range map[string]trafficset.ColdLimit{"cold": {Duration: time.Hour, PerSecond: 1}, "no limit": {}} {
			b.Run(fmt.Sprintf("%s/engines-%d", name, engines), func(b *testing.B) {
				s := newSystem(b)
				var list []upstreams.Instance
				for i := range engines {
					list = append(list, upstreams.Instance{ID: fmt.Sprint("i", i), Service: "s"})
				}
				s.gateway.options.Directory.ApplyList(list, time.Now())
				s.withLimiter()
				guard := s.withColdLimit(limit, time.Hour)
				view := s.gateway.options.Directory.View()
				instances := view.OfService("s")
				for _, instance := range instances[:cold] {
					guard.Sign(instance, limit, "r", io.EOF, time.Now())
					// The second question finds the bucket empty.
					for range 2 {
						_, _ = s.gateway.options.Limiter.AcquireCold(context.Background(), instance, 1e-3, false, "r")
					}
				}
				c := &call{gateway: s.gateway, set: s.sets.Set(), route: &s.sets.Set().Routes[0], service: s.sets.Set().Service("s")}
				q := &placement.Request{}
				b.ReportAllocs()
				for b.Loop() {
					c.coldPauses(view, q, time.Now())
				}
			})
		}
	}
}
