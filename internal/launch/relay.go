package launch

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// relayChunk is the size of one forwarded read in bytes.
	relayChunk = 16 << 10
	// relayDialTimeout limits the connection to the target.
	relayDialTimeout = time.Second
)

// Relay forwards TCP connections to one target. Its links can be cut by source address: bytes are then held in the relay
// and both ends see an open connection.
type Relay struct {
	listener net.Listener
	target   string
	limiter  *rate.Limiter
	cancel   context.CancelFunc
	ctx      context.Context
	workers  sync.WaitGroup

	// mu guards the fields below; it is never held during I/O.
	mu     sync.Mutex
	cut    map[string]bool
	healed chan struct{}
	conns  map[net.Conn]struct{}
}

// allSources is the key of a cut that applies to every source address.
const allSources = "*"

// responsesTo is the prefix in the key of a cut that applies only to the direction from the target to the source.
const responsesTo = "answers to "

// NewRelay listens on address and forwards to target.
func NewRelay(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ProcessError{address, "listen on relay", err}
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		listener: listener, target: target, ctx: ctx, cancel: cancel,
		limiter: rate.NewLimiter(rate.Inf, relayChunk),
		cut:     map[string]bool{}, healed: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	r.workers.Go(r.accept)
	return r, nil
}

// Address returns the address that callers of the target use.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut holds back all bytes between the target and callers from the source IP address; "*" means all callers.
func (r *Relay) Cut(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[source] = true
}

// CutResponses holds back only the bytes that the target sends to callers from the source IP address.
func (r *Relay) CutResponses(source string) { r.Cut(responsesTo + source) }

// Heal ends all cuts and delivers the held bytes.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = map[string]bool{}
	close(r.healed)
	r.healed = make(chan struct{})
}

// Reset closes all connections at once.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// SetRate limits the sum of forwarded bytes per second in both directions; 0 removes the limit.
func (r *Relay) SetRate(bytesPerSecond float64) {
	if bytesPerSecond <= 0 {
		r.limiter.SetLimit(rate.Inf)
		return
	}
	r.limiter.SetLimit(rate.Limit(bytesPerSecond))
}

// Close stops the relay and waits for its goroutines.
func (r *Relay) Close() {
	r.cancel()
	_ = r.listener.Close()
	r.Reset()
	r.workers.Wait()
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.workers.Go(func() { r.serve(conn) })
	}
}

func (r *Relay) serve(caller net.Conn) {
	defer r.track(caller)()
	source, _, _ := net.SplitHostPort(caller.RemoteAddr().String())
	if !r.awaitLink(source) {
		return
	}
	// The connection uses the caller's IP address, so that a relay behind this one can also cut links by source.
	dialer := net.Dialer{Timeout: relayDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	target, err := dialer.DialContext(r.ctx, "tcp", r.target)
	if err != nil {
		return
	}
	defer r.track(target)()
	var copies sync.WaitGroup
	copies.Go(func() { r.copy(target, caller, source) })
	copies.Go(func() { r.copy(caller, target, responsesTo+source) })
	copies.Wait()
}

// track registers a connection for Reset and returns the function that closes and unregisters it.
func (r *Relay) track(conn net.Conn) func() {
	r.mu.Lock()
	r.conns[conn] = struct{}{}
	r.mu.Unlock()
	return func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}
}

// copy forwards bytes until one end closes; an end of input is forwarded as a half close.
func (r *Relay) copy(to, from net.Conn, source string) {
	buffer := make([]byte, relayChunk)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !r.awaitLink(source) || r.limiter.WaitN(r.ctx, n) != nil {
				return
			}
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			r.finish(to, err, source)
			return
		}
	}
}

func (r *Relay) finish(to net.Conn, err error, source string) {
	if !r.awaitLink(source) {
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
		_ = tcp.CloseWrite()
		return
	}
	_ = to.Close()
}

// awaitLink blocks while the link of the source is cut. It returns false when the relay stops.
func (r *Relay) awaitLink(source string) bool {
	for {
		r.mu.Lock()
		cut := r.cut[source] || r.cut[strings.TrimPrefix(source, responsesTo)] || r.cut[allSources]
		healed := r.healed
		r.mu.Unlock()
		if !cut {
			return r.ctx.Err() == nil
		}
		select {
		case <-healed:
		case <-r.ctx.Done():
			return false
		}
	}
}
