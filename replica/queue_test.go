package replica

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// slowDirectory is a sharedDisk that takes a few ticks to sync a directory.
type slowDirectory struct{ sharedDisk }

func (d slowDirectory) SyncDir(dir string) error {
	time.Sleep(100 * time.Millisecond)
	return d.sharedDisk.SyncDir(dir)
}

// newMemberWithoutLoop returns a member whose loop does not run, which removes what is superfluous before it takes any entries.
func newMemberWithoutLoop(t *testing.T) *Replica {
	options := Options{ID: 2, Group: "test", Address: "127.0.0.1:1", Dir: "data", FS: slowDirectory{newSharedDisk(smallDiskBytes)}, StateMachine: &register{}}
	options.setDefaults()
	r := newReplica(options)
	storage, loaded, err := openStorage(options)
	require.NoError(t, err)
	t.Cleanup(func() { _ = storage.close() })
	r.storage = storage
	require.NoError(t, r.restore(loaded))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(r.goroutines.Wait)
	t.Cleanup(cancel)
	r.transport = newTransport(ctx, r)
	r.node.Tick(r.now())
	r.publish()
	options.FS.(slowDirectory).leave(roomReserve)
	r.savedIndex = 1
	return r
}

// queueMessages queues a message whose entries need room and two that follow it.
func queueMessages(r *Replica) {
	message := func(kind raftpb.MessageType, from uint64) *raftpb.Message {
		return &raftpb.Message{Type: kind, Group: "test", From: from, To: 2, Term: 3}
	}
	entries := message(raftpb.MessageType_APPEND, 1)
	entries.Entries = []*raftpb.Entry{{Index: 1, Term: 3, Data: make([]byte, commandBytes)}}
	for _, m := range []*raftpb.Message{entries, message(raftpb.MessageType_PRE_VOTE, 3), message(raftpb.MessageType_PRE_VOTE, 4)} {
		r.inbox <- inbound{message: m}
	}
}

// requireEnds fails if the loop would block.
func requireEnds(t *testing.T, step func()) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		step()
	}()
	select {
	case <-done:
	case <-time.After(failoverLimit):
		t.Fatal("the loop waits for messages that it has already taken")
	}
}

// Guards against a loop that blocks, also for Stop, because it counts the queued messages before one of them makes it free room, and takes the
// others from the queue while it waits for the disk.
func TestFreeingRoomDoesNotBlockTheLoop(t *testing.T) {
	t.Parallel()
	heartbeat := inbound{message: &raftpb.Message{Type: raftpb.MessageType_HEARTBEAT, Group: "test", From: 1, To: 2, Term: 3}}
	for name, step := range map[string]func(*Replica){
		"batch":        func(r *Replica) { r.stepBatch(heartbeat) },
		"after a sync": func(r *Replica) { require.NoError(t, r.stepArrived()) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newMemberWithoutLoop(t)
			queueMessages(r)
			requireEnds(t, func() { step(r) })
			require.Empty(t, r.inbox)
		})
	}
}
