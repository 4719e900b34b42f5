// Package upstreamconn exchanges HTTP/1.1 requests with upstreams and pools the connections.
//
// This package never sends a request twice. It reuses a connection only after a complete answer that belongs to its request
// and that is not followed by further bytes.
package upstreamconn

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/duplexconn"
)

// Options of a Pool.
type Options struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// IdleLimit is the idle time up to which a connection is used for a request that must not be sent twice. Upstreams drop
	// idle connections without notice; it is unknown whether a request sent on such a connection ran.
	IdleLimit time.Duration
	// LongIdleLimit is the same limit for repeatable requests, if the upstream promised to keep the connection.
	LongIdleLimit time.Duration
	// MaxIdle limits the idle connections to one address.
	MaxIdle int
	// MaxHeadBytes limits the head of an answer, because a faulty upstream may send an endless one.
	MaxHeadBytes int64
	// Dial opens a connection; default is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Now  func() time.Time
}

// Defaults of Options.
const (
	// defaultDialTimeout is far above the 3 ms round trip between availability zones and below the first retransmission of
	// a lost SYN after 1 s. A VM that has used up its CPU quota may be paused for 100 ms.
	defaultDialTimeout = 150 * time.Millisecond
	defaultIdleLimit   = 3 * time.Second
	// defaultLongIdleLimit is above the 4 s between two requests from one of 28 nodes to one of 47 engines.
	defaultLongIdleLimit = 8 * time.Second
	// promisedShare is the part of the idle time promised by an upstream after which a connection is no longer used.
	promisedShare  = 2.0 / 3
	defaultMaxIdle = 16
	// defaultMaxHeadBytes is four times the limit for the head of a caller's request.
	defaultMaxHeadBytes = 64 << 10
	keepAlivePeriod     = time.Second
	// bufferBytes is the size of the read buffer and of the write buffer of a connection.
	bufferBytes = 4 << 10
)

// Pool keeps idle connections by address. Pool.mu is a leaf lock: no other lock is acquired while it is held.
type Pool struct {
	options Options

	mu    sync.Mutex
	idle  map[string][]*Conn // By address, longest idle first.
	open  map[string]int     // Number of open connections by address.
	swept time.Time          // Time of the last sweep.
}

// NewPool returns a Pool with defaults for unset options.
func NewPool(options Options) *Pool {
	if options.DialTimeout == 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.IdleLimit == 0 {
		options.IdleLimit = defaultIdleLimit
	}
	if options.LongIdleLimit == 0 {
		options.LongIdleLimit = defaultLongIdleLimit
	}
	if options.MaxIdle == 0 {
		options.MaxIdle = defaultMaxIdle
	}
	if options.MaxHeadBytes == 0 {
		options.MaxHeadBytes = defaultMaxHeadBytes
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Dial == nil {
		dialer := &net.Dialer{Control: setUserTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: 3}}
		options.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Pool{options: options, idle: map[string][]*Conn{}, open: map[string]int{}}
}

// Conn is one connection, used by one request at a time.
type Conn struct {
	pool    *Pool
	address string
	raw     net.Conn
	// duplex reads and writes raw.
	duplex  *duplexconn.Conn
	limited *limitedReader
	reader  *bufio.Reader
	// keepUntil is when the idle connection expires, freshUntil when it becomes too old for requests that must not be sent
	// twice.
	keepUntil, freshUntil time.Time
	// carried holds the hashes of the ids of the requests that the connection was used for.
	carried []uint64
	// followsBreak is set if an idle connection to the address had ended when this one was opened, and openedWarm by SetOpenedWarm.
	followsBreak, openedWarm bool
	closeOnce                sync.Once
}

// Open opens a new connection.
func (p *Pool) Open(ctx context.Context, address string) (*Conn, error) {
	return p.dial(ctx, address, 0)
}

// takeIdle removes and returns a usable idle connection: the one that was idle longest for a repeatable request, otherwise the
// newest one if it is fresh enough. It returns nil if there is none.
func (p *Pool) takeIdle(address string, repeatable bool, usable func(*Conn) bool) *Conn {
	now := p.options.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	list := p.idle[address]
	for len(list) > 0 && !now.Before(list[0].keepUntil) {
		go list[0].Close()
		list = list[1:]
	}
	at := -1
	for i, conn := range list {
		if usable(conn) && (repeatable || now.Before(conn.freshUntil)) {
			if at = i; repeatable {
				break
			}
		}
	}
	var conn *Conn
	if at >= 0 {
		conn = list[at]
		list = slices.Delete(list, at, at+1)
	}
	p.idle[address] = list
	return conn
}

// sweep closes the expired idle connections of all addresses, at most once per LongIdleLimit.
func (p *Pool) sweep(now time.Time) {
	if now.Sub(p.swept) < p.options.LongIdleLimit {
		return
	}
	p.swept = now
	for address, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if now.Before(conn.keepUntil) {
				kept = append(kept, conn)
			} else {
				go conn.Close()
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

func (p *Pool) dial(ctx context.Context, address string, limit int) (*Conn, error) {
	p.mu.Lock()
	if list := p.idle[address]; limit > 0 && p.open[address] >= limit && len(list) > 0 {
		// Close an idle connection that is too old for this request, to stay within the limit.
		p.idle[address] = list[1:]
		p.mu.Unlock()
		list[0].Close()
		p.mu.Lock()
	}
	if limit > 0 && p.open[address] >= limit {
		p.mu.Unlock()
		return nil, failure.New(failure.Overloaded, failure.NotRun, "connection limit reached: %d connections to %s are open", limit, address)
	}
	p.open[address]++
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.options.Dial(ctx, address)
	if err != nil {
		p.countClosed(address)
		return nil, failure.Wrap(err, failure.UpstreamFailed, failure.NotRun, "open a connection to %s", address)
	}
	duplex := duplexconn.New(raw)
	limited := &limitedReader{inner: duplex}
	return &Conn{pool: p, address: address, raw: raw, duplex: duplex, limited: limited, reader: bufio.NewReaderSize(limited, bufferBytes)}, nil
}

// countClosed subtracts a connection from the open ones.
func (p *Pool) countClosed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// alive reports whether the idle connection is open and no unexpected bytes have arrived on it. It does not block.
func (c *Conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return !readable(c.raw)
}

// Close ends the connection.
func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		_ = c.raw.Close()
		c.pool.countClosed(c.address)
	})
}

// Release returns the connection to the pool after a complete answer. It closes the connection if further bytes have arrived.
// promised is the time for which the upstream promised to keep the idle connection, 0 if it did not promise any.
func (c *Conn) Release(promised time.Duration) {
	fresh := c.pool.options.IdleLimit
	long := fresh
	if promised > 0 {
		usable := time.Duration(promisedShare * float64(promised))
		fresh, long = min(fresh, usable), min(c.pool.options.LongIdleLimit, usable)
	}
	now := c.pool.options.Now()
	c.freshUntil, c.keepUntil = now.Add(fresh), now.Add(long)
	c.keep(false)
}

// PutBack returns a connection of Get to the pool on which no request was sent. At the upstream its idle time goes on.
func (c *Conn) PutBack() {
	if c.keepUntil.IsZero() {
		c.Release(0)
		return
	}
	c.keep(true)
}

// keep adds the connection to the idle ones, as the one that was idle longest or shortest.
func (c *Conn) keep(longest bool) {
	if c.isWornOut() || c.reader.Buffered() > 0 || readable(c.raw) {
		c.Close()
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	list := c.pool.idle[c.address]
	if len(list) >= c.pool.options.MaxIdle {
		go c.Close()
		return
	}
	at := len(list)
	if longest {
		at = 0
	}
	c.pool.idle[c.address] = slices.Insert(list, at, c)
}
