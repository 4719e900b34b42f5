package capacity

import (
	"net"
	"sync/atomic"
)

// traffic counts the bytes of connections. TCP and IP headers are not counted.
type traffic struct{ received, sent atomic.Int64 }

func (t *traffic) total() float64 { return float64(t.received.Load() + t.sent.Load()) }

// countingListener counts the bytes of the connections it accepts.
type countingListener struct {
	net.Listener
	traffic *traffic
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.traffic}, nil
}

type countingConn struct {
	net.Conn
	traffic *traffic
}

// Read implements net.Conn.
func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.traffic.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.sent.Add(int64(n))
	return n, err
}
