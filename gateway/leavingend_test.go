package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// departure is how an instance leaves the list while it answers, and what is left of it at the end of its answer.
type departure struct {
	// relist returns the list after the instance began to answer.
	relist func(instance upstreams.Instance) []upstreams.Instance
	// end ends the instance, nil if it goes on.
	end func(e *crashingEngine, conn net.Conn)
	// complete is set if the answer is whole.
	complete bool
}

func draining(i upstreams.Instance) []upstreams.Instance {
	i.Draining = true
	return []upstreams.Instance{i}
}

func unlisted(upstreams.Instance) []upstreams.Instance { return nil }

func ready(i upstreams.Instance) []upstreams.Instance { return []upstreams.Instance{i} }

// replaced lists another incarnation at the same address.
func replaced(i upstreams.Instance) []upstreams.Instance {
	i.Born++
	return []upstreams.Instance{i}
}

func endAtOnce(e *crashingEngine, _ net.Conn) { e.crash() }

// endConnectionFirst closes the connection of the answer before the listener.
func endConnectionFirst(e *crashingEngine, conn net.Conn) {
	_ = conn.Close()
	time.AfterFunc(leavingProbeDelay/10, e.crash)
}

var departures = map[string]departure{
	"draining, ends":                       {draining, endAtOnce, false},
	"draining, ends its connections first": {draining, endConnectionFirst, false},
	"draining, goes on":                    {draining, nil, true},
	"no longer listed, ends":               {unlisted, endAtOnce, false},
	"no longer listed, goes on":            {unlisted, nil, true},
	"another instance at its address":      {replaced, nil, false},
	"ready, ends":                          {ready, endAtOnce, false},
	"ready, goes on":                       {ready, nil, true},
}

const unframedHead = "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\n\r\n"

// newDepartingSystem returns a system whose first answer is one without length and chunks, at an instance that leaves meanwhile. Another
// instance then goes on with what can be repeated.
func newDepartingSystem(t *testing.T, d departure, body string) *crashSystem {
	s := newCrashSystem(t, 2, nil)
	var begun atomic.Bool
	for _, e := range s.engines {
		e.answer = func(conn net.Conn, r *http.Request, instance string) bool {
			if begun.Swap(true) {
				if strings.HasPrefix(r.URL.Path, "/resume/") {
					return events(1, 3, true)(conn, r, instance)
				}
				return good(conn, r, instance)
			}
			_, _ = fmt.Fprintf(conn, unframedHead+"%s", r.Header.Get("Id"), body)
			directory := s.gateway.options.Directory
			var list []upstreams.Instance
			for _, i := range directory.View().Instances {
				if i.ID == e.id {
					list = append(list, d.relist(i)...)
				} else {
					list = append(list, i)
				}
			}
			directory.ApplyList(list, time.Now())
			if d.end != nil {
				d.end(e, conn)
			}
			return false
		}
	}
	return s
}

// Guards against a part of an answer without length and chunks that callers take for all of it, because its instance was about to leave
// and ended within it, and against cutting such an answer of an instance that goes on.
func TestAnswersWithoutLengthOfLeavingInstances(t *testing.T) {
	for name, d := range departures {
		for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				s := newDepartingSystem(t, d, twoEvents)
				response, err := s.front.Client().Do(s.request("POST", path, ""))
				require.NoError(t, err)
				defer func() { _ = response.Body.Close() }()
				body, err := io.ReadAll(response.Body)
				switch {
				case d.complete:
					require.NoError(t, err)
					require.Equal(t, 200, response.StatusCode)
					require.Equal(t, twoEvents, string(body))
				case path == "/once/":
					require.Equal(t, 502, response.StatusCode)
					require.Contains(t, string(body), "unknown", "it may have run")
				case path == "/safe/":
					require.NoError(t, err)
					require.Equal(t, 200, response.StatusCode)
					require.Contains(t, string(body), "from e", "the answer of the other instance")
				case path == "/stream/":
					require.Error(t, err, "the caller's connection is cut")
					require.Equal(t, twoEvents, string(body))
				case path == "/resume/":
					require.NoError(t, err)
					require.Equal(t, twoEvents+lastEvent, string(body))
				}
			})
		}
	}
}

// Guards against losing a whole answer of an instance that ends right after it, where the stream can be resumed: another instance has
// nothing left to send.
func TestWholeStreamOfAnInstanceThatEnds(t *testing.T) {
	s := newDepartingSystem(t, departures["draining, ends"], twoEvents+lastEvent)
	status, body, err := s.call("POST", "/resume/", "")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, twoEvents+lastEvent, body)
}

// Guards against taking an answer for whole because the VM of its leaving instance is gone and refuses nothing, and against cutting the
// answer of a sound instance whose VM cannot be reached for a moment.
func TestAnswerOfAnInstanceWithoutVM(t *testing.T) {
	s := newCrashSystem(t, 1, good)
	instance := *s.gateway.options.Directory.View().OfService("s")[0]
	d := s.gateway.crashes
	silent := &crashCheck{startedAt: time.Now().Add(time.Minute), done: make(chan struct{})}
	close(silent.done)
	d.checks[instance.Key()] = silent
	require.False(t, d.begin(&instance, "r", nil).wasCutOff())
	s.gateway.options.Directory.ApplyList(draining(instance), time.Now())
	require.True(t, d.begin(&instance, "r", nil).wasCutOff())
}
