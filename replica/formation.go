package replica

import (
	"bytes"
	"context"
	"crypto/rand"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/samber/lo"
	"github.com/zeebo/blake3"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Formation is the first start of a group. A first member with an empty data directory cannot distinguish a first start
// from the loss of its disk, which held votes and entries that the group relies on. It therefore queries all other first
// members before it participates. All have to answer, because an unreachable majority may have formed the group already.
//
// Each data directory has a random identity, the incarnation, which the other members record before they participate. A
// member with stored state refuses a queried incarnation that it has not recorded: the disk was lost. A recorded one
// belongs to a member that starts late or restarts during the first start.

const (
	formationName       = "formation"
	formationSumBytes   = 32
	incarnationBytes    = 16
	inquireTimeout      = time.Second
	joinAsNewMemberHint = "if its disk was lost, remove it and join a new member under a new id, with --join in place of --bootstrap"
)

// formation holds the incarnations of the first members. formation.mu is a leaf lock: no other lock is acquired while it
// is held.
type formation struct {
	fs  diskfs.FS
	dir string

	mu     sync.Mutex
	record *raftpb.FormationRecord
	// formed is set once the member has stored state of the group.
	formed bool
}

// openFormation reads the formation record of the data directory. A directory of an older version or of a joined member
// has none.
func openFormation(fs diskfs.FS, dir string, formed bool) (*formation, error) {
	f := &formation{fs: fs, dir: dir, formed: formed, record: &raftpb.FormationRecord{}}
	names, err := fs.List(dir)
	if err != nil {
		return nil, failure.Wrap(err, failure.StorageFailed, failure.NotRun, "list the data directory")
	}
	if !slices.Contains(names, formationName) {
		return f, nil
	}
	content, err := fs.ReadFile(filepath.Join(dir, formationName))
	if err != nil {
		return nil, failure.Wrap(err, failure.StorageFailed, failure.NotRun, "read the formation record")
	}
	body := content[:max(0, len(content)-formationSumBytes)]
	sum := blake3.Sum256(body)
	if !bytes.Equal(sum[:], content[len(body):]) || proto.Unmarshal(body, f.record) != nil {
		return nil, failure.New(failure.StorageFailed, failure.NotRun, "the formation record is corrupt")
	}
	return f, nil
}

// createIncarnation makes the incarnation durable, before it is sent to another member.
func (f *formation) createIncarnation() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.record.GetIncarnation()) > 0 {
		return nil
	}
	incarnation := make([]byte, incarnationBytes)
	if _, err := rand.Read(incarnation); err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "generate an incarnation")
	}
	return f.save(&raftpb.FormationRecord{Incarnation: incarnation})
}

// recordPeers makes the incarnations of the other first members durable. It is called before the first state of the log
// is saved.
func (f *formation) recordPeers(peers []*raftpb.FormationPeer) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.save(&raftpb.FormationRecord{Incarnation: f.record.GetIncarnation(), Peers: peers}); err != nil {
		return err
	}
	f.formed = true
	return nil
}

func (f *formation) save(record *raftpb.FormationRecord) error {
	content, err := proto.Marshal(record)
	if err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "encode the formation record")
	}
	sum := blake3.Sum256(content)
	if err := diskfs.WriteFile(f.fs, filepath.Join(f.dir, formationName), append(content, sum[:]...)); err != nil {
		return failure.Wrap(err, failure.StorageFailed, failure.NotRun, "write the formation record")
	}
	f.record = record
	return nil
}

// answer returns the answer to an inquiry of another first member. joined is set if this member has received state from
// a leader.
func (f *formation) answer(q *raftpb.InquireRequest, joined bool) *raftpb.InquireResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	expected := slices.ContainsFunc(f.record.GetPeers(), func(p *raftpb.FormationPeer) bool {
		return p.GetId() == q.GetFrom() && bytes.Equal(p.GetIncarnation(), q.GetIncarnation())
	})
	return &raftpb.InquireResponse{Formed: f.formed || joined, Expected: expected, Incarnation: f.record.GetIncarnation()}
}

func (f *formation) incarnation() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.record.GetIncarnation()
}

// formationServer answers the inquiries of other first members.
type formationServer struct {
	raftpb.DRPCFormationUnimplementedServer
	replica *Replica
}

// Inquire implements the formation service.
func (s *formationServer) Inquire(_ context.Context, q *raftpb.InquireRequest) (*raftpb.InquireResponse, error) {
	if q.GetGroup() != s.replica.options.Group {
		return nil, failure.New(failure.Forbidden, failure.NotRun, "inquiry of group %q, this is group %q", q.GetGroup(), s.replica.options.Group)
	}
	status := s.replica.Status()
	return s.replica.formation.answer(q, status.Term > 0 || status.LastIndex > 0), nil
}

// inquiry is the result of one round of queries.
type inquiry struct {
	peers []*raftpb.FormationPeer
	// unconfirmed lists members that did not answer, or that have no incarnation because they are not bootstrapping.
	unconfirmed []uint64
	refused     *failure.Error
}

// form completes the first start of the group, or stops the member if the group has formed without this data directory.
// It reports whether the member continues. Until it returns the member has no state and refuses votes and calls.
func (r *Replica) form(ctx context.Context) (bool, error) {
	if !r.forming {
		return true, nil
	}
	results := make(chan inquiry, 1)
	r.goroutines.Go(func() { results <- r.inquireAll(ctx) })
	for {
		select {
		case <-r.stopping:
			return false, nil
		case <-r.inbox:
			// Dropped: the message is early, or the leader assumes state that this member has lost.
		case p := <-r.proposals:
			r.proposeBatch(p)
		case q := <-r.reads:
			r.readBatch(q)
		case result := <-results:
			if result.refused != nil {
				return false, result.refused
			}
			return true, r.bootstrap(result.peers)
		}
	}
}

// bootstrap makes the first state durable and starts the core with it.
func (r *Replica) bootstrap(peers []*raftpb.FormationPeer) error {
	if err := r.formation.recordPeers(peers); err != nil {
		return err
	}
	state, err := r.storage.bootstrap(r.options)
	if err != nil {
		return err
	}
	if r.node, err = raft.New(r.coreConfig(), state); err != nil {
		return err
	}
	r.forming = false
	r.tick()
	r.publish()
	return nil
}

// inquireAll queries the other first members repeatedly until all of them confirm or one refuses.
func (r *Replica) inquireAll(ctx context.Context) inquiry {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = minReconnectDelay, maxReconnectDelay
	var unconfirmed []uint64
	for {
		result := r.inquireOnce(ctx)
		if result.refused != nil || len(result.unconfirmed) == 0 {
			return result
		}
		if !slices.Equal(unconfirmed, result.unconfirmed) {
			unconfirmed = result.unconfirmed
			r.log.Warn("waiting for first members", zap.Uint64s("silent", unconfirmed))
		}
		timer := time.NewTimer(wait.NextBackOff())
		select {
		case <-ctx.Done():
			timer.Stop()
			return inquiry{refused: r.stopped()}
		case <-timer.C:
		}
	}
}

// inquireOnce queries all other first members concurrently.
func (r *Replica) inquireOnce(ctx context.Context) inquiry {
	others := lo.Reject(r.options.Bootstrap, func(m *raftpb.Member, _ int) bool { return m.GetId() == r.options.ID })
	answers := make([]*raftpb.InquireResponse, len(others))
	var group sync.WaitGroup
	for i, m := range others {
		group.Go(func() { answers[i] = r.queryMember(ctx, m) })
	}
	group.Wait()
	var result inquiry
	for i, m := range others {
		result.add(r.options.ID, m.GetId(), answers[i])
	}
	return result
}

// add records the answer of one member; answer is nil if there was none.
func (q *inquiry) add(self, peer uint64, answer *raftpb.InquireResponse) {
	switch {
	case answer.GetFormed() && !answer.GetExpected():
		q.refused = failure.New(failure.IdentityLost, failure.NotRun,
			"member %d has an empty data directory, but member %d belongs to a group that formed without it; %s", self, peer, joinAsNewMemberHint)
	case len(answer.GetIncarnation()) == 0:
		q.unconfirmed = append(q.unconfirmed, peer)
	default:
		q.peers = append(q.peers, &raftpb.FormationPeer{Id: peer, Incarnation: answer.GetIncarnation()})
	}
}

// queryMember queries one first member and returns nil if it does not answer.
func (r *Replica) queryMember(ctx context.Context, m *raftpb.Member) *raftpb.InquireResponse {
	ctx, cancel := context.WithTimeout(ctx, inquireTimeout)
	defer cancel()
	raw, err := r.options.Dial(ctx, m.GetAddress())
	if err != nil {
		return nil
	}
	conn := drpcconn.New(&deadlineConn{Conn: raw, limit: r.options.WriteDeadline})
	defer func() { _ = conn.Close() }()
	answer, err := raftpb.NewDRPCFormationClient(conn).Inquire(ctx, &raftpb.InquireRequest{
		Group: r.options.Group, From: r.options.ID, Incarnation: r.formation.incarnation(),
	})
	if err != nil {
		r.log.Debug("a first member did not answer", zap.Uint64("peer", m.GetId()), zap.Error(err))
		return nil
	}
	return answer
}
