package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

func pauseOf(r *http.Response) time.Duration {
	ms, _ := strconv.Atoi(r.Header.Get("Pause"))
	return time.Duration(ms) * time.Millisecond
}

func pauseHeader(pause time.Duration) string {
	return "Pause: " + strconv.FormatInt(pause.Milliseconds(), 10) + "\r\n"
}

// pausing rejects a request and all others for a while.
func pausing(pause time.Duration) reply { return answers(503, "Not-Run: 1\r\n"+pauseHeader(pause)) }

// Guards against requests to an instance that wants none for a while, also if it is the last one that has not failed, and
// against one that gets none afterwards. The pause begins once the node has read the answer, so the instance measures a time that is never shorter:
// a busy machine may delay a request beyond the end of the pause, and then it may reach the instance.
func TestPausedInstanceGetsNoRequestsUntilTheEnd(t *testing.T) {
	const pause = 400 * time.Millisecond
	for name, c := range map[string]struct {
		first  reply
		other  reply
		status []int
	}{
		"another one serves":     {pausing(pause), good, []int{200}},
		"unclear rejection":      {answers(503, pauseHeader(pause)), good, []int{200}},
		"another one fails":      {pausing(pause), failing, []int{500, 502}},
		"another one rejects":    {pausing(pause), full, []int{429, 503}},
		"another one hangs up":   {pausing(pause), closeConnection, []int{502}},
		"another one also wants": {pausing(pause), pausing(time.Hour), []int{429, 503}},
	} {
		t.Run(name, func(t *testing.T) {
			// arrivals holds when requests arrived at the instance, as Unix ns.
			arrivals := make(chan int64, 1000)
			answer := firstThen(c.first, good)
			s := newSystem(t, func(conn net.Conn, r *http.Request, instance string) bool {
				arrivals <- time.Now().UnixNano()
				return answer(conn, r, instance)
			}, c.other)
			s.extendTime()
			first := s.instances()
			_, _, err := s.call("POST", "/once/", "")
			require.NoError(t, err)
			require.Equal(t, 1, s.runsAt("u0"), "the instance wants none")
			began := time.Now()
			for number := 0; time.Since(began) < pause-100*time.Millisecond; number++ {
				s.applyList(first, func(i *upstreams.Instance) bool { return i.ID != "u0" || number%2 == 1 })
				path := []string{"/safe/", "/once/", "/resume/"}[number%3]
				status, _, err := s.call("POST", path, "")
				if err == nil && s.runsAt("u0") == 1 {
					require.Contains(t, c.status, status)
				}
			}
			s.applyList(first, func(*upstreams.Instance) bool { return true })
			require.Eventually(t, func() bool {
				_, _, err := s.call("POST", "/safe/", "")
				return err == nil && s.runsAt("u0") > 1
			}, 5*time.Second, 20*time.Millisecond, "the instance gets no requests after the pause")
			paused := time.Duration(-<-arrivals + <-arrivals)
			require.GreaterOrEqual(t, paused, pause, "a request reached an instance that wants none")
		})
	}
}

// Guards against a restarted instance without requests, because its earlier incarnation wanted none.
func TestRestartEndsAPause(t *testing.T) {
	s := newSystem(t, firstThen(pausing(time.Hour), good))
	first := s.instances()
	_, _, err := s.call("POST", "/once/", "")
	require.NoError(t, err)
	s.applyList(first, func(i *upstreams.Instance) bool { i.Born = 2; return true })
	status, _, err := s.call("POST", "/once/", "")
	require.NoError(t, err)
	require.Equal(t, 200, status)
}

// Guards against a send to an instance that began to want no requests while a connection to it was opened.
func TestPauseBeginsWhileAConnectionIsOpened(t *testing.T) {
	s := newSystem(t, good, good)
	paused := s.instances()[0]
	s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if address == paused.Address {
			s.gateway.options.Tracker.Pause(&paused, time.Hour, time.Now())
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}})
	s.requireServedBy("u1", "after the connection was opened")
	require.Zero(t, s.runsAt("u0"), "a request reached an instance that wants none")
}

// Guards against a caller that waits for an instance that takes no requests, and against advice to come back too early, or
// later than the caller honours.
func TestAdviceWhileAllInstancesArePaused(t *testing.T) {
	for name, c := range map[string]struct {
		pauses   []time.Duration
		deadline string
		want     time.Duration
	}{
		"until the end":            {[]time.Duration{1500 * time.Millisecond}, "30000", 1500 * time.Millisecond},
		"the earliest end":         {[]time.Duration{1800 * time.Millisecond, 900 * time.Millisecond}, "30000", 900 * time.Millisecond},
		"as many as are tried":     {[]time.Duration{1800 * time.Millisecond, 900 * time.Millisecond, 1700 * time.Millisecond}, "30000", 900 * time.Millisecond},
		"a third of the time left": {[]time.Duration{1500 * time.Millisecond}, "1500", 500 * time.Millisecond},
		"a long pause":             {[]time.Duration{time.Hour}, "30000", maxPauseAdvice},
	} {
		t.Run(name, func(t *testing.T) {
			var replies []reply
			for _, pause := range c.pauses {
				replies = append(replies, pausing(pause))
			}
			s := newSystem(t, replies...)
			for range 2 {
				began := time.Now()
				response, err := s.front.Client().Do(s.request("POST", "/once/", "", func(r *http.Request) { r.Header.Set("Deadline", c.deadline) }))
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				require.Contains(t, []int{429, 503}, response.StatusCode)
				seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.InDelta(t, c.want.Seconds(), seconds, 0.2, "advice of a node whose instances all want no requests")
				require.Less(t, time.Since(began), 250*time.Millisecond, "refused at once")
			}
			require.Len(t, s.startedRuns(), len(c.pauses))
		})
	}
}

// Guards against ending a slow stream although no other instance takes requests.
func TestStreamStaysWhileTheOthersArePaused(t *testing.T) {
	s := newSystem(t, paced(minStallTimeout+200*time.Millisecond, "id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n"), good)
	s.extendTime()
	other := s.instances()[1]
	s.gateway.options.Tracker.Pause(&other, time.Hour, time.Now())
	status, body, err := s.call("POST", "/resume/", "")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Contains(t, body, "id: 2\n")
	require.Len(t, s.startedRuns(), 1)
}
