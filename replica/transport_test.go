package replica

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Guards against votes that reach a restarted member only after a connection attempt to it, begun while its VM was off,
// has timed out: after a loss of power of all VMs the group has no leader for that time.
func TestReturnedMemberIsDialedAtOnce(t *testing.T) {
	t.Parallel()
	dials := make(chan struct{}, 8)
	g := newGroup(t, 1, func(o *Options) {
		o.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
			dials <- struct{}{}
			// A VM without power answers nothing.
			<-ctx.Done()
			return nil, failure.Wrap(ctx.Err(), failure.UpstreamFailed, failure.NotRun, "no answer")
		}
	})
	p := g.leader()
	_, err := p.ChangeMembers(t.Context(), raft.Change{Kind: raft.AddLearner, Member: &raftpb.Member{Id: 2, Address: "127.0.0.1:1"}})
	require.NoError(t, err)
	await := func() {
		select {
		case <-dials:
		case <-time.After(failoverLimit):
			t.Fatal("no connection attempt")
		}
	}
	await()
	require.NoError(t, p.receive(inbound{message: &raftpb.Message{Group: "test", From: 2, To: 1, Type: raftpb.MessageType_PRE_VOTE, Term: 1}}))
	await()
	// Further messages do not cancel the new attempt, which may need longer than the time between two of them.
	require.NoError(t, p.receive(inbound{message: &raftpb.Message{Group: "test", From: 2, To: 1, Type: raftpb.MessageType_PRE_VOTE, Term: 1}}))
	select {
	case <-dials:
		t.Fatal("a new attempt was canceled")
	case <-time.After(contactSilence / 5):
	}
}
