package replica

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Limits of the wait before a reconnect; the wait is random within half to one and a half of its value.
const (
	firstReconnect = 50 * time.Millisecond
	lastReconnect  = time.Second
)

// transport sends messages to the other members. Its lock is a leaf.
type transport struct {
	ctx     context.Context
	replica *Replica

	mu    sync.Mutex
	peers map[uint64]*peer
	// addresses of the member list, and those that members outside the list told.
	listed, told map[uint64]string
}

// maxTold limits the addresses of members that are not in the list.
const maxTold = 64

func newTransport(ctx context.Context, r *Replica) *transport {
	return &transport{ctx: ctx, replica: r, peers: map[uint64]*peer{}, listed: map[uint64]string{}, told: map[uint64]string{}}
}

// setMembers takes the addresses of a new member list.
func (t *transport) setMembers(members []*raftpb.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(members) == len(t.listed) && t.sameAddresses(members) {
		return
	}
	t.listed = map[uint64]string{}
	for _, m := range members {
		t.listed[m.GetId()] = m.GetAddress()
	}
}

func (t *transport) sameAddresses(members []*raftpb.Member) bool {
	for _, m := range members {
		if t.listed[m.GetId()] != m.GetAddress() {
			return false
		}
	}
	return true
}

// heard notes the address that a member told.
func (t *transport) heard(m *raftpb.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := m.GetFromAddress(); a != "" && (len(t.told) < maxTold || t.told[m.GetFrom()] != "") {
		t.told[m.GetFrom()] = a
	}
}

func (t *transport) address(id uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.listed[id]; a != "" {
		return a
	}
	return t.told[id]
}

// send queues a message, or drops it if the peer's queue is full.
func (t *transport) send(m *raftpb.Message) {
	if m.GetType() == raftpb.MessageType_SNAPSHOT {
		t.sendSnapshot(m)
		return
	}
	p := t.peer(m.GetTo())
	select {
	case p.queue <- m:
	default:
		t.replica.metrics.dropped.Inc(1)
	}
}

func (t *transport) peer(id uint64) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[id]
	if p == nil {
		p = &peer{id: id, transport: t, queue: make(chan *raftpb.Message, t.replica.options.QueueLength)}
		t.peers[id] = p
		t.replica.group.Go(p.run)
	}
	return p
}

// dial opens a connection whose writes have deadlines.
func (t *transport) dial(id uint64) (*drpcconn.Conn, error) {
	raw, err := t.replica.options.Dial(t.ctx, t.address(id))
	if err != nil {
		return nil, err
	}
	return drpcconn.New(&deadlineConn{Conn: raw, limit: t.replica.options.WriteDeadline}), nil
}

// deadlineConn gives each write a deadline, so that a peer that stopped reading is noticed.
type deadlineConn struct {
	net.Conn
	limit time.Duration
}

func (c *deadlineConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// peer sends the messages to one member over one stream.
type peer struct {
	id        uint64
	transport *transport
	queue     chan *raftpb.Message
	// transferring is set while a snapshot is on its way.
	transferring atomic.Bool

	link *link
}

// link is one connection to a peer.
type link struct {
	conn   *drpcconn.Conn
	stream raftpb.DRPCRaft_ExchangeClient
	// lastAck is the Unix time in ns of the last acknowledgement, and broken is set when no more can come.
	lastAck atomic.Int64
	broken  atomic.Bool
	// waitingSince is the time of the first message that had to be acknowledged and was not yet.
	waitingSince time.Time
}

// ackInterval is the shortest time between acknowledgements on one stream.
const ackInterval = 500 * time.Millisecond

func (p *peer) run() {
	defer p.disconnect()
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstReconnect, lastReconnect
	for {
		select {
		case <-p.transport.ctx.Done():
			return
		case m := <-p.queue:
			if err := p.sendOne(m); err != nil {
				p.disconnect()
				p.transport.replica.log.Debug("sending to a raft member failed", zap.Uint64("peer", p.id), zap.Error(err))
				if !p.pause(wait.NextBackOff()) {
					return
				}
				continue
			}
			wait.Reset()
		}
	}
}

// pause waits before a reconnect and then drops what was queued meanwhile, because it is out of date.
func (p *peer) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-p.transport.ctx.Done():
		return false
	case <-timer.C:
	}
	for range len(p.queue) {
		<-p.queue
		p.transport.replica.metrics.dropped.Inc(1)
	}
	return true
}

func (p *peer) sendOne(m *raftpb.Message) error {
	if p.link != nil && p.link.dead(p.transport.replica.options.SilenceLimit) {
		p.disconnect()
	}
	if p.link == nil {
		if err := p.connect(); err != nil {
			return err
		}
		m = proto.CloneOf(m)
		m.FromAddress = p.transport.replica.options.Address
	}
	return p.link.stream.Send(m)
}

// dead reports whether the connection ended or loses what is written: a message that had to be acknowledged was not,
// for longer than the limit. Acknowledgements are due for messages that follow the last one by twice their interval.
func (l *link) dead(limit time.Duration) bool {
	now := time.Now()
	switch {
	case l.broken.Load():
		return true
	case now.UnixNano()-l.lastAck.Load() < int64(2*ackInterval):
		l.waitingSince = time.Time{}
		return false
	case l.waitingSince.IsZero():
		l.waitingSince = now
		return false
	}
	return now.Sub(l.waitingSince) > limit
}

func (p *peer) connect() error {
	p.transport.replica.metrics.reconnects.Inc(1)
	conn, err := p.transport.dial(p.id)
	if err != nil {
		return err
	}
	stream, err := raftpb.NewDRPCRaftClient(conn).Exchange(p.transport.ctx)
	if err != nil {
		_ = conn.Close()
		return err
	}
	p.link = &link{conn: conn, stream: stream}
	p.transport.replica.group.Go(p.link.readAcks)
	return nil
}

// readAcks ends when the connection is closed.
func (l *link) readAcks() {
	defer l.broken.Store(true)
	for {
		if _, err := l.stream.Recv(); err != nil {
			return
		}
		l.lastAck.Store(time.Now().UnixNano())
	}
}

func (p *peer) disconnect() {
	if p.link != nil {
		_ = p.link.conn.Close()
	}
	p.link = nil
}
