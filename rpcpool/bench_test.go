package rpcpool_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

type statusServer struct {
	agentpb.DRPCAgentUnimplementedServer
}

// Status answers at once.
func (*statusServer) Status(context.Context, *agentpb.StatusRequest) (*agentpb.UpstreamLoad, error) {
	return &agentpb.UpstreamLoad{}, nil
}

func serveStatus(b *testing.B) string {
	mux := drpcmux.New()
	require.NoError(b, agentpb.DRPCRegisterAgent(mux, &statusServer{}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- drpcserver.New(mux).Serve(ctx, listener) }()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	return listener.Addr().String()
}

// BenchmarkCall compares calls over a pooled connection with a connection for each call. It guards against a pool
// that dials although a connection is idle.
func BenchmarkCall(b *testing.B) {
	address := serveStatus(b)
	call := func(conn drpc.Conn) {
		_, err := agentpb.NewDRPCAgentClient(conn).Status(context.Background(), &agentpb.StatusRequest{})
		require.NoError(b, err)
		require.NoError(b, conn.Close())
	}
	b.Run("pooled", func(b *testing.B) {
		pool := rpcpool.New(rpcpool.Options{})
		defer func() { require.NoError(b, pool.Close()) }()
		for b.Loop() {
			call(pool.Get(context.Background(), address))
		}
	})
	b.Run("dialed", func(b *testing.B) {
		for b.Loop() {
			conn, err := rpcpool.Dial(context.Background(), address, time.Second)
			require.NoError(b, err)
			call(conn)
		}
	})
}
