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
)

// awaitRole asks the seeds until one tells this member to form the group, or notes it as one that joins.
//
// All nodes of a first start have the same seeds, so the lowest of them decides who forms the group. It does so once in
// its life, and only if it is itself part of the first start; no later start can form a second group.
func (g *Group) awaitRole(ctx context.Context, own identity) (founder bool, err error) {
	for ctx.Err() == nil {
		if g.decides() && g.grant() {
			g.options.Log.Info("forming the group", zap.Uint64("member", own.ID))
			return true, nil
		}
		for _, address := range g.askable() {
			answer, err := g.join(ctx, address, own)
			if err != nil {
				continue
			}
			if answer.GetFound() {
				g.options.Log.Info("forming the group", zap.Uint64("member", own.ID))
				return true, nil
			}
			if answer.GetNoted() {
				g.options.Log.Info("joining the group", zap.Uint64("member", own.ID), zap.String("leader", address))
				return false, nil
			}
		}
		clock.Sleep(ctx, joinInterval)
	}
	return false, failure.New(failure.Draining, failure.NotRun, "stopped before the member joined the group")
}

// decides reports whether this node names the founder.
func (g *Group) decides() bool {
	seeds := g.options.Seeds()
	return g.options.FirstStart && len(seeds) > 0 && slices.Min(seeds) == g.options.Address
}

func (g *Group) grant() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := !g.granted
	g.granted = true
	return first
}

// askable lists whom to ask for the leader: the known one, the known members and the seeds.
func (g *Group) askable() []string {
	list := append([]string{g.Leader()}, g.Contacts()...)
	list = append(list, g.options.Seeds()...)
	return lo.Uniq(lo.Without(list, "", g.options.Address))
}

func (g *Group) join(ctx context.Context, address string, own identity) (*nodepb.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := g.pool.Get(ctx, address)
	defer func() { _ = conn.Close() }()
	answer, err := nodepb.NewDRPCNodeClient(conn).Join(ctx, &nodepb.JoinRequest{
		Id: own.ID, Address: g.options.Address, AvailabilityZone: g.options.AvailabilityZone, FirstStart: g.options.FirstStart,
	})
	if err != nil {
		return nil, err
	}
	if leader := answer.GetLeaderAddress(); leader != "" {
		g.HintLeader(leader)
	}
	return answer, nil
}

// signOfLife tells the leader that this member is there; a member that was removed ends.
func (g *Group) signOfLife(ctx context.Context, member *replica.Replica, own identity, removed chan<- struct{}) {
	for ctx.Err() == nil {
		pause := signInterval
		if member.Status().Role != raft.Leader {
			noted := false
			for _, address := range g.askable() {
				answer, err := g.join(ctx, address, own)
				if err != nil {
					continue
				}
				if answer.GetRemoved() {
					close(removed)
					return
				}
				if noted = answer.GetNoted(); noted {
					break
				}
			}
			if !noted {
				pause = joinInterval
			}
		}
		clock.Sleep(ctx, pause)
	}
}

// Join implements the call of another core member.
func (g *Group) Join(_ context.Context, q *nodepb.JoinRequest) (*nodepb.JoinResponse, error) {
	answer := &nodepb.JoinResponse{LeaderAddress: g.Leader()}
	member, _ := g.current()
	if member == nil {
		// A node without a disk decides for those that have one; with a disk it forms the group itself.
		answer.Found = g.options.Dir == "" && q.GetFirstStart() && g.decides() && g.grant()
		return answer, nil
	}
	if member.Status().Role != raft.Leader || !member.Fresh() {
		return answer, nil
	}
	if slices.Contains(member.Status().Members.GetRemovedIds(), q.GetId()) {
		answer.Removed = true
		return answer, nil
	}
	answer.Noted = true
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.candidates) < maxRememberIDs || g.candidates[q.GetId()].id != 0 {
		g.candidates[q.GetId()] = candidate{id: q.GetId(), address: q.GetAddress(), zone: q.GetAvailabilityZone(), heard: time.Now()}
	}
	return answer, nil
}

// manageRoster lets the leader bring the group to its number of voters, and repair it.
func (g *Group) manageRoster(ctx context.Context, member *replica.Replica, state *machine) {
	started := time.Now()
	for ctx.Err() == nil {
		clock.Sleep(ctx, rosterInterval)
		status := member.Status()
		if status.Role != raft.Leader {
			continue
		}
		view := g.rosterView(status)
		if now, _ := state.read(); !now.GetFormed() && (len(view.voters()) >= view.target || time.Since(started) > formingLimit) {
			command := &nodepb.Command{Change: &nodepb.Command_Formed{Formed: &nodepb.MarkFormed{}}}
			g.note(ctx, "group formed", func(ctx context.Context) error { return propose(ctx, member, command) })
		}
		if change := view.next(); change != nil {
			g.note(ctx, "membership changed", func(ctx context.Context) error {
				_, err := member.ChangeMembers(ctx, *change)
				return err
			}, zap.String("change", string(change.Kind)), zap.Uint64("member", change.Member.GetId()), zap.String("address", change.Member.GetAddress()))
		}
	}
}

// note runs one step of the leader and logs it. A learner that has not caught up is tried again.
func (g *Group) note(ctx context.Context, event string, step func(context.Context) error, fields ...zap.Field) {
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

func (g *Group) rosterView(status raft.Status) *rosterView {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.leadTerm != status.Term {
		g.leadTerm, g.leadSince = status.Term, now
	}
	members := status.Members.GetMembers()
	candidates := make(map[uint64]candidate, len(g.candidates))
	for id, c := range g.candidates {
		known := slices.ContainsFunc(members, func(m *raftpb.Member) bool { return m.GetId() == id })
		if !known && now.Sub(c.heard) > forgetAfter || slices.Contains(status.Members.GetRemovedIds(), id) {
			delete(g.candidates, id)
			continue
		}
		candidates[id] = c
	}
	return &rosterView{
		self: status.ID, now: now, since: g.leadSince, members: members, candidates: candidates, target: g.options.Tolerance.voters(),
	}
}
