package rpcpool

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a node that waits for the time limit of a dial whose first packet was lost, though the peer has started since.
func TestDialRepeatedGetsThroughOnceThePeerHasStarted(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const starts = 120 * time.Millisecond
		began := time.Now()
		conn, err := DialRepeated(t.Context(), 50*time.Millisecond, func(ctx context.Context) (net.Conn, error) {
			if time.Since(began) < starts {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			conn, _ := net.Pipe()
			return conn, nil
		})
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		require.Equal(t, 150*time.Millisecond, time.Since(began))
	})
}

// Guards against connections that stay open after another attempt has been used.
func TestDialRepeatedClosesLateConnections(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		var attempts atomic.Int64
		late, peer := net.Pipe()
		conn, err := DialRepeated(t.Context(), 50*time.Millisecond, func(context.Context) (net.Conn, error) {
			if attempts.Add(1) == 1 {
				time.Sleep(time.Second)
				return late, nil
			}
			conn, _ := net.Pipe()
			return conn, nil
		})
		require.NoError(t, err)
		require.NoError(t, conn.Close())
		_, err = peer.Read(make([]byte, 1))
		require.Error(t, err)
	})
}

// Guards against a caller that waits although the peer refuses connections, or beyond its own limit.
func TestDialRepeatedEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		refused := errors.New("refused")
		began := time.Now()
		_, err := DialRepeated(t.Context(), 50*time.Millisecond, func(context.Context) (net.Conn, error) { return nil, refused })
		require.ErrorIs(t, err, refused)
		require.Zero(t, time.Since(began))
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err = DialRepeated(ctx, 50*time.Millisecond, func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, 200*time.Millisecond, time.Since(began))
	})
}
