package fleetview

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Every core member has a view of the instances, the leader's or one that it has read itself, and hands it out to nodes that cannot get a
// newer one from the leader or from the list. An update of a member that does not lead announces the age of its view: an InstanceView without
// instances, whose revision is the age in ms plus 1. A node asks with a WatchRequest that has no node name, and gets one update with the
// instances and the age in the same form. Nodes of earlier versions ignore the instances of a member that does not lead, and a member of
// an earlier version, which announces nothing, is never asked.
//
// Every node announces the age of its view in its keep-alives, too, and hands out its view in the same way: core members that have all
// started again while nobody can read the list have no other copy.

const (
	// viewCheckInterval is the time between checks of whether a core member has a newer view.
	viewCheckInterval = 100 * time.Millisecond
	// viewSettleTime is the time after the first announcement in which those of the other members arrive, so that the newest view is
	// asked for.
	viewSettleTime = updateInterval
	// viewAskInterval is the time between two asks at least. A node that only core members tell of draining instances learns of them in
	// time.
	viewAskInterval = 2 * time.Second
	// viewBytesPerSecond limits what a node asks for while views are large: all nodes may ask a few members for a long time.
	viewBytesPerSecond = 20_000
	// viewAskTimeout limits one ask; it ends sooner if nothing arrives for streamTimeout. A view of 3,000 instances has 0.3 MB.
	viewAskTimeout = 15 * time.Second
	// viewRetryDelay is the time after a failed ask in which the member is not asked again.
	viewRetryDelay = 3 * time.Second
)

// encodeViewAge returns the revision that stands for an age.
func encodeViewAge(age time.Duration) uint64 { return uint64(age.Milliseconds()) + 1 }

// decodeViewAge returns the age for which a revision stands, and false if it stands for none.
func decodeViewAge(revision uint64) (time.Duration, bool) {
	if revision == 0 || revision > uint64(maxViewAge.Milliseconds()) {
		return 0, false
	}
	return time.Duration(revision-1) * time.Millisecond, true
}

// maxViewAge is the largest age that a node accepts, and bounds what a broken message can say.
const maxViewAge = 365 * 24 * time.Hour

// announceView returns the age of the view without the instances, nil if there is no view.
func (s *Server) announceView(now time.Time) *nodepb.InstanceView {
	_, age, ok := s.Directory.Copy(now)
	if !ok {
		return nil
	}
	return &nodepb.InstanceView{Revision: encodeViewAge(age)}
}

// copyOfView returns the view with its age, nil if there is none.
func (s *Server) copyOfView(now time.Time) *nodepb.InstanceView {
	view, age, ok := s.Directory.Copy(now)
	if !ok {
		return nil
	}
	encoded := encodeView(view, now)
	encoded.Revision = encodeViewAge(age)
	return encoded
}

// viewAge returns the age of the view of this node as it is announced, 0 if there is no view.
func (w *Watcher) viewAge(now time.Time) uint64 {
	if w.Directory == nil {
		return 0
	}
	_, age, ok := w.Directory.Copy(now)
	if !ok {
		return 0
	}
	return encodeViewAge(age)
}

// NodeView is the view of a node that watches this one.
type NodeView struct {
	Address, AvailabilityZone string
	CurrentAt                 time.Time
}

// NodeViews returns the views that nodes with a recent keep-alive announced.
func (s *Server) NodeViews() []NodeView {
	s.mu.Lock()
	defer s.mu.Unlock()
	var views []NodeView
	for _, node := range s.nodes {
		if node.address != "" && !node.viewAt.IsZero() && time.Since(node.lastContact) <= streamTimeout {
			views = append(views, NodeView{Address: node.address, AvailabilityZone: node.zone, CurrentAt: node.viewAt})
		}
	}
	return views
}

// viewCopies gets the views of other nodes that are newer than that of the node. mu is a leaf lock: no other lock is acquired while it
// is held.
type viewCopies struct {
	watcher *Watcher

	mu sync.Mutex
	// currentAt is when the view of each core member was current, by address.
	currentAt map[string]time.Time
	// firstAt is when the first announcement arrived.
	firstAt time.Time
	// failedAt is when an ask failed within viewRetryDelay, by address.
	failedAt map[string]time.Time
}

func newViewCopies(w *Watcher) *viewCopies {
	return &viewCopies{watcher: w, currentAt: map[string]time.Time{}, failedAt: map[string]time.Time{}}
}

// announce records the age that a core member gave in an update.
func (v *viewCopies) announce(address string, u *nodepb.WatchUpdate, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	age, ok := decodeViewAge(u.GetInstances().GetRevision())
	if u.GetLeads() || !ok {
		delete(v.currentAt, address)
		return
	}
	if v.firstAt.IsZero() {
		v.firstAt = now
	}
	v.currentAt[address] = now.Add(-age)
}

func (v *viewCopies) remove(address string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.currentAt, address)
	delete(v.failedAt, address)
}

// choose returns the address to ask: that of a core member, or of a node that watches this one, whose view is newer than that of the node and
// about as new as any, in the zone of the node if possible. It returns an empty address if there is none.
func (v *viewCopies) choose(now time.Time) string {
	var nodes []NodeView
	if v.watcher.NodeViews != nil && v.watcher.Directory.WantsCopy(now, now) {
		nodes = v.watcher.NodeViews()
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.firstAt.IsZero() && len(nodes) > 0 {
		v.firstAt = now
	}
	if v.firstAt.IsZero() || now.Sub(v.firstAt) < viewSettleTime {
		return ""
	}
	type candidate struct {
		address  string
		at       time.Time
		sameZone bool
	}
	var candidates []candidate
	var newest time.Time
	add := func(address, zone string, at time.Time) {
		if !v.watcher.Directory.WantsCopy(at, now) || now.Sub(v.failedAt[address]) < viewRetryDelay {
			return
		}
		candidates = append(candidates, candidate{address: address, at: at, sameZone: zone == v.watcher.AvailabilityZone})
		if at.After(newest) {
			newest = at
		}
	}
	for address, at := range v.currentAt {
		add(address, v.watcher.zoneOf(address), at)
	}
	for _, node := range nodes {
		add(node.Address, node.AvailabilityZone, node.CurrentAt)
	}
	candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return newest.Sub(c.at) > upstreams.CopyMargin })
	if len(candidates) == 0 {
		return ""
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return slices.MaxFunc(candidates, func(a, b candidate) int { return cmp.Compare(rank(a.sameZone), rank(b.sameZone)) }).address
}

func rank(sameZone bool) int {
	if sameZone {
		return 1
	}
	return 0
}

// run asks for newer views until the context ends.
func (v *viewCopies) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := viewCheckInterval
		if address := v.choose(time.Now()); address != "" {
			pause = v.askAndApply(ctx, address)
		}
		clock.Sleep(ctx, pause)
	}
}

// askAndApply asks a node and applies its view. It returns the time until the next ask.
func (v *viewCopies) askAndApply(ctx context.Context, address string) time.Duration {
	w := v.watcher
	asked := time.Now()
	view, err := v.ask(ctx, address)
	age, ok := decodeViewAge(view.GetRevision())
	if err == nil && (!ok || len(view.GetInstances()) == 0) {
		err = failure.New(failure.NoUpstream, failure.NotRun, "the node has no instance list")
	}
	if err != nil {
		v.mu.Lock()
		maps.DeleteFunc(v.failedAt, func(_ string, at time.Time) bool { return asked.Sub(at) >= viewRetryDelay })
		v.failedAt[address] = time.Now()
		v.mu.Unlock()
		if ctx.Err() == nil {
			w.Log.Info("no instance list from a core member", zap.String("address", address), zap.Error(err))
		}
		return viewCheckInterval
	}
	// The member took the view after it was asked, so the view was current at this time or later.
	currentAt := asked.Add(-age)
	if w.Directory.ApplyCopy(DecodeView(view), currentAt, time.Now()) {
		w.Log.Info("instance list from a core member", zap.String("from", address), zap.Duration("age", age), zap.Int("instances", len(view.GetInstances())))
	}
	return max(viewAskInterval, time.Duration(proto.Size(view))*time.Second/viewBytesPerSecond)
}

// ask gets the view of a node.
func (v *viewCopies) ask(ctx context.Context, address string) (*nodepb.InstanceView, error) {
	ctx, cancel := context.WithTimeout(ctx, viewAskTimeout)
	defer cancel()
	raw, err := v.watcher.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := drpcconn.New(rpcpool.NewIdleConn(raw, streamTimeout))
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	stream, err := nodepb.NewDRPCNodeClient(conn).Watch(ctx)
	if err != nil {
		return nil, err
	}
	if err := stream.Send(&nodepb.WatchRequest{}); err != nil {
		return nil, err
	}
	for {
		update, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		// Updates that the member sends before it has read the request have no instances, or are those of a leader.
		if !update.GetLeads() && len(update.GetInstances().GetInstances()) > 0 {
			return update.GetInstances(), nil
		}
	}
}
