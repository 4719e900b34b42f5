package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/bytebudget"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

const (
	testMemory   = 8 << 20
	largeBody    = 1 << 20
	largeCallers = 60
)

// newBoundedSystem returns a system that holds testMemory bytes of bodies and answers, with a second account.
func newBoundedSystem(t *testing.T, replies ...reply) *system {
	t.Helper()
	s := newSystem(t, replies...)
	s.gateway.options.Memory = bytebudget.New(testMemory)
	former := s.sets.set.Load()
	set := &trafficset.Set{
		Version: 2, Services: former.Services, Routes: former.Routes, Limits: trafficset.Limits{BodyBytes: largeBody},
		Accounts: []trafficset.Account{{Name: "acme", Keys: []string{"k"}}, {Name: "other", Keys: []string{"k2"}}},
	}
	require.NoError(t, set.Build())
	s.sets.set.Store(set)
	return s
}

// watchMemory returns a function that ends the watch and returns the most bytes that were held.
func (s *system) watchMemory() func() int64 {
	var most atomic.Int64
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Microsecond):
				most.Store(max(most.Load(), s.gateway.options.Memory.Used()))
			}
		}
	}()
	return func() int64 { close(done); <-ended; return most.Load() }
}

// Guards against many large bodies at once that exceed the memory of the process, against a refusal that is no promise or gives no time, and
// against one account whose large bodies keep the small ones of another out.
func TestManyLargeBodiesAreBounded(t *testing.T) {
	release := make(chan struct{})
	s := newBoundedSystem(t, func(conn net.Conn, r *http.Request, instance string) bool {
		<-release
		return good(conn, r, instance)
	})
	most := s.watchMemory()
	statuses := make([]int, largeCallers)
	retryAfter := make([]string, largeCallers)
	var calls sync.WaitGroup
	for i := range statuses {
		calls.Go(func() {
			response, err := s.front.Client().Do(s.request("POST", "/once/", strings.Repeat("x", largeBody), func(r *http.Request) { r.Header.Set("Id", fmt.Sprint(i)) }))
			if err == nil {
				statuses[i], retryAfter[i] = response.StatusCode, response.Header.Get("Retry-After")
				_ = response.Body.Close()
			}
		})
	}
	require.Eventually(t, func() bool { return len(s.startedRuns()) >= 4 && s.gateway.Active() == len(s.startedRuns()) }, 10*time.Second, time.Millisecond)
	small := make(chan int, 1)
	go func() {
		status, _, _ := s.call("POST", "/once/", "x", func(r *http.Request) { r.Header.Set("Key", "k2"); r.Header.Set("Id", "small") })
		small <- status
	}()
	running := len(s.startedRuns())
	require.Eventually(t, func() bool { return len(s.startedRuns()) > running }, time.Second, time.Millisecond)
	close(release)
	calls.Wait()
	require.Equal(t, http.StatusOK, <-small)
	served := 0
	for i, status := range statuses {
		switch status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			seconds, err := strconv.ParseFloat(retryAfter[i], 64)
			require.NoError(t, err)
			require.Positive(t, seconds)
		default:
			require.Fail(t, "no answer, or another one", "status %d", status)
		}
	}
	require.GreaterOrEqual(t, served, 4)
	require.LessOrEqual(t, most(), int64(testMemory))
	require.Zero(t, s.gateway.options.Memory.Used())
}

// Guards against a faulty instance whose answers to many requests exceed the memory of the process, although each alone is within its
// limit.
func TestManyEndlessAnswersAreBounded(t *testing.T) {
	var written atomic.Int64
	head := func(r *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\n\r\n", r.Header.Get("Id"))
	}
	for _, path := range []string{"/once/", "/stream/"} {
		s := newBoundedSystem(t, endlessReply("x", head, &written))
		most := s.watchMemory()
		var calls sync.WaitGroup
		for i := range largeCallers {
			calls.Go(func() {
				status, _, err := s.call("POST", path, "", func(r *http.Request) { r.Header.Set("Id", fmt.Sprint(i)) })
				require.NoError(t, err)
				require.GreaterOrEqual(t, status, http.StatusInternalServerError)
			})
		}
		calls.Wait()
		held := most()
		require.LessOrEqual(t, held, int64(testMemory))
		require.Greater(t, held, int64(largeBody), "answers count")
		require.Zero(t, s.gateway.options.Memory.Used())
	}
}
