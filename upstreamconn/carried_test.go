package upstreamconn

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

var lastID atomic.Int64

// nextID returns an id that no other request of these tests has.
func nextID() string { return fmt.Sprint("r", lastID.Add(1)) }

// Guards against using a connection for a request id that it has carried, against opening connections without need, and against
// connections that remember ids without limit.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	u := startUpstream(t, func(net.Conn, *bufio.Reader, int) bool { return true })
	for _, repeatable := range []bool{false, true} {
		p := NewPool(Options{})
		take := func(id string) *Conn {
			conn, err := p.Get(context.Background(), id, u.Addr().String(), 0, repeatable)
			require.NoError(t, err)
			return conn
		}
		first := take("a")
		first.Release(0)
		require.Same(t, first, take("b"))
		first.Release(0)
		second := take("a")
		require.NotSame(t, first, second)
		second.Release(0)
		require.Contains(t, []*Conn{first, second}, take("c"))
		first.Close()
		second.Close()
		worn := take("r0")
		for i := 1; i < maxCarried; i++ {
			worn.Release(0)
			require.Same(t, worn, take(fmt.Sprint("r", i)))
		}
		worn.Release(0)
		fresh := take("another")
		require.NotSame(t, worn, fresh)
		fresh.Close()
	}
}
