// Package fleetview distributes the published state from the core members to every node.
package fleetview

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/coregroup"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rollout"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
	"github.com/wasabishunt/wasabishunt/supervise"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

const (
	// updateInterval is the pause between updates if nothing changes.
	updateInterval = 500 * time.Millisecond
	// batchDelay lets one update carry several changes of the stores, whose events are already 60 ms old.
	batchDelay = 25 * time.Millisecond
	// membersInterval is the time after which an unchanged member list is sent again. It is long because each of up to 300
	// nodes gets the list on the streams of eight members.
	membersInterval = 10 * time.Second
	// streamTimeout is four times updateInterval: a stream on which nothing arrives for that long is dead or half-open.
	streamTimeout = 2 * time.Second
	// nodeLifetime is how long a node is counted after its last keep-alive. A restarted node may have spent its share of
	// the budgets, so the share is not divided among the others at once.
	nodeLifetime = 15 * time.Second
)

// Server sends the state of one core member to watchers. Server.mu is a leaf lock: no other lock is acquired while it is
// held.
type Server struct {
	nodepb.DRPCNodeUnimplementedServer
	Group     *coregroup.Group
	Directory *upstreams.Directory
	Reader    *upstreams.Reader
	Placement *Placements
	// EngineClock returns the time on the engines' clock in ms, 0 if it is unknown.
	EngineClock func() float64
	// Namings returns what this node knows of the weight versions that operators have named.
	Namings func(now time.Time) []rollout.Naming
	// Permits answers the questions of other nodes for permits to send to instances with limits.
	Permits func(q *nodepb.PermitRequest) (*nodepb.PermitReply, error)
	// Trials answers the questions of other nodes for trials of prompts.
	Trials func(key uint64, now time.Time) (wait time.Duration)
	Log    *zap.Logger
	// Metrics is the registry for the counter of sent sets; nil for none.
	Metrics gometrics.Registry
	// LinkMbps is the bandwidth of the VM's link, 0 if unknown.
	LinkMbps int

	history  setHistory
	viewPace viewPace

	mu    sync.Mutex
	nodes map[string]knownNode
}

// knownNode is a watching node as described by its last keep-alive.
type knownNode struct {
	lastContact time.Time
	loadAddress string
	zone        string
	linkMbps    uint32
	cpuMillis   uint32
	// address is where the node serves other nodes; viewAt is when its view of the instances was current, zero if it has none.
	address string
	viewAt  time.Time
}

// Join implements the node service.
func (s *Server) Join(ctx context.Context, q *nodepb.JoinRequest) (*nodepb.JoinResponse, error) {
	return s.Group.Join(ctx, q)
}

// Meet implements the node service.
func (s *Server) Meet(ctx context.Context, q *nodepb.Contacts) (*nodepb.Contacts, error) {
	return s.Group.Meet(ctx, q)
}

// TakePermits implements the node service.
func (s *Server) TakePermits(_ context.Context, q *nodepb.PermitRequest) (*nodepb.PermitReply, error) {
	return s.Permits(q)
}

// TakeTrial implements the node service.
func (s *Server) TakeTrial(_ context.Context, q *nodepb.TrialRequest) (*nodepb.TrialReply, error) {
	// Rounded up, so that nobody asks too early.
	wait := s.Trials(q.GetKey(), time.Now()) + time.Millisecond - 1
	return &nodepb.TrialReply{WaitMs: uint32(wait.Milliseconds())}, nil
}

// Watch implements the node service.
func (s *Server) Watch(stream nodepb.DRPCNode_WatchStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	// identified is closed at the first keep-alive, which sets fetchesSets.
	identified := make(chan struct{})
	fetchesSets, asksForView := false, false
	// lastMessage is when the last keep-alive arrived, in ns since started. The receiver sets it, because a large message to a
	// slow node blocks this goroutine for longer than streamTimeout.
	started := time.Now()
	var lastMessage atomic.Int64
	go func() {
		defer cancel()
		for {
			q, err := stream.Recv()
			if err != nil || q.GetNode() != "" && supervise.Call(s.Log, "sign of life", func() { s.recordNode(q) }) != nil {
				return
			}
			if lastMessage.Swap(int64(time.Since(started))) == 0 {
				fetchesSets, asksForView = q.GetFetchesSets(), q.GetNode() == ""
				close(identified)
			}
		}
	}()
	sent := &position{}
	sendsSets := false
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		state, stateChanged := s.Group.State()
		viewChanged, placementsChanged := s.Directory.Changed(), s.Placement.Changed()
		if state != nil {
			s.recordSet(state)
			update := s.update(state, sent, sendsSets)
			if err := stream.Send(update); err != nil {
				return err
			}
			s.recordSent(len(update.GetDocument()))
			if len(update.GetDocument()) > 0 && ctx.Err() == nil {
				// The rest was left for the next update.
				continue
			}
		}
		var viewDue <-chan time.Time
		if state != nil && !sent.viewDue.IsZero() {
			viewDue = time.After(time.Until(sent.viewDue))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-viewDue:
		case <-ticker.C:
			if silence := time.Since(started) - time.Duration(lastMessage.Load()); silence > streamTimeout {
				return failure.New(failure.DeadlineExceeded, failure.NotRun, "no keep-alive for %s", silence)
			}
		case <-identified:
			if asksForView {
				return stream.Send(&nodepb.WatchUpdate{Instances: s.copyOfView(time.Now())})
			}
			identified, sendsSets = nil, !fetchesSets
		case <-stateChanged:
		case <-viewChanged:
		case <-placementsChanged:
			clock.Sleep(ctx, batchDelay)
		}
	}
}

// position is the state that was already sent on a stream.
type position struct {
	// document is the version of the object set.
	document uint64
	// view is the last view, and viewBytes its size. viewDue is when a newer one may be sent, 0 if there is none.
	view      *upstreams.View
	viewBytes int
	viewDue   time.Time
	// placements is the revision of the placements; started is set once they were sent.
	placements uint64
	started    bool
	// loadAddresses are the addresses at which nodes receive load reports.
	loadAddresses []string
	// members of the group, as sent at membersAt.
	members   []*nodepb.CoreMember
	membersAt time.Time
}

// membersToSend returns the members and records them as sent, or returns nil if they are not due: they are sent if they
// changed, and again after membersInterval.
func (p *position) membersToSend(members []*nodepb.CoreMember, now time.Time) []*nodepb.CoreMember {
	same := slices.EqualFunc(members, p.members, func(a, b *nodepb.CoreMember) bool {
		return a.GetId() == b.GetId() && a.GetAddress() == b.GetAddress() && a.GetLearner() == b.GetLearner()
	})
	if same && now.Sub(p.membersAt) < membersInterval {
		return nil
	}
	p.members, p.membersAt = members, now
	return members
}

// update returns what was not yet sent on a stream. Nodes fetch sets themselves, unless sendsSets is set; with a document, the rest is
// left for the next update. Instances, placements and nodes are included only while this member
// is a fresh leader with a current directory; another member sends the age of its view, for which nodes may ask.
func (s *Server) update(state *nodepb.State, sent *position, sendsSets bool) *nodepb.WatchUpdate {
	// The term is read before the leadership: if the leadership is lost in between, the update has the old term and the
	// watchers ignore it.
	u := &nodepb.WatchUpdate{
		Term: s.Group.Term(), LeaderAddress: s.Group.Leader(), Fresh: s.Group.Fresh(), SetVersion: state.GetSetVersion(), Weights: state.GetWeights(),
		EvacuationsRevision: state.GetEvacuationsRevision(), EvacuatedZones: state.GetEvacuatedZones(),
		EvacuationsChangedUnixMs: state.GetEvacuationsChangedUnixMs(), NamedWeights: encodeNamings(state, s.Namings(time.Now())),
	}
	members := lo.Map(s.Group.Members(), func(m *raftpb.Member, _ int) *nodepb.CoreMember {
		return &nodepb.CoreMember{Id: m.GetId(), Address: m.GetAddress(), Learner: m.GetLearner(), AvailabilityZone: m.GetAvailabilityZone()}
	})
	// Watchers accept members only from fresh updates.
	if u.Fresh {
		u.Members = sent.membersToSend(members, time.Now())
	}
	if sendsSets && state.GetSetVersion() > sent.document {
		u.Document = state.GetDocument()
		sent.document = state.GetSetVersion()
	}
	// A message has at most 4 MB and a document up to 3 MB, so a document travels alone.
	if len(u.Document) > 0 {
		return u
	}
	if u.Leads = u.Fresh && s.Group.Leads() && s.Reader.Current(); !u.Leads {
		*sent = position{document: sent.document, members: sent.members, membersAt: sent.membersAt}
		u.Instances = s.announceView(time.Now())
		return u
	}
	count, known := s.activeNodes()
	addresses := lo.Map(known, func(n knownNode, _ int) string { return n.loadAddress })
	u.Nodes = uint32(count)
	u.EngineClockMs = s.EngineClock()
	if !slices.Equal(addresses, sent.loadAddresses) {
		u.LoadAddresses, sent.loadAddresses = addresses, addresses
		u.LoadZones = lo.Map(known, func(n knownNode, _ int) string { return n.zone })
		u.LoadLinks = lo.Map(known, func(n knownNode, _ int) uint32 { return n.linkMbps })
		u.LoadCpu = lo.Map(known, func(n knownNode, _ int) uint32 { return n.cpuMillis })
	}
	u.Instances = s.viewPace.viewToSend(s.Directory.View(), sent, s.LinkMbps, time.Now())
	u.Placements = s.Placement.since(sent)
	return u
}

// recordNode records the keep-alive of a node.
func (s *Server) recordNode(q *nodepb.WatchRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nodes == nil {
		s.nodes = map[string]knownNode{}
	}
	now := time.Now()
	node := knownNode{
		lastContact: now, loadAddress: q.GetLoadAddress(), zone: q.GetAvailabilityZone(), linkMbps: q.GetLinkMbps(), cpuMillis: q.GetCpuMillis(),
		address: q.GetAddress(),
	}
	if age, ok := decodeViewAge(q.GetViewAge()); ok {
		node.viewAt = now.Add(-age)
	}
	s.nodes[q.GetNode()] = node
}

// activeNodes returns the number of nodes with a recent keep-alive, and those of them that receive load reports, ordered
// by address.
func (s *Server) activeNodes() (count int, nodes []knownNode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	byAddress := map[string]knownNode{}
	for name, node := range s.nodes {
		if now.Sub(node.lastContact) > nodeLifetime {
			delete(s.nodes, name)
			continue
		}
		if node.loadAddress != "" {
			byAddress[node.loadAddress] = node
		}
	}
	nodes = lo.Values(byAddress)
	slices.SortFunc(nodes, func(a, b knownNode) int { return cmp.Compare(a.loadAddress, b.loadAddress) })
	return len(s.nodes), nodes
}

// coldLeftMs rounds up, so that the time does not end earlier at the receiver.
func coldLeftMs(instance *upstreams.Instance, now time.Time) uint32 {
	left := max(0, instance.ColdUntil.Sub(now)) + time.Millisecond - 1
	return uint32(min(left.Milliseconds(), math.MaxUint32))
}

func encodeView(view *upstreams.View, now time.Time) *nodepb.InstanceView {
	out := &nodepb.InstanceView{Revision: view.Revision}
	for i := range view.Instances {
		instance := &view.Instances[i]
		encoded := &nodepb.Instance{
			Id: instance.ID, Service: instance.Service, Address: instance.Address, AvailabilityZone: instance.AvailabilityZone,
			Draining: instance.Draining, Updating: instance.Updating, BornMs: instance.Born, Slots: uint32(instance.Slots),
			ColdLeftMs: coldLeftMs(instance, now),
		}
		for model, version := range instance.Versions {
			encoded.Models = append(encoded.Models, &nodepb.WeightVersion{Model: model, Version: version})
		}
		out.Instances = append(out.Instances, encoded)
	}
	return out
}

// DecodeView returns the instances of an encoded view.
func DecodeView(view *nodepb.InstanceView) []upstreams.Instance {
	return lo.Map(view.GetInstances(), func(encoded *nodepb.Instance, _ int) upstreams.Instance {
		instance := upstreams.Instance{
			ID: encoded.GetId(), Service: encoded.GetService(), Address: encoded.GetAddress(), AvailabilityZone: encoded.GetAvailabilityZone(),
			Draining: encoded.GetDraining(), Updating: encoded.GetUpdating(), Born: encoded.GetBornMs(), Slots: int(encoded.GetSlots()), Versions: map[string]uint64{},
			ColdLeft: time.Duration(encoded.GetColdLeftMs()) * time.Millisecond,
		}
		for _, m := range encoded.GetModels() {
			instance.Versions[m.GetModel()] = m.GetVersion()
		}
		return instance
	})
}
