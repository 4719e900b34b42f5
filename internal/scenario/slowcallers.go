package scenario

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/wasabishunt/wasabishunt/internal/fleet"
)

// slowByteInterval is the pause between two bytes of a slow caller; it is shorter than each idle limit of an entry.
const slowByteInterval = 200 * time.Millisecond

// slowCallers are connections that send a request byte by byte.
type slowCallers struct {
	done sync.WaitGroup
	mu   sync.Mutex
	// durations are the times from the start of each connection until the entry closed it.
	durations []time.Duration
}

// slowcallers NAME header|body [count=N] [entry=N] [key=K]: opens raw connections that send the head, or the body, of a request so
// slowly that it never completes.
func cmdSlowCallers(ts *testscript.TestScript, neg bool, args []string) {
	s := stateOf(ts)
	o := parseOptions(ts, args, "count", "entry", "key")
	if neg || len(o.words) != 2 {
		ts.Fatalf("usage: slowcallers NAME header|body [OPTIONS]")
	}
	address := strings.TrimPrefix(s.fleet.EntryURL(o.number("entry", 1)-1), "http://")
	first := "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + o.text("key", fleet.AccountKey(0)) + "\r\n"
	if o.words[1] == "body" {
		first += "Content-Type: application/json\r\nContent-Length: 100000\r\n\r\n{"
	} else {
		first += "X-Slow: "
	}
	callers := &slowCallers{}
	s.slow[o.words[0]] = callers
	for range o.number("count", 1) {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		ts.Check(err)
		callers.done.Go(func() { s.sendSlowly(callers, conn, first) })
	}
}

// sendSlowly writes until the entry closes the connection or the script ends.
func (s *state) sendSlowly(callers *slowCallers, conn net.Conn, first string) {
	started := time.Now()
	closed := make(chan struct{})
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(closed)
		buffer := make([]byte, 1<<10)
		for {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
		}
	})
	defer reader.Wait()
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprint(conn, first)
	ticker := time.NewTicker(slowByteInterval)
	defer ticker.Stop()
	for {
		select {
		case <-closed:
			callers.add(time.Since(started))
			return
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			_, _ = conn.Write([]byte(" "))
		}
	}
}

func (c *slowCallers) add(openTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.durations = append(c.durations, openTime)
}

// turnedaway NAME DURATION: waits until the entry has closed all connections of slow callers, each within the duration.
func cmdTurnedAway(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: turnedaway NAME DURATION")
	}
	limit, err := time.ParseDuration(args[1])
	ts.Check(err)
	s := stateOf(ts)
	callers := s.slow[args[0]]
	if callers == nil {
		ts.Fatalf("no slow callers %s", args[0])
	}
	ended := make(chan struct{})
	go func() {
		callers.done.Wait()
		close(ended)
	}()
	timer := time.NewTimer(awaitTimeout)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		ts.Fatalf("an entry has not closed all connections of slow callers within %s", awaitTimeout)
	}
	callers.mu.Lock()
	defer callers.mu.Unlock()
	for _, openTime := range callers.durations {
		if openTime > limit {
			ts.Fatalf("a slow caller's connection stayed open for %s, at most %s is allowed", openTime, limit)
		}
	}
	ts.Logf("connections of slow callers %s stayed open for %v", args[0], callers.durations)
}
