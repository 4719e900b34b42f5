package coregroup

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/replica"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
	"github.com/wasabishunt/wasabishunt/supervise"
)

// awaitRole calls Join on other nodes until one appoints this member as founder, or the leader accepts it as a candidate.
//
// All nodes of a first start have the same seeds, so the node with the lowest seed address appoints the founder. It does
// so once per process, and only if it takes part in the first start itself; no later start can form a second group.
func (g *Group) awaitRole(ctx context.Context, self identity) (founder bool, err error) {
	for ctx.Err() == nil {
		if g.appointsFounder() && g.grantFounding() {
			g.options.Log.Info("forming the group", zap.Uint64("member", self.ID))
			return true, nil
		}
		response, address := g.joinAny(ctx, self)
		if response.GetFound() {
			g.options.Log.Info("forming the group", zap.Uint64("member", self.ID))
			return true, nil
		}
		if response.GetNoted() {
			g.options.Log.Info("joining the group", zap.Uint64("member", self.ID), zap.String("leader", address))
			return false, nil
		}
		clock.Sleep(ctx, joinInterval)
	}
	return false, failure.New(failure.Draining, failure.NotRun, "stopped before the member joined the group")
}

// appointsFounder reports whether this node appoints the founder.
func (g *Group) appointsFounder() bool {
	seeds := g.options.Seeds()
	return g.options.FirstStart && len(seeds) > 0 && slices.Min(seeds) == g.options.Address
}

// grantFounding appoints a founder and returns false if this node has already done so.
func (g *Group) grantFounding() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := !g.foundingGranted
	g.foundingGranted = true
	return first
}

// joinTargets returns the addresses to which Join calls are sent: the leader, the contacts and the seeds.
func (g *Group) joinTargets() []string {
	list := []string{g.Leader()}
	if hint := g.joinHint.Load(); hint != nil {
		list = append(list, *hint)
	}
	list = append(list, g.Contacts()...)
	list = append(list, g.options.Seeds()...)
	return lo.Uniq(lo.Without(list, "", g.options.Address))
}

// joinStagger is the time after which another node is called beside one that has not answered: some round trips. A lost packet costs a call 0.2 s, and
// a node that is away the whole callTimeout.
const joinStagger = 100 * time.Millisecond

// joinAny calls Join on one target after the other, without waiting longer than joinStagger for an answer before the next call. While a call is
// open it calls the others again, because a leader may be elected meanwhile. It returns the first response that decides about this member, with
// the address that gave it, and nil if there is none.
func (g *Group) joinAny(ctx context.Context, self identity) (*nodepb.JoinResponse, string) {
	type answer struct {
		address  string
		response *nodepb.JoinResponse
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer)
	begun := time.Now()
	open := map[string]bool{}
	answeredAt := map[string]time.Time{}
	// callNext calls the next target. An answer may have named the leader, which is then the first of them.
	callNext := func() {
		address, found := lo.Find(g.joinTargets(), func(address string) bool {
			return !open[address] && time.Since(answeredAt[address]) >= joinInterval
		})
		if !found || time.Since(begun) >= callTimeout {
			return
		}
		open[address] = true
		go func() {
			a := answer{address: address}
			_ = supervise.Call(g.options.Log, "joining", func() { a.response, _ = g.join(ctx, address, self) })
			select {
			case answers <- a:
			case <-ctx.Done():
			}
		}()
	}
	for callNext(); len(open) > 0; callNext() {
		select {
		case <-ctx.Done():
			return nil, ""
		case a := <-answers:
			delete(open, a.address)
			answeredAt[a.address] = time.Now()
			if r := a.response; r.GetFound() || r.GetNoted() || r.GetRemoved() {
				return r, a.address
			}
		case <-time.After(joinStagger):
		}
	}
	return nil, ""
}

func (g *Group) join(ctx context.Context, address string, self identity) (*nodepb.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := g.pool.Get(ctx, address)
	defer func() { _ = conn.Close() }()
	response, err := nodepb.NewDRPCNodeClient(conn).Join(ctx, &nodepb.JoinRequest{
		Id: self.ID, Address: g.options.Address, AvailabilityZone: g.options.AvailabilityZone, FirstStart: g.options.FirstStart,
	})
	if err != nil {
		return nil, err
	}
	if leader := response.GetLeaderAddress(); leader != "" {
		g.joinHint.Store(&leader)
	}
	if response.GetNoted() {
		// Only the leader notes candidates.
		g.SetLeaderHint(address)
	}
	return response, nil
}

// sendKeepAlives repeats the Join call to the leader as a keep-alive. It closes removed and returns if the member was
// removed from the group.
func (g *Group) sendKeepAlives(ctx context.Context, member *replica.Replica, self identity, removed chan<- struct{}) {
	for ctx.Err() == nil {
		pause := keepAliveInterval
		// A member that waits for room counts as away, so that a spare can take its place.
		if member.Status().Role != raft.Leader && !member.WaitsForRoom() {
			response, _ := g.joinAny(ctx, self)
			if response.GetRemoved() {
				close(removed)
				return
			}
			if !response.GetNoted() {
				pause = joinInterval
			}
		}
		clock.Sleep(ctx, pause)
	}
}

// Join implements the Join call of the node service, which is also the keep-alive of core members.
func (g *Group) Join(_ context.Context, q *nodepb.JoinRequest) (*nodepb.JoinResponse, error) {
	response := &nodepb.JoinResponse{LeaderAddress: g.Leader()}
	member, _ := g.current()
	if member == nil {
		// Without a data directory this node appoints another node as founder; with one it is the founder itself.
		response.Found = g.options.Dir == "" && q.GetFirstStart() && g.appointsFounder() && g.grantFounding()
		return response, nil
	}
	if member.Status().Role != raft.Leader || !member.Fresh() {
		return response, nil
	}
	if slices.Contains(member.Status().Members.GetRemovedIds(), q.GetId()) {
		response.Removed = true
		return response, nil
	}
	response.Noted = true
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.candidates) < maxCandidates || g.candidates[q.GetId()].id != 0 {
		g.candidates[q.GetId()] = candidate{id: q.GetId(), address: q.GetAddress(), zone: q.GetAvailabilityZone(), lastContact: time.Now()}
	}
	return response, nil
}

// manageMembership proposes membership changes while this member leads, until the group has its target number of
// responsive voters. It also marks a new group as formed.
func (g *Group) manageMembership(ctx context.Context, member *replica.Replica, state *machine) {
	started := time.Now()
	for ctx.Err() == nil {
		clock.Sleep(ctx, membershipInterval)
		status := member.Status()
		if status.Role != raft.Leader || member.WaitsForRoom() {
			continue
		}
		view := g.membershipView(status)
		if current, _ := state.read(); !current.GetFormed() && (len(view.voters()) >= view.target || time.Since(started) > formingTimeout) {
			command := &nodepb.Command{Change: &nodepb.Command_Formed{Formed: &nodepb.MarkFormed{}}}
			g.runStep(ctx, "group formed", func(ctx context.Context) error { return propose(ctx, member, command) })
		}
		if change := view.next(); change != nil {
			g.runStep(ctx, "membership changed", func(ctx context.Context) error {
				_, err := member.ChangeMembers(ctx, *change)
				return err
			}, zap.String("change", string(change.Kind)), zap.Uint64("member", change.Member.GetId()), zap.String("address", change.Member.GetAddress()))
		}
	}
}

// runStep runs one step of the leader and logs its result. It does not log failure.InProgress, such as for a learner that
// has not caught up: the step is repeated after membershipInterval.
func (g *Group) runStep(ctx context.Context, event string, step func(context.Context) error, fields ...zap.Field) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := step(ctx); err != nil {
		if !failure.Is(err, failure.InProgress) {
			g.options.Log.Warn("membership step failed", append(fields, zap.String("step", event), zap.Error(err))...)
		}
		return
	}
	g.options.Log.Info(event, fields...)
}

// membershipView returns the current input of membership decisions and drops outdated candidates.
func (g *Group) membershipView(status raft.Status) *membershipView {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.leaderTerm != status.Term {
		g.leaderTerm, g.leaderSince = status.Term, now
	}
	members := status.Members.GetMembers()
	candidates := make(map[uint64]candidate, len(g.candidates))
	for id, c := range g.candidates {
		known := slices.ContainsFunc(members, func(m *raftpb.Member) bool { return m.GetId() == id })
		if !known && now.Sub(c.lastContact) > removeLearnerAfter || slices.Contains(status.Members.GetRemovedIds(), id) {
			delete(g.candidates, id)
			continue
		}
		candidates[id] = c
	}
	return &membershipView{
		self: status.ID, now: now, since: g.leaderSince, members: members, candidates: candidates, target: g.options.Tolerance.voters(),
	}
}
