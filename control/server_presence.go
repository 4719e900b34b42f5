package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/membership"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/upstream/vmlist"
)

// maxForwardDead limits the processes in one declaration.
const maxForwardDead = 1000

// ReportPresence keeps a process live and confirms the set. Only registrations and changes reach the log.
func (s *Server) ReportPresence(ctx context.Context, q *controlpb.PresenceRequest) (*controlpb.PresenceResponse, error) {
	if q.ProcessId == "" || q.Incarnation == "" {
		return &controlpb.PresenceResponse{Failure: failureMessage(
			failure.New(failure.InvalidRequest, failure.NotRun, "process id and incarnation must be set"))}, nil
	}
	s.catchUp(ctx, q.ObservedVersion)
	known, ok := s.machine.lookup(q.ProcessId)
	epoch := known.epoch
	if !ok || s.isNews(known, q) {
		response := s.register(ctx, q)
		if response.Failure != nil {
			return response, nil
		}
		epoch = response.Epoch
	}
	s.mu.Lock()
	s.presence[q.ProcessId] = presence{seen: s.options.Clock.Now(), incarnation: q.Incarnation, setVersion: q.SetVersion}
	s.mu.Unlock()
	// Freshness is read before the version: an answer may name a version newer than the freshness, never an older one.
	fresh := s.replicator.Fresh()
	version, revision := s.machine.Positions()
	return &controlpb.PresenceResponse{Epoch: epoch, SetVersion: version, MembershipRevision: revision, Fresh: fresh}, nil
}

// catchUp fetches a version that a process has seen on the data path and this member does not have yet. Waiting for
// the leader's next heartbeat instead would keep the process from taking work for that time.
func (s *Server) catchUp(ctx context.Context, observed uint64) {
	if version, _ := s.machine.Positions(); observed <= version {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	if err := s.replicator.ReadBarrier(ctx); err != nil {
		s.logRefusal("member did not catch up", failureMessage(err))
	}
}

// isNews reports whether a presence report changes the replicated table.
func (s *Server) isNews(known registration, q *controlpb.PresenceRequest) bool {
	before := proto.Clone(known.request).(*controlpb.PresenceRequest)
	before.SetVersion, before.ObservedVersion = q.SetVersion, q.ObservedVersion
	return known.dead || known.memberID != s.options.MemberID || !proto.Equal(before, q)
}

func (s *Server) register(ctx context.Context, q *controlpb.PresenceRequest) *controlpb.PresenceResponse {
	registration := proto.Clone(q).(*controlpb.PresenceRequest)
	registration.SetVersion, registration.ObservedVersion = 0, 0
	return s.forward(ctx, &controlpb.PresenceBatch{
		MemberId: s.options.MemberID, Registrations: []*controlpb.PresenceRequest{registration},
	})
}

// forward brings a batch to the leader, which may be this member.
func (s *Server) forward(ctx context.Context, batch *controlpb.PresenceBatch) *controlpb.PresenceResponse {
	id, address := s.replicator.Leader()
	if id == s.options.MemberID {
		return s.proposePresence(ctx, batch)
	}
	if id == 0 || address == "" {
		return &controlpb.PresenceResponse{Failure: failureMessage(failure.New(failure.NoQuorum, failure.NotRun, "the leader is not known"))}
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	conn := s.pool.Get(ctx, address)
	defer func() { _ = conn.Close() }()
	response, err := controlpb.NewDRPCControlClient(conn).ForwardPresence(ctx, batch)
	if err != nil {
		return &controlpb.PresenceResponse{Failure: failureMessage(
			failure.Wrap(err, failure.NoQuorum, failure.Unknown, "forward presence to the leader"))}
	}
	return response
}

// ForwardPresence takes registrations and state changes from a member. An empty batch only shows that it lives.
func (s *Server) ForwardPresence(ctx context.Context, batch *controlpb.PresenceBatch) (*controlpb.PresenceResponse, error) {
	if !s.isLeader() {
		return &controlpb.PresenceResponse{Failure: s.notLeader()}, nil
	}
	s.mu.Lock()
	s.memberSeen[batch.MemberId] = s.options.Clock.Now()
	s.mu.Unlock()
	if len(batch.Registrations)+len(batch.Processes) == 0 {
		return &controlpb.PresenceResponse{}, nil
	}
	return s.proposePresence(ctx, batch), nil
}

func (s *Server) proposePresence(ctx context.Context, batch *controlpb.PresenceBatch) *controlpb.PresenceResponse {
	result, refusal := s.propose(ctx, &controlpb.Command{Command: &controlpb.Command_Presence{Presence: batch}})
	if refusal != nil {
		return &controlpb.PresenceResponse{Failure: refusal}
	}
	response, ok := result.(*controlpb.PresenceResponse)
	if !ok {
		return &controlpb.PresenceResponse{Failure: wrongResult()}
	}
	return response
}

// greetLeader shows the leader that this member lives.
func (s *Server) greetLeader(ctx context.Context) {
	if id, _ := s.replicator.Leader(); id != 0 && id != s.options.MemberID {
		s.forward(ctx, &controlpb.PresenceBatch{MemberId: s.options.MemberID})
	}
}

// monitor declares silent processes dead: this member's own, and as the leader those of silent members.
func (s *Server) monitor(ctx context.Context) {
	s.noteLeadership()
	s.declare(ctx, s.options.MemberID, s.silent())
	for _, member := range s.silentMembers() {
		s.declare(ctx, member, s.machine.hostedBy(member))
	}
}

func (s *Server) noteLeadership() {
	leads := s.isLeader()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !leads {
		s.leaderSince = time.Time{}
		clear(s.memberSeen)
	} else if s.leaderSince.IsZero() {
		s.leaderSince = s.options.Clock.Now()
	}
}

// silent lists the processes of this member without a report in time. A member that has just started counts
// from its start, because it has forgotten when it last heard of its processes.
func (s *Server) silent() []registration {
	hosted := s.machine.hostedBy(s.options.MemberID)
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var silent []registration
	current := map[string]bool{}
	for _, r := range hosted {
		current[r.request.ProcessId] = true
		seen := s.started
		if p, ok := s.presence[r.request.ProcessId]; ok && p.incarnation == r.request.Incarnation {
			seen = p.seen
		}
		if now.Sub(seen) >= s.options.DeadAfter {
			silent = append(silent, r)
		}
	}
	for id, p := range s.presence {
		if !current[id] && now.Sub(p.seen) > time.Minute {
			delete(s.presence, id)
		}
	}
	return silent
}

// silentMembers lists the other members that host processes and have been silent too long for this leader.
func (s *Server) silentMembers() []uint64 {
	hosts := s.machine.hosts()
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaderSince.IsZero() {
		return nil
	}
	var silent []uint64
	for member := range hosts {
		seen := s.leaderSince
		if at := s.memberSeen[member]; at.After(seen) {
			seen = at
		}
		if member != s.options.MemberID && now.Sub(seen) >= s.options.MemberDeadAfter {
			silent = append(silent, member)
		}
	}
	return silent
}

func (s *Server) declare(ctx context.Context, member uint64, dead []registration) {
	if len(dead) == 0 {
		return
	}
	batch := &controlpb.PresenceBatch{MemberId: member}
	for _, r := range dead[:min(len(dead), maxForwardDead)] {
		batch.Processes = append(batch.Processes, &controlpb.ProcessState{
			ProcessId: r.request.ProcessId, Epoch: r.epoch, State: membership.Dead,
		})
	}
	response := s.forward(ctx, batch)
	if kind := response.Failure.GetKind(); kind != string(controlclient.ProposalLost) {
		s.logRefusal("declaration of dead processes failed", response.Failure)
	}
}

// readVMList brings changes of the platform's list into the log; only the leader reads it.
func (s *Server) readVMList(ctx context.Context) {
	if !s.isLeader() {
		return
	}
	list, err := s.options.VMList.Read(ctx)
	if err != nil {
		s.logRefusal("VM list not read", failureMessage(err))
		return
	}
	states := make([]*controlpb.VMState, 0, len(list))
	for _, vm := range list {
		states = append(states, &controlpb.VMState{
			Vm: vm.VM, Address: vm.Address, Leaving: vm.State == vmlist.Leaving, Version: vm.Version,
		})
	}
	news := s.machine.vmNews(states)
	if len(news) == 0 {
		return
	}
	response := s.proposePresence(ctx, &controlpb.PresenceBatch{MemberId: s.options.MemberID, Vms: news})
	s.logRefusal("VM list not recorded", response.Failure)
}
