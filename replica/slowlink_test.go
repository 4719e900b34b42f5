package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// documentMachine is a register whose state is its last command.
type documentMachine struct {
	*register
	mu       sync.Mutex
	document []byte
}

func (m *documentMachine) Apply(index uint64, command []byte) proto.Message {
	m.mu.Lock()
	m.document = command
	m.mu.Unlock()
	return m.register.Apply(index, command)
}

func (m *documentMachine) Snapshot() func() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	document := m.document
	if document == nil {
		document = set(0)
	}
	return func() ([]byte, error) { return document, nil }
}

func (m *documentMachine) Restore(data []byte) error {
	m.mu.Lock()
	m.document = data
	m.mu.Unlock()
	return m.register.Restore(data)
}

// routes returns a command that sets value, followed by the text of a set with a number of routes.
func routes(value uint64, count int) []byte {
	random := rand.New(rand.NewPCG(value, 1))
	command := set(value)
	for range count {
		command = fmt.Appendf(command, `{"name":"r-%08x","host":"%06x.example","prefix":"/%07x/","kind":"safe","timeout-ms":1500,"attempts":2,"priority":1,"service":"%05x"},`,
			random.Uint32(), random.Uint32N(1<<24), random.Uint32N(1<<28), random.Uint32N(1<<20))
	}
	return command
}

// slowLink passes a limited number of bytes per second in each connection, as TCP does over a link that loses packets.
type slowLink struct {
	net.Conn
	limiter *rate.Limiter
}

const (
	slowLinkBytesPerSecond = 150_000
	slowLinkPart           = 4 << 10
)

func (l *slowLink) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		part := data[written:min(len(data), written+slowLinkPart)]
		if err := l.limiter.WaitN(context.Background(), len(part)); err != nil {
			return written, err
		}
		n, err := l.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// catchUpLimit is what the users' platform gives a replaced member until the group must bear the next loss, less 1 s to start and to join.
const catchUpLimit = 3 * time.Second

// Guards against a replaced member that votes too late to make up for the next loss, because a large state and the entries after it cross a
// slow link as they are.
func TestReplacedMemberCatchesUpOverASlowLink(t *testing.T) {
	slow := &atomic.Bool{}
	g := newGroup(t, 3, func(o *Options) {
		o.StateMachine = &documentMachine{register: o.StateMachine.(*register)}
		o.SnapshotEvery, o.TrailingEntries, o.TrailingBytes = 5, 1, 1
		dial := o.Dial
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dial(ctx, address)
			if err != nil || !slow.Load() {
				return conn, err
			}
			return &slowLink{conn, rate.NewLimiter(slowLinkBytesPerSecond, slowLinkPart)}, nil
		}
	})
	leader := g.write(1, failoverLimit)
	value := uint64(2)
	propose := func() {
		_, err := leader.Propose(t.Context(), routes(value, 4000))
		require.NoError(t, err)
		value++
	}
	isCompacted := func() bool { return leader.Status().FirstIndex > 1 }
	for !isCompacted() {
		propose()
		// A snapshot that is due is saved beside the commands.
		for end := time.Now().Add(300 * time.Millisecond); !isCompacted() && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		}
	}
	propose()
	slow.Store(true)
	added := g.member(4)
	begin := time.Now()
	p := g.start(added, nil)
	g.change(raft.AddLearner, added)
	require.Eventually(t, func() bool { return p.machine.get() == value-1 }, failoverLimit, 10*time.Millisecond)
	g.change(raft.Promote, added)
	took := time.Since(begin)
	t.Logf("the new member votes after %s", took)
	require.Less(t, took, catchUpLimit)
}

// Guards against compressed data that reaches a member of a release that does not read it, also after it was started in place of a newer one.
func TestOlderMembersGetDataAsItIs(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 1, nil)
	transport := g.members[1].transport
	message := func() *raftpb.Message {
		return &raftpb.Message{To: 9, Entries: []*raftpb.Entry{{Index: 1, Data: routes(1, 1000)}, {Index: 2, Data: routes(2, 1000)}}}
	}
	report := func(reads bool) {
		transport.recordMember(&raftpb.Message{From: 9, FromAddress: "a", ReadsCompressed: reads})
		// Only the first message of a connection says what the member reads.
		transport.recordMember(&raftpb.Message{From: 9})
	}
	require.Empty(t, transport.compressEntries(message()).GetCompressedEntries())
	report(true)
	for range 2 {
		sent := transport.compressEntries(message())
		require.Empty(t, sent.GetEntries())
		require.NotEmpty(t, sent.GetCompressedEntries())
		require.Less(t, proto.Size(sent), proto.Size(message())/2)
		require.NoError(t, decompressEntries(sent))
		require.True(t, proto.Equal(message(), sent))
	}
	report(false)
	require.True(t, proto.Equal(message(), transport.compressEntries(message())))
}

// Guards against compressed entries that take memory without limit, and against a message whose entries are not what was compressed.
func TestMalformedCompressedEntriesAreRefused(t *testing.T) {
	t.Parallel()
	for _, entries := range [][]*raftpb.Entry{{{Data: make([]byte, maxEntriesBytes)}}, {{Data: make([]byte, 100)}}} {
		data, err := (&packedEntries{}).get(entries)
		require.NoError(t, err)
		require.Error(t, decompressEntries(&raftpb.Message{CompressedEntries: data[:len(data)-1]}))
		if len(entries[0].GetData()) == maxEntriesBytes {
			require.Error(t, decompressEntries(&raftpb.Message{CompressedEntries: data}))
		}
	}
}
