// Package rpcpool provides bounded pools of drpc connections, one pool per remote address. A drpc connection carries one
// call or stream at a time, so each concurrent call uses a separate connection.
package rpcpool

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcstream"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
)

// Options limits a Pool.
type Options struct {
	// Capacity is the number of idle connections kept over all addresses; default 256.
	Capacity int
	// KeyCapacity is the number of idle connections kept per address; default 8.
	KeyCapacity int
	// Expiration is how long a connection may be idle before it is closed; default 60 s.
	Expiration time.Duration
	// DialTimeout limits connection set-up; default 1 s.
	DialTimeout time.Duration
	// LocalIP is the source address of connections; default: chosen by the kernel. On a VM with several addresses it is
	// set to the address under which other processes know this process.
	LocalIP string
	// MaxBufferBytes limits the frame size and the size of each write buffer that a connection keeps after a call, in
	// bytes; by default an idle connection keeps the buffers of its largest message.
	MaxBufferBytes int
}

// Pool provides connections by address.
type Pool struct {
	pool    *drpcpool.Pool[string, drpcpool.Conn]
	options Options
}

// New returns a Pool with defaults for unset options.
func New(options Options) *Pool {
	defaults.Set(&options.Capacity, 256)
	defaults.Set(&options.KeyCapacity, 8)
	defaults.Set(&options.Expiration, time.Minute)
	defaults.Set(&options.DialTimeout, time.Second)
	pool := drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
		Expiration:  options.Expiration,
		Capacity:    options.Capacity,
		KeyCapacity: options.KeyCapacity,
	})
	return &Pool{pool: pool, options: options}
}

// Get returns a connection that is dialed on its first use. The caller closes it to return it to the pool.
func (p *Pool) Get(ctx context.Context, address string) drpc.Conn {
	return p.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		raw, err := DialTCP(ctx, p.options.LocalIP, address, p.options.DialTimeout)
		if err != nil {
			return nil, err
		}
		return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: drpcmanager.Options{
			Stream: drpcstream.Options{SplitSize: p.options.MaxBufferBytes, MaximumBufferSize: p.options.MaxBufferBytes},
		}}), nil
	})
}

// Close closes all idle connections.
func (p *Pool) Close() error { return p.pool.Close() }

// Dial opens one connection outside of any pool. A dial error means that nothing of a call was sent.
func Dial(ctx context.Context, address string, timeout time.Duration) (*drpcconn.Conn, error) {
	return DialFrom(ctx, "", address, timeout)
}

// DialFrom is Dial with a source IP address; if it is empty, the kernel chooses one.
func DialFrom(ctx context.Context, localIP, address string, timeout time.Duration) (*drpcconn.Conn, error) {
	raw, err := DialTCP(ctx, localIP, address, timeout)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(raw), nil
}

// DialTCP opens a connection for callers that wrap it before they use drpc on it.
func DialTCP(ctx context.Context, localIP, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: 5 * time.Second}
	if localIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(localIP)}
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.NoUpstream, failure.NotRun, "connect to %s", address)
	}
	return raw, nil
}
