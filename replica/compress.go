package replica

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/bindelta"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

const (
	// minCompressedBytes is the size from which data is compressed: less takes a few packets either way.
	minCompressedBytes = 16 << 10
	// maxCompressedBytes limits the snapshots that are compressed: a slow processor takes a second for 20 MB, and large states are binary.
	maxCompressedBytes = 16 << 20
	// maxEntriesBytes limits the entries of one message, the largest that drpc accepts.
	maxEntriesBytes = 4 << 20
)

// packedEntries holds the entries that were compressed last, because all members get the same ones. mu is a leaf lock: no other lock is
// acquired while it is held.
type packedEntries struct {
	mu          sync.Mutex
	first, last *raftpb.Entry
	data        []byte
}

// compressEntries replaces the entries of a message by their compressed form if they are large and the receiver reads it. The message belongs to
// the caller, the entries to the log.
func (t *transport) compressEntries(m *raftpb.Message) *raftpb.Message {
	bytes := 0
	for _, e := range m.GetEntries() {
		bytes += len(e.GetData())
	}
	if bytes < minCompressedBytes || !t.readsCompressed(m.GetTo()) {
		return m
	}
	data, err := t.packed.get(m.GetEntries())
	// Without a compressed form the message is sent as it is.
	if err == nil && len(data) < bytes {
		m.CompressedEntries, m.Entries = data, nil
	}
	return m
}

func (p *packedEntries) get(entries []*raftpb.Entry) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, last := entries[0], entries[len(entries)-1]
	if p.first == first && p.last == last {
		return p.data, nil
	}
	encoded, err := proto.Marshal(&raftpb.Message{Entries: entries})
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "encode entries")
	}
	data, err := bindelta.Encode(nil, encoded)
	if err != nil {
		return nil, err
	}
	p.first, p.last, p.data = first, last, data
	return data, nil
}

// decompressEntries restores the entries of a received message.
func decompressEntries(m *raftpb.Message) error {
	if len(m.GetCompressedEntries()) == 0 {
		return nil
	}
	encoded, err := bindelta.Apply(nil, m.GetCompressedEntries(), maxEntriesBytes)
	if err != nil {
		return err
	}
	unpacked := &raftpb.Message{}
	if err := proto.Unmarshal(encoded, unpacked); err != nil {
		return failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "decode compressed entries")
	}
	m.Entries, m.CompressedEntries = unpacked.GetEntries(), nil
	return nil
}

// compressSnapshot returns the form of a snapshot that is sent, and whether it is compressed.
func compressSnapshot(data []byte) (sent []byte, compressed bool) {
	if len(data) < minCompressedBytes || len(data) > maxCompressedBytes {
		return data, false
	}
	encoded, err := bindelta.Encode(nil, data)
	if err != nil || len(encoded) >= len(data) {
		return data, false
	}
	return encoded, true
}
