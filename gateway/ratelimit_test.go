package gateway

import (
	"context"
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

	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreamlimit"
)

// limitSettled is how long before the tests the only node was first listed: it hands out whole limits.
const limitSettled = time.Minute

// withLimiter gives the gateway of a system the limiter of the only node.
func (s *system) withLimiter() {
	now := time.Now()
	l := upstreamlimit.New(upstreamlimit.Options{Self: "10.0.0.1:7000", Log: zap.NewNop(), Metrics: gometrics.NewRegistry()})
	l.SetNodes([]string{"10.0.0.1:7000"}, now.Add(-limitSettled))
	// In contact with the leader since long ago, and for the time of the test.
	for at := -limitSettled; at <= limitSettled; at += time.Second {
		l.Confirm(s.gateway.options.Directory.View(), now.Add(at))
	}
	s.gateway.options.Limiter = l
}

func limited(perSecond string) reply { return answers(200, "Limit: "+perSecond+"\r\n") }

// Guards against requests that exceed the limit of an instance, and against refused requests that another instance could take.
func TestInstanceWithALimitGetsNoMoreThanThat(t *testing.T) {
	s := newSystem(t, limited("2"), good)
	s.withLimiter()
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
		for _, path := range []string{"/safe/", "/once/", "/stream/"} {
			status, _, err := s.call("POST", path, "")
			require.NoError(t, err)
			require.Equal(t, 200, status)
		}
		time.Sleep(5 * time.Millisecond)
	}
	// The first request, which learns of the limit, and two a second.
	require.LessOrEqual(t, s.runsAt("u0"), 1+3)
	require.GreaterOrEqual(t, s.runsAt("u0"), 2, "the limit is used")
	require.Greater(t, s.runsAt("u1"), 30)
}

// Guards against requests that wait, or fail as if they may have run, because all instances of a service are at their limits.
func TestRequestBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	s := newSystem(t, limited("0"))
	s.withLimiter()
	status, _, err := s.call("POST", "/once/", "")
	require.NoError(t, err)
	require.Equal(t, 200, status, "the limit is not known yet")
	for _, path := range []string{"/once/", "/safe/", "/stream/"} {
		began := time.Now()
		response, err := http.DefaultClient.Do(s.request("POST", path, ""))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, 503, response.StatusCode)
		retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.InDelta(t, 0.5, retryAfter, 0.02, "the next permit comes after seconds, and a third of the time is left for the return")
		require.Less(t, time.Since(began), 300*time.Millisecond)
	}
	require.Equal(t, 1, s.runsAt("u0"))
}

// Guards against requests that exceed a limit together, because they got their permits, or needed none yet, while their connections were opened.
func TestPermitIsValidWhenTheRequestIsSent(t *testing.T) {
	const perSecond, openingTime = 40, time.Second
	for name, namedAfter := range map[string]time.Duration{"limit before": 0, "limit meanwhile": openingTime} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, limited(strconv.Itoa(perSecond)))
			s.withLimiter()
			open := make(chan struct{})
			s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{DialTimeout: 2 * openingTime, Dial: func(ctx context.Context, address string) (net.Conn, error) {
				<-open
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}})
			name := func() {
				now := time.Now()
				s.gateway.options.Limiter.Named(&s.instances()[0], perSecond, now, "test", now)
			}
			if namedAfter == 0 {
				name()
			}
			var calls sync.WaitGroup
			for end := time.Now().Add(openingTime); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				calls.Go(func() { _, _, _ = s.call("POST", "/once/", "") })
			}
			if namedAfter > 0 {
				name()
			}
			close(open)
			opened := time.Now()
			calls.Wait()
			// The permits of the last 250 ms, those that the owner keeps, and one in each 25 ms since.
			require.LessOrEqual(t, s.runsAt("u0"), 10+10+2+int(perSecond*time.Since(opened).Seconds()))
			require.Eventually(t, func() bool {
				status, _, err := s.call("POST", "/once/", "")
				return err == nil && status == 200
			}, time.Second, 10*time.Millisecond, "the limit is used")
		})
	}
}

// Guards against an instance that stays out of use after its limit, one of 0 as well, has ended, and against an unsigned answer that ends it.
func TestLimitEndsWithASignedAnswerWithoutOne(t *testing.T) {
	var mode atomic.Pointer[reply]
	set := func(r reply) { mode.Store(&r) }
	set(limited("4"))
	s := newSystem(t, func(conn net.Conn, r *http.Request, instance string) bool { return (*mode.Load())(conn, r, instance) })
	s.withLimiter()
	served := func() int {
		served := 0
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if status, _, err := s.call("POST", "/once/", ""); err == nil && status == 200 {
				served++
			}
		}
		return served
	}
	served()
	require.LessOrEqual(t, served(), 6)
	set(func(conn net.Conn, r *http.Request, _ string) bool { return answerText(conn, r, 500, "", "broken") })
	sent := s.runsAt("u0")
	served()
	require.LessOrEqual(t, s.runsAt("u0")-sent, 6, "an unsigned answer has ended the limit")
	set(limited("4"))
	require.LessOrEqual(t, served(), 6)
	set(good)
	served()
	require.Greater(t, served(), 40)
}

// Guards against urgent requests that are refused because others take all permits of an instance.
func TestUrgentRequestsGetThePermits(t *testing.T) {
	const perSecond, floodTime = 10, 3 * time.Second
	s := newSystem(t, limited(strconv.Itoa(perSecond)))
	s.withLimiter()
	for i := range s.sets.Set().Routes {
		if r := &s.sets.Set().Routes[i]; r.Prefix == "/safe/" {
			r.Priority = 1
		}
	}
	_, _, _ = s.call("POST", "/once/", "")
	var flood sync.WaitGroup
	defer flood.Wait()
	var served atomic.Int64
	end := time.Now().Add(floodTime)
	for range 4 {
		flood.Go(func() {
			for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if status, _, err := s.call("POST", "/safe/", ""); err == nil && status == 200 {
					served.Add(1)
				}
			}
		})
	}
	urgent, refused := 0, 0
	for time.Sleep(floodTime / 6); time.Now().Before(end); time.Sleep(time.Second / 4) {
		urgent++
		if status, _, err := s.call("POST", "/once/", ""); err != nil || status != 200 {
			refused++
		}
	}
	flood.Wait()
	require.LessOrEqual(t, refused, urgent/5, "of %d urgent requests", urgent)
	require.Greater(t, int(served.Load()), perSecond, "other requests get the rest of 10 permits a second in 3 s")
	require.LessOrEqual(t, s.runsAt("u0"), 1+perSecond*int(floodTime/time.Second)+5)
}
