package replica

import (
	"bytes"
	"context"
	"time"

	"github.com/zeebo/blake3"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/bindelta"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

const (
	// chunkBytes is the size of a snapshot chunk.
	chunkBytes = 512 << 10
	// transferTimeout limits a whole snapshot transfer.
	transferTimeout = 30 * time.Second
	// chunkTimeout is how long a receiver waits for the next chunk.
	chunkTimeout = 5 * time.Second
)

// sendSnapshot transfers a snapshot in a separate goroutine, so that heartbeats are not delayed. There is at most one
// transfer per member. A member may ask for the next snapshot before the end of the last transfer is known here: that counts as not delivered,
// so that the core tries again, instead of waiting for a transfer that never began.
func (t *transport) sendSnapshot(m *raftpb.Message) {
	p := t.peer(m.GetTo())
	if !p.transferring.CompareAndSwap(false, true) {
		// The loop itself reads the events, so it must not wait for room among them.
		t.replica.goroutines.Go(func() { t.replica.report(event{transferred: m.GetTo()}) })
		return
	}
	t.replica.goroutines.Go(func() {
		defer p.transferring.Store(false)
		err := t.transfer(m)
		if err != nil {
			t.replica.log.Warn("snapshot transfer failed", zap.Uint64("peer", m.GetTo()), zap.Error(err))
		}
		t.replica.report(event{transferred: m.GetTo(), delivered: err == nil})
	})
}

func (t *transport) transfer(m *raftpb.Message) error {
	ctx, cancel := context.WithTimeout(t.ctx, transferTimeout)
	defer cancel()
	snapshot, err := t.replica.storage.snaps.Load(m.GetSnapshot().GetIndex())
	if err != nil {
		return err
	}
	conn, err := t.dial(t.ctx, m.GetTo())
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := raftpb.NewDRPCRaftClient(conn).InstallSnapshot(ctx)
	if err != nil {
		return err
	}
	m = proto.CloneOf(m)
	m.FromAddress, m.ReadsCompressed = t.replica.options.Address, true
	checksum := blake3.Sum256(snapshot.Data)
	data, compressed := snapshot.Data, false
	if t.readsCompressed(m.GetTo()) {
		data, compressed = compressSnapshot(snapshot.Data)
	}
	if err := sendChunks(stream, &raftpb.SnapshotChunk{Message: m, Compressed: compressed}, data, checksum[:]); err != nil {
		return err
	}
	_, err = stream.CloseAndRecv()
	return err
}

// sendChunks sends the data in chunks, of which first is the first.
func sendChunks(stream raftpb.DRPCRaft_InstallSnapshotClient, first *raftpb.SnapshotChunk, data []byte, checksum []byte) error {
	for chunk := first; ; chunk = new(raftpb.SnapshotChunk) {
		chunk.Data = data[:min(len(data), chunkBytes)]
		data = data[len(chunk.GetData()):]
		if len(data) == 0 {
			chunk.Last = true
			chunk.Checksum = checksum
		}
		if err := stream.Send(chunk); err != nil {
			return err
		}
		if chunk.GetLast() {
			return nil
		}
	}
}

// server receives the messages of the other members.
type server struct {
	raftpb.DRPCRaftUnimplementedServer
	replica *Replica
}

// Exchange implements the raft service.
func (s *server) Exchange(stream raftpb.DRPCRaft_ExchangeStream) error {
	var acknowledged time.Time
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := decompressEntries(m); err != nil {
			return err
		}
		if m.GetType() == raftpb.MessageType_SNAPSHOT {
			return failure.New(failure.InvalidRequest, failure.NotRun, "snapshot message without data on the message stream")
		}
		if err := s.replica.receive(inbound{message: m}); err != nil {
			return err
		}
		if time.Since(acknowledged) < ackInterval {
			continue
		}
		if err := stream.Send(&raftpb.Ack{}); err != nil {
			return err
		}
		acknowledged = time.Now()
	}
}

// receive queues a message for the loop, or drops it if the queue is full. A message of another group is refused.
func (r *Replica) receive(m inbound) error {
	if g := m.message.GetGroup(); g != r.options.Group {
		return failure.New(failure.Forbidden, failure.NotRun, "message of group %q, this is group %q", g, r.options.Group)
	}
	r.transport.recordMember(m.message)
	r.transport.recordContact(m.message.GetFrom(), time.Now())
	select {
	case <-r.done:
		return r.stopped()
	case r.inbox <- m:
	default:
		r.metrics.dropped.Inc(1)
		if m.message.GetSnapshot() != nil {
			// The leader would wait for a snapshot that counts as delivered.
			return failure.New(failure.Overloaded, failure.NotRun, "the message queue is full")
		}
	}
	return nil
}

// InstallSnapshot implements the raft service. The snapshot is verified before it is passed to the core.
func (s *server) InstallSnapshot(stream raftpb.DRPCRaft_InstallSnapshotStream) error {
	if !s.replica.receiving.TryLock() {
		return failure.New(failure.Overloaded, failure.NotRun, "another snapshot is being received")
	}
	defer s.replica.receiving.Unlock()
	m, err := s.receiveChunks(stream)
	if err != nil {
		return err
	}
	if err := s.replica.receive(m); err != nil {
		return err
	}
	return stream.SendAndClose(&raftpb.Ack{})
}

func (s *server) receiveChunks(stream raftpb.DRPCRaft_InstallSnapshotStream) (inbound, error) {
	var m inbound
	compressed := false
	watchdog := time.AfterFunc(chunkTimeout, func() { _ = stream.Close() })
	defer watchdog.Stop()
	for {
		chunk, err := stream.Recv()
		if err != nil {
			return m, err
		}
		watchdog.Reset(chunkTimeout)
		if m.message == nil {
			m.message, compressed = chunk.GetMessage(), chunk.GetCompressed()
		}
		m.data = append(m.data, chunk.GetData()...)
		if len(m.data) > s.replica.options.MaxSnapshotBytes {
			return m, failure.New(failure.BodyTooLarge, failure.NotRun, "snapshot exceeds the limit of %d bytes", s.replica.options.MaxSnapshotBytes)
		}
		if !chunk.GetLast() {
			continue
		}
		if compressed {
			if m.data, err = bindelta.Apply(nil, m.data, s.replica.options.MaxSnapshotBytes); err != nil {
				return m, err
			}
		}
		return m, checkSnapshot(m, chunk.GetChecksum())
	}
}

func checkSnapshot(m inbound, checksum []byte) error {
	sum := blake3.Sum256(m.data)
	if !bytes.Equal(sum[:], checksum) || m.message.GetSnapshot() == nil {
		return failure.New(failure.InvalidRequest, failure.NotRun, "received snapshot is corrupt")
	}
	return nil
}
