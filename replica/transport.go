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

// Limits of the exponential backoff before a reconnect. The actual delay is random between 0.5 and 1.5 times its value.
const (
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = time.Second
)

// transport sends messages to the other members. transport.mu is a leaf lock: no other lock is acquired while it is held.
type transport struct {
	ctx     context.Context
	replica *Replica

	mu    sync.Mutex
	peers map[uint64]*peer
	// listed holds the addresses of the member list, reported what members sent in the first message of a connection.
	listed   map[uint64]string
	reported map[uint64]reportedMember
	// packed holds the entries that were compressed last.
	packed packedEntries
}

// reportedMember is what a member says of itself in the first message of a connection.
type reportedMember struct {
	address         string
	readsCompressed bool
}

// maxReported limits the number of members of which reports are stored.
const maxReported = 64

func newTransport(ctx context.Context, r *Replica) *transport {
	return &transport{ctx: ctx, replica: r, peers: map[uint64]*peer{}, listed: map[uint64]string{}, reported: map[uint64]reportedMember{}}
}

// setMembers updates the addresses from the member list.
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

// recordMember stores what the sender of the first message of a connection says of itself.
func (t *transport) recordMember(m *raftpb.Message) {
	if m.GetFromAddress() == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.reported[m.GetFrom()]; known || len(t.reported) < maxReported {
		t.reported[m.GetFrom()] = reportedMember{address: m.GetFromAddress(), readsCompressed: m.GetReadsCompressed()}
	}
}

func (t *transport) address(id uint64) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.listed[id]; a != "" {
		return a
	}
	return t.reported[id].address
}

// readsCompressed reports whether a member said on its last connection that it reads compressed data.
func (t *transport) readsCompressed(id uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reported[id].readsCompressed
}

// contactSilence is the time without a message from a member after which its next message shows that it is back. It is
// far above the time between two messages of a running member.
const contactSilence = 500 * time.Millisecond

// recordContact notes a message of a member. If the member was silent before, a connection attempt that began while it
// was down is given up and the pause before the next one ends: the answer to the message is sent at once.
func (t *transport) recordContact(id uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[id]
	if p == nil {
		return
	}
	silent := now.Sub(p.heardAt) > contactSilence
	p.heardAt = now
	if !silent {
		return
	}
	select {
	case p.returned <- struct{}{}:
	default:
	}
	if p.cancelDial != nil {
		p.cancelDial()
	}
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
		p = &peer{id: id, transport: t, queue: make(chan *raftpb.Message, t.replica.options.QueueLength), returned: make(chan struct{}, 1)}
		t.peers[id] = p
		t.replica.goroutines.Go(p.run)
	}
	return p
}

// dial opens a connection to a member; each write on it has a deadline.
func (t *transport) dial(ctx context.Context, id uint64) (*drpcconn.Conn, error) {
	raw, err := t.replica.options.Dial(ctx, t.address(id))
	if err != nil {
		return nil, err
	}
	return drpcconn.New(&deadlineConn{Conn: raw, limit: t.replica.options.WriteDeadline}), nil
}

// deadlineConn sets a deadline for each write, so that a peer that stopped reading is detected.
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
	// returned receives a value when the member is heard again after a silence.
	returned chan struct{}
	// heardAt is the time of the last message from the member; cancelDial ends a connection attempt in progress, nil if
	// there is none. transport.mu guards both.
	heardAt    time.Time
	cancelDial context.CancelFunc
	// transferring is set during a snapshot transfer.
	transferring atomic.Bool

	link *link
}

// link is one connection to a peer.
type link struct {
	conn   *drpcconn.Conn
	stream raftpb.DRPCRaft_ExchangeClient
	// lastAck is when the last acknowledgement arrived, nil before; broken is set when the stream has ended.
	lastAck atomic.Pointer[time.Time]
	broken  atomic.Bool
	// waitingSince is the time of the first message whose acknowledgement is due and missing, zero if there is none.
	waitingSince time.Time
}

// ackInterval is the shortest time between two acknowledgements on one stream.
const ackInterval = 500 * time.Millisecond

func (p *peer) run() {
	defer p.disconnect()
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = minReconnectDelay, maxReconnectDelay
	for {
		select {
		case <-p.transport.ctx.Done():
			return
		case m := <-p.queue:
			if err := p.sendOne(m); err != nil {
				p.disconnect()
				p.transport.replica.log.Debug("sending to a raft member failed", zap.Uint64("peer", p.id), zap.Error(err))
				if !p.pause(wait) {
					return
				}
				continue
			}
			wait.Reset()
		}
	}
}

// pause waits before a reconnect and then drops the messages queued meanwhile, because they are outdated. It ends early
// when the member is heard again, and then keeps them: one of them may answer that member. It returns false if the
// transport is stopped.
func (p *peer) pause(wait backoff.BackOff) bool {
	timer := time.NewTimer(wait.NextBackOff())
	defer timer.Stop()
	select {
	case <-p.transport.ctx.Done():
		return false
	case <-p.returned:
		wait.Reset()
		return true
	case <-timer.C:
	}
	for range len(p.queue) {
		<-p.queue
		p.transport.replica.metrics.dropped.Inc(1)
	}
	return true
}

func (p *peer) sendOne(m *raftpb.Message) error {
	if p.link != nil && p.link.dead(p.transport.replica.options.AckTimeout) {
		p.disconnect()
	}
	if p.link == nil {
		if err := p.connect(); err != nil {
			return err
		}
		m = proto.CloneOf(m)
		m.FromAddress, m.ReadsCompressed = p.transport.replica.options.Address, true
	}
	return p.link.stream.Send(p.transport.compressEntries(m))
}

// dead reports whether the stream has ended, or a due acknowledgement is missing for longer than the limit, as on a
// half-open connection. An acknowledgement is due for a message sent at least 2*ackInterval after the last one.
func (l *link) dead(limit time.Duration) bool {
	now, lastAck := time.Now(), l.lastAck.Load()
	switch {
	case l.broken.Load():
		return true
	case lastAck != nil && now.Sub(*lastAck) < 2*ackInterval:
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
	conn, err := p.dial()
	if err != nil {
		return err
	}
	stream, err := raftpb.NewDRPCRaftClient(conn).Exchange(p.transport.ctx)
	if err != nil {
		_ = conn.Close()
		return err
	}
	p.link = &link{conn: conn, stream: stream}
	p.transport.replica.goroutines.Go(p.link.readAcks)
	return nil
}

// dial opens a connection unless recordContact cancels the attempt.
func (p *peer) dial() (*drpcconn.Conn, error) {
	t := p.transport
	ctx, cancel := context.WithCancel(t.ctx)
	defer cancel()
	t.mu.Lock()
	p.cancelDial = cancel
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		p.cancelDial = nil
		t.mu.Unlock()
	}()
	return t.dial(ctx, p.id)
}

// readAcks receives acknowledgements until the connection is closed.
func (l *link) readAcks() {
	defer l.broken.Store(true)
	for {
		if _, err := l.stream.Recv(); err != nil {
			return
		}
		now := time.Now()
		l.lastAck.Store(&now)
	}
}

func (p *peer) disconnect() {
	if p.link != nil {
		_ = p.link.conn.Close()
	}
	p.link = nil
}
