package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Guards against a follower that gets neither entries nor a snapshot for 30 s: it has installed a snapshot and answered before the transfer of
// that snapshot has ended at the leader, which compacts its log meanwhile and has the next snapshot to send. That one was dropped, and counted
// as being transferred.
func TestSnapshotBesideAnotherTransferIsReportedAsNotDelivered(t *testing.T) {
	t.Parallel()
	options := Options{ID: 1, Group: "test"}
	options.setDefaults()
	r := newReplica(options)
	transport := newTransport(t.Context(), r)
	transport.peer(2).transferring.Store(true)
	transport.sendSnapshot(&raftpb.Message{Type: raftpb.MessageType_SNAPSHOT, To: 2, Snapshot: &raftpb.SnapshotMeta{Index: 7}})
	select {
	case e := <-r.events:
		require.Equal(t, event{transferred: 2}, e)
	case <-time.After(failoverLimit):
		t.Fatal("the snapshot counts as being transferred")
	}
}
