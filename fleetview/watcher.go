package fleetview

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"storj.io/drpc/drpcconn"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/supervise"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

const (
	// maxStreams limits the members that a node watches concurrently; a group has up to seven voters.
	maxStreams = 8
	// keepAliveInterval is the pause between the watcher's keep-alives.
	keepAliveInterval = 700 * time.Millisecond
	reconnectDelay    = 100 * time.Millisecond
	// streamCheckInterval is the time between checks of which members need a stream.
	streamCheckInterval = 300 * time.Millisecond
	// searchInterval is the time for which a node without an update tries one part of the addresses that it knows: a dial and the first update.
	searchInterval = streamTimeout
	// dialTimeout is far above a round trip and below the 1 s after which TCP repeats the first packet of a connection. A
	// VM that is just starting drops that packet.
	dialTimeout = 200 * time.Millisecond
	// firstDialInterval and firstReconnectDelay apply to a node that has not had an update since its start. After a loss of all power
	// the core members start at the same time as the node, and its requests wait for the first update.
	firstDialInterval   = 50 * time.Millisecond
	firstReconnectDelay = 25 * time.Millisecond
)

// Watcher keeps streams open to all core members, so that the loss of one of them delays no update. Watcher.mu is a leaf
// lock: no other lock is acquired while it is held.
type Watcher struct {
	// Node and AvailabilityZone identify the watching node.
	Node, AvailabilityZone string
	// LoadAddress is where this node receives load reports, LinkMbps the bandwidth of its link in Mbit/s.
	LoadAddress string
	LinkMbps    int
	// CPUMillis is this node's share of a core in thousandths.
	CPUMillis int
	// Contacts returns addresses of core members, Seeds addresses of nodes that may be core members.
	Contacts, Seeds func() []string
	// Address is where this node serves other nodes.
	Address string
	// OnUpdate is called with each update, OnSet with each new set; both from several goroutines.
	OnUpdate func(from string, u *nodepb.WatchUpdate)
	OnSet    func(set PublishedSet)
	// Directory gets the views of other nodes that are newer than its own; nil for none.
	Directory *upstreams.Directory
	// NodeViews returns the views of the nodes that watch this one; nil for none.
	NodeViews func() []NodeView
	// Dial opens connections to core members; default is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Log  *zap.Logger

	// lastUpdate is when the last update arrived, nil before the first one.
	lastUpdate atomic.Pointer[time.Time]
	sets       *setFetcher
	views      *viewCopies
	mu         sync.Mutex
	members    []string
	// searched is the position among the contacts and seeds from which streams are opened, since searchedAt.
	searched   int
	searchedAt time.Time
	// zones holds the availability zones of the members.
	zones   map[string]string
	streams map[string]context.CancelFunc
	// membersChanged has a value after members has changed.
	membersChanged chan struct{}
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	ctx, cancelAll := context.WithCancel(ctx)
	defer cancelAll()
	w.streams = map[string]context.CancelFunc{}
	w.membersChanged = make(chan struct{}, 1)
	w.sets = newSetFetcher(w)
	tasks.Go(func() { supervise.Loop(ctx, w.Log, "published sets", func() { w.sets.run(ctx) }) })
	w.views = newViewCopies(w)
	if w.Directory != nil {
		tasks.Go(func() { supervise.Loop(ctx, w.Log, "copies of the instance list", func() { w.views.run(ctx) }) })
	}
	ticker := time.NewTicker(streamCheckInterval)
	defer ticker.Stop()
	for {
		for _, address := range w.missingStreams() {
			streamCtx, cancel := context.WithCancel(ctx)
			w.mu.Lock()
			w.streams[address] = cancel
			w.mu.Unlock()
			tasks.Go(func() { w.watch(streamCtx, address) })
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.membersChanged:
		}
	}
}

// missingStreams cancels the streams to former members and returns the addresses that need a stream.
func (w *Watcher) missingStreams() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	lastUpdate := w.lastUpdate.Load()
	silent := lastUpdate == nil || now.Sub(*lastUpdate) > 2*streamTimeout
	if silent {
		// All known members may have been replaced: start again from the contacts and seeds.
		w.members = nil
	}
	targets := append([]string{}, w.members...)
	if len(targets) == 0 {
		targets = w.search(silent, now)
	}
	targets = targets[:min(len(targets), maxStreams)]
	for address, cancel := range w.streams {
		if !lo.Contains(targets, address) {
			cancel()
			delete(w.streams, address)
		}
	}
	return lo.Filter(targets, func(address string, _ int) bool { return w.streams[address] == nil })
}

// search returns the contacts and seeds in the order in which a node that knows no member tries them. Contacts may have been replaced long ago
// and be more than maxStreams, so a node that hears nothing goes on to the next ones. The caller holds w.mu.
func (w *Watcher) search(silent bool, now time.Time) []string {
	all := lo.Uniq(append(w.Contacts(), w.Seeds()...))
	if len(all) <= maxStreams {
		return all
	}
	if silent && now.Sub(w.searchedAt) > searchInterval {
		if !w.searchedAt.IsZero() {
			w.searched += maxStreams
		}
		w.searchedAt = now
	}
	start := w.searched % len(all)
	return append(slices.Clone(all[start:]), all[:start]...)
}

func (w *Watcher) setMembers(members []*nodepb.CoreMember) {
	if len(members) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	addresses := lo.Map(members, func(m *nodepb.CoreMember, _ int) string { return m.GetAddress() })
	if !slices.Equal(addresses, w.members) {
		select {
		case w.membersChanged <- struct{}{}:
		default:
		}
	}
	w.members = addresses
	w.zones = lo.SliceToMap(members, func(m *nodepb.CoreMember) (string, string) { return m.GetAddress(), m.GetAvailabilityZone() })
}

func (w *Watcher) zoneOf(address string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.zones[address]
}

// watch keeps a stream to one address open until the context ends.
func (w *Watcher) watch(ctx context.Context, address string) {
	connected := false
	for ctx.Err() == nil {
		var progress streamProgress
		err := w.stream(ctx, address, &progress, func() {
			if !connected {
				connected = true
				w.Log.Info("watching a core member", zap.String("address", address))
			}
		})
		if ctx.Err() == nil && (connected || progress.unfinished() > 0) {
			connected = false
			w.Log.Warn("lost a core member", zap.String("address", address), zap.Int("messages", progress.messages),
				zap.Int64("unfinished_bytes", progress.unfinished()), zap.Duration("since_message", progress.sinceMessage()), zap.Error(err))
		}
		w.sets.remove(address)
		w.views.remove(address)
		clock.Sleep(ctx, w.reconnectDelay())
	}
}

func (w *Watcher) reconnectDelay() time.Duration {
	if w.lastUpdate.Load() == nil {
		return firstReconnectDelay
	}
	return reconnectDelay
}

// streamProgress is what one stream has received.
type streamProgress struct {
	conn     *rpcpool.IdleConn
	messages int
	// wholeBytes is the number of bytes up to the end of the last whole message, which arrived at messageAt.
	wholeBytes int64
	messageAt  time.Time
}

// begin records the connection of the stream.
func (p *streamProgress) begin(conn *rpcpool.IdleConn) { p.conn, p.messageAt = conn, time.Now() }

// recordMessage records a whole message.
func (p *streamProgress) recordMessage() {
	p.messages++
	p.wholeBytes, p.messageAt = p.conn.Received(), time.Now()
}

// unfinished returns the number of bytes received since the last whole message.
func (p *streamProgress) unfinished() int64 {
	if p.conn == nil {
		return 0
	}
	return p.conn.Received() - p.wholeBytes
}

func (p *streamProgress) sinceMessage() time.Duration {
	if p.conn == nil {
		return 0
	}
	return time.Since(p.messageAt)
}

func (w *Watcher) dial(ctx context.Context, address string) (net.Conn, error) {
	dial := w.Dial
	if dial == nil {
		dial = func(ctx context.Context, address string) (net.Conn, error) {
			return rpcpool.DialTCP(ctx, "", address, dialTimeout)
		}
	}
	if w.lastUpdate.Load() != nil {
		return dial(ctx, address)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return rpcpool.DialRepeated(ctx, firstDialInterval, func(ctx context.Context) (net.Conn, error) { return dial(ctx, address) })
}

// stream receives updates until the stream ends or nothing arrives on it for streamTimeout.
func (w *Watcher) stream(ctx context.Context, address string, progress *streamProgress, connected func()) error {
	raw, err := w.dial(ctx, address)
	if err != nil {
		return err
	}
	idle := rpcpool.NewIdleConn(raw, streamTimeout)
	progress.begin(idle)
	conn := drpcconn.New(idle)
	defer func() { _ = conn.Close() }()
	stream, err := nodepb.NewDRPCNodeClient(conn).Watch(ctx)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go w.sendKeepAlives(conn.Closed(), stream)
	for {
		update, err := stream.Recv()
		if idle.TimedOut() {
			return failure.New(failure.DeadlineExceeded, failure.NotRun, "nothing arrived for %s", streamTimeout)
		}
		if err != nil {
			return err
		}
		progress.recordMessage()
		connected()
		// Before setMembers: the members are forgotten while no update has arrived lately.
		now := time.Now()
		w.lastUpdate.Store(&now)
		if update.GetFresh() {
			w.setMembers(update.GetMembers())
		}
		if err := supervise.Call(w.Log, "update of a core member", func() { w.apply(address, update) }); err != nil {
			return err
		}
	}
}

func (w *Watcher) apply(from string, u *nodepb.WatchUpdate) {
	if len(u.GetDocument()) > 0 {
		set := PublishedSet{Version: u.GetSetVersion(), Document: u.GetDocument(), From: from, TransferredBytes: int64(len(u.GetDocument()))}
		w.sets.recordSet(set)
		w.OnSet(set)
	}
	w.OnUpdate(from, u)
	w.views.announce(from, u, time.Now())
	w.sets.announce(from, w.zoneOf(from), u.GetSetVersion())
}

// sendKeepAlives sends keep-alives until the stream is closed. A failed send is also reported by the stream's receiver.
func (w *Watcher) sendKeepAlives(closed <-chan struct{}, stream nodepb.DRPCNode_WatchClient) {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		request := &nodepb.WatchRequest{
			Node: w.Node, AvailabilityZone: w.AvailabilityZone, LoadAddress: w.LoadAddress, LinkMbps: uint32(w.LinkMbps), CpuMillis: uint32(w.CPUMillis),
			FetchesSets: true, Address: w.Address, ViewAge: w.viewAge(time.Now()),
		}
		if err := stream.Send(request); err != nil {
			return
		}
		select {
		case <-closed:
			return
		case <-ticker.C:
		}
	}
}
