package rpcpool_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// cutServer serves one stream in each direction that does not end by itself.
type cutServer struct {
	agentpb.DRPCAgentUnimplementedServer
	raftpb.DRPCRaftUnimplementedServer
	// started gets a value for the first chunk of a stream from the client, received the error that ended it.
	started  chan struct{}
	received chan error
}

// Generate sends one event.
func (s *cutServer) Generate(_ *agentpb.GenerateRequest, stream agentpb.DRPCAgent_GenerateStream) error {
	if err := stream.Send(&agentpb.GenerateEvent{}); err != nil {
		return err
	}
	<-stream.Context().Done()
	return stream.Context().Err()
}

// InstallSnapshot receives chunks until the stream ends.
func (s *cutServer) InstallSnapshot(stream raftpb.DRPCRaft_InstallSnapshotStream) error {
	for first := true; ; first = false {
		if _, err := stream.Recv(); err != nil {
			s.received <- err
			return err
		}
		if first {
			s.started <- struct{}{}
		}
	}
}

// cutRelay forwards connections to an address. cut ends them in both directions, in order or by a reset.
type cutRelay struct {
	listener net.Listener
	conns    chan net.Conn
}

func newCutRelay(t *testing.T, target string) *cutRelay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	r := &cutRelay{listener: listener, conns: make(chan net.Conn, 16)}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				_ = client.Close()
				continue
			}
			r.conns <- client
			r.conns <- server
			go func() { _, _ = io.Copy(server, client) }()
			go func() { _, _ = io.Copy(client, server) }()
		}
	}()
	return r
}

func (r *cutRelay) cut(reset bool) {
	for range 2 {
		conn := <-r.conns
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Guards against a stream between nodes that looks complete after its connection was closed or reset: a reader that gets only the end of the
// input, because a write took the reset, must not take it for the end of the stream.
func TestCutStreamIsNotComplete(t *testing.T) {
	s := &cutServer{started: make(chan struct{}, 1), received: make(chan error, 1)}
	mux := drpcmux.New()
	require.NoError(t, agentpb.DRPCRegisterAgent(mux, s))
	require.NoError(t, raftpb.DRPCRegisterRaft(mux, s))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = drpcserver.New(mux).Serve(ctx, listener) }()
	relay := newCutRelay(t, listener.Addr().String())
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			for range 20 {
				conn, err := rpcpool.Dial(ctx, relay.listener.Addr().String(), time.Second)
				require.NoError(t, err)
				down, err := agentpb.NewDRPCAgentClient(conn).Generate(ctx, &agentpb.GenerateRequest{})
				require.NoError(t, err)
				_, err = down.Recv()
				require.NoError(t, err)
				relay.cut(reset)
				_, err = down.Recv()
				require.Error(t, err)
				require.False(t, errors.Is(err, io.EOF), "%v", err)
				_ = conn.Close()

				conn, err = rpcpool.Dial(ctx, relay.listener.Addr().String(), time.Second)
				require.NoError(t, err)
				up, err := raftpb.NewDRPCRaftClient(conn).InstallSnapshot(ctx)
				require.NoError(t, err)
				require.NoError(t, up.Send(&raftpb.SnapshotChunk{}))
				<-s.started
				sent := make(chan error, 1)
				go func() {
					for {
						if err := up.Send(&raftpb.SnapshotChunk{Data: make([]byte, 64<<10)}); err != nil {
							sent <- err
							return
						}
					}
				}()
				relay.cut(reset)
				require.Error(t, <-sent)
				err = <-s.received
				require.False(t, errors.Is(err, io.EOF), "%v", err)
				_, err = up.CloseAndRecv()
				require.Error(t, err)
				_ = conn.Close()
			}
		})
	}
}
