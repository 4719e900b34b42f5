package replica

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	probeInterval = 20 * time.Millisecond
	// maxAttempts is how often a test is repeated that a stall of this process may have disturbed.
	maxAttempts = 6
)

// stallWatch measures how long messages take in this process, which shares the machine with others. Its messages go the way of those between
// members: from a loop through a sender, a connection on loopback and a receiver to the other loop, and back.
type stallWatch struct {
	longest  atomic.Int64
	stopping chan struct{}
	tasks    sync.WaitGroup
}

// end is one of the two ends of the connection.
type probeEnd struct {
	conn        net.Conn
	queue       chan struct{}
	inbox       chan struct{}
	interrupted <-chan struct{}
}

func (e *probeEnd) run(tasks *sync.WaitGroup) {
	tasks.Go(func() {
		defer func() { _ = e.conn.Close() }()
		for {
			select {
			case <-e.interrupted:
				return
			case <-e.queue:
			}
			if _, err := e.conn.Write([]byte{0}); err != nil {
				return
			}
		}
	})
	tasks.Go(func() {
		buffer := make([]byte, 1)
		for {
			if _, err := e.conn.Read(buffer); err != nil {
				return
			}
			select {
			case <-e.interrupted:
				return
			case e.inbox <- struct{}{}:
			}
		}
	})
}

// exchange sends a message and waits for the next one.
func (e *probeEnd) exchange() (interrupted bool) {
	select {
	case e.queue <- struct{}{}:
	case <-e.interrupted:
		return true
	}
	return e.await()
}

func (e *probeEnd) await() (interrupted bool) {
	select {
	case <-e.inbox:
		return false
	case <-e.interrupted:
		return true
	}
}

func watchStalls(t testing.TB) *stallWatch {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	here, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	there, err := listener.Accept()
	require.NoError(t, err)
	w := &stallWatch{stopping: make(chan struct{})}
	ends := [2]*probeEnd{}
	for i, conn := range []net.Conn{here, there} {
		ends[i] = &probeEnd{conn, make(chan struct{}), make(chan struct{}), w.stopping}
		ends[i].run(&w.tasks)
	}
	w.tasks.Go(func() {
		ticker := time.NewTicker(probeInterval)
		defer ticker.Stop()
		for last := time.Now(); ; <-ticker.C {
			interrupted := ends[0].exchange()
			w.longest.Store(max(w.longest.Load(), int64(time.Since(last))))
			if interrupted {
				return
			}
			last = time.Now()
		}
	})
	w.tasks.Go(func() {
		for interrupted := ends[1].await(); !interrupted; interrupted = ends[1].exchange() {
		}
	})
	return w
}

// end ends the measurement and returns the longest time without an answered message.
func (w *stallWatch) end() time.Duration {
	close(w.stopping)
	w.tasks.Wait()
	return time.Duration(w.longest.Load())
}

// requireUnlessStalled requires that an attempt succeeds. A member whose messages take as long as an election timeout, because its process does not
// get the processors, loses its leadership by design. An attempt that fails during which messages in this process took half of that time
// shows nothing, and is repeated; an error without such a stall, or in all attempts, fails the test.
func requireUnlessStalled(t testing.TB, election time.Duration, attempt func() error) {
	for range maxAttempts {
		watch := watchStalls(t)
		err := attempt()
		stall := watch.end()
		if err == nil {
			return
		}
		if stall < election/2 {
			require.NoError(t, err, "messages in this process took at most %v", stall)
		}
		t.Logf("repeated after %v: messages in this process took up to %v", err, stall)
	}
	require.Fail(t, "all attempts were disturbed by stalls of this process")
}
