package rpcpool_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"syscall"
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
	// release, when closed, ends all streams; if it is nil they end immediately.
	release chan struct{}
}

// Status answers immediately.
func (*statusServer) Status(context.Context, *agentpb.StatusRequest) (*agentpb.UpstreamLoad, error) {
	return &agentpb.UpstreamLoad{}, nil
}

// Generate sends one event and waits until the streams are released.
func (s *statusServer) Generate(_ *agentpb.GenerateRequest, stream agentpb.DRPCAgent_GenerateStream) error {
	err := stream.Send(&agentpb.GenerateEvent{})
	if s.release != nil {
		<-s.release
	}
	return err
}

func serveStatus(b *testing.B, release chan struct{}) string {
	mux := drpcmux.New()
	require.NoError(b, agentpb.DRPCRegisterAgent(mux, &statusServer{release: release}))
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

// BenchmarkCall compares calls over a pooled connection with calls that dial a new connection each. It guards against a
// pool that dials although a connection is idle.
func BenchmarkCall(b *testing.B) {
	address := serveStatus(b, nil)
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

// generate makes one streamed call with a prompt of the given size.
func generate(b *testing.B, pool *rpcpool.Pool, address string, promptBytes int) {
	conn := pool.Get(context.Background(), address)
	stream, err := agentpb.NewDRPCAgentClient(conn).Generate(context.Background(), &agentpb.GenerateRequest{Prompt: strings.Repeat("x", promptBytes)})
	require.NoError(b, err)
	_, err = stream.Recv()
	require.NoError(b, err)
	_, err = stream.Recv()
	require.Error(b, err, "end of the stream")
	require.NoError(b, stream.Close())
	require.NoError(b, conn.Close())
}

// BenchmarkStream compares the wall-clock and CPU time of a streamed call, both ends included, over an idle connection
// with those over a newly dialed one. It guards against a connection set-up that costs more than the call.
func BenchmarkStream(b *testing.B) {
	address := serveStatus(b, nil)
	run := func(pooled bool, prompt, bufferBytes int) {
		b.Run(fmt.Sprintf("pooled=%t/prompt=%d/keep=%d", pooled, prompt, bufferBytes), func(b *testing.B) {
			pool := rpcpool.New(rpcpool.Options{KeepBuffer: bufferBytes})
			used := cpuTime(b)
			for b.Loop() {
				generate(b, pool, address, prompt)
				if !pooled {
					require.NoError(b, pool.Close())
					pool = rpcpool.New(rpcpool.Options{KeepBuffer: bufferBytes})
				}
			}
			b.ReportMetric(float64((cpuTime(b)-used).Microseconds())/float64(b.N), "cpu-us/op")
			require.NoError(b, pool.Close())
		})
	}
	for _, pooled := range []bool{true, false} {
		run(pooled, 2000, 0)
		run(pooled, 100_000, 0)
		run(pooled, 100_000, 8<<10)
	}
}

// BenchmarkIdleConnections measures the live heap and stack bytes of an idle connection after one call, both ends
// included. It guards against idle connections that retain the memory of their last call.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 2600
	for _, prompt := range []int{2000, 100_000} {
		for _, bufferBytes := range []int{0, 8 << 10} {
			b.Run(fmt.Sprintf("prompt=%d/keep=%d", prompt, bufferBytes), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(idleBytes(b, connections, prompt, bufferBytes), "bytes/connection")
				}
			})
		}
	}
}

// idleBytes returns the live bytes per idle connection. It keeps all streams open until each has its own connection.
func idleBytes(b *testing.B, count, prompt, bufferBytes int) float64 {
	release := make(chan struct{})
	address := serveStatus(b, release)
	pool := rpcpool.New(rpcpool.Options{Capacity: count, KeyCapacity: count, KeepBuffer: bufferBytes})
	defer func() { require.NoError(b, pool.Close()) }()
	before := liveBytes()
	streams := make([]agentpb.DRPCAgent_GenerateClient, count)
	for i := range streams {
		var err error
		streams[i], err = agentpb.NewDRPCAgentClient(pool.Get(context.Background(), address)).
			Generate(context.Background(), &agentpb.GenerateRequest{Prompt: strings.Repeat("x", prompt)})
		require.NoError(b, err)
		_, err = streams[i].Recv()
		require.NoError(b, err)
	}
	close(release)
	for _, stream := range streams {
		_, err := stream.Recv()
		require.Error(b, err, "end of the stream")
		<-stream.Context().Done()
	}
	clear(streams)
	return (liveBytes() - before) / float64(count)
}

func liveBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
