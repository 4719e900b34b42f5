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

// maxDeadPerBatch limits the processes that one batch declares dead.
const maxDeadPerBatch = 1000

// ReportPresence records that a process is live and returns whether this member's state is current. Only new and
// changed registrations are written to the log.
func (s *Server) ReportPresence(ctx context.Context, q *controlpb.PresenceRequest) (*controlpb.PresenceResponse, error) {
	if q.ProcessId == "" || q.Incarnation == "" {
		return &controlpb.PresenceResponse{Failure: failureMessage(
			failure.New(failure.InvalidRequest, failure.NotRun, "process id and incarnation must be set"))}, nil
	}
	s.catchUp(ctx, q.ObservedVersion)
	known, ok := s.machine.lookup(q.ProcessId)
	epoch := known.epoch
	if !ok || s.changesRegistration(known, q) {
		response := s.register(ctx, q)
		if response.Failure != nil {
			return response, nil
		}
		epoch = response.Epoch
	}
	s.mu.Lock()
	s.presence[q.ProcessId] = presence{lastSeen: s.options.Clock.Now(), incarnation: q.Incarnation, setVersion: q.SetVersion}
	s.mu.Unlock()
	// Freshness is read before the version, so that the version in the response is at least as new as the freshness.
	fresh := s.replicator.Fresh()
	version, revision := s.machine.Positions()
	return &controlpb.PresenceResponse{Epoch: epoch, SetVersion: version, MembershipRevision: revision, Fresh: fresh}, nil
}

// catchUp waits until this member has the set version that a process observed on the data path. Without it the process
// could not accept work until the leader's next heartbeat.
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

// changesRegistration reports whether a presence report changes the replicated table.
func (s *Server) changesRegistration(known registration, q *controlpb.PresenceRequest) bool {
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

// forward sends a batch to the leader, which may be this member.
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

// ForwardPresence applies registrations and state changes from another member. An empty batch is a heartbeat.
func (s *Server) ForwardPresence(ctx context.Context, batch *controlpb.PresenceBatch) (*controlpb.PresenceResponse, error) {
	if !s.isLeader() {
		return &controlpb.PresenceResponse{Failure: s.notLeaderFailure()}, nil
	}
	s.mu.Lock()
	s.memberLastSeen[batch.MemberId] = s.options.Clock.Now()
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
		return &controlpb.PresenceResponse{Failure: unexpectedResult()}
	}
	return response
}

// sendLeaderHeartbeat sends an empty batch to the leader, so that it does not treat this member as unresponsive.
func (s *Server) sendLeaderHeartbeat(ctx context.Context) {
	if id, _ := s.replicator.Leader(); id != 0 && id != s.options.MemberID {
		s.forward(ctx, &controlpb.PresenceBatch{MemberId: s.options.MemberID})
	}
}

// monitor declares unresponsive processes of this member dead and, on the leader, all processes of unresponsive
// members.
func (s *Server) monitor(ctx context.Context) {
	s.recordLeadership()
	s.declareDead(ctx, s.options.MemberID, s.unresponsiveProcesses())
	for _, member := range s.unresponsiveMembers() {
		s.declareDead(ctx, member, s.machine.liveProcessesOf(member))
	}
}

func (s *Server) recordLeadership() {
	leads := s.isLeader()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !leads {
		s.leaderSince = time.Time{}
		clear(s.memberLastSeen)
	} else if s.leaderSince.IsZero() {
		s.leaderSince = s.options.Clock.Now()
	}
}

// unresponsiveProcesses lists the processes of this member whose last report is older than DeadAfter. After a restart
// the time counts from the start, because the times of earlier reports are not stored.
func (s *Server) unresponsiveProcesses() []registration {
	live := s.machine.liveProcessesOf(s.options.MemberID)
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var unresponsive []registration
	current := map[string]bool{}
	for _, r := range live {
		current[r.request.ProcessId] = true
		lastSeen := s.started
		if p, ok := s.presence[r.request.ProcessId]; ok && p.incarnation == r.request.Incarnation {
			lastSeen = p.lastSeen
		}
		if now.Sub(lastSeen) >= s.options.DeadAfter {
			unresponsive = append(unresponsive, r)
		}
	}
	for id, p := range s.presence {
		if !current[id] && now.Sub(p.lastSeen) > time.Minute {
			delete(s.presence, id)
		}
	}
	return unresponsive
}

// unresponsiveMembers lists the other members with processes that have not sent a message to this leader within
// MemberDeadAfter.
func (s *Server) unresponsiveMembers() []uint64 {
	members := s.machine.membersWithProcesses()
	now := s.options.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaderSince.IsZero() {
		return nil
	}
	var unresponsive []uint64
	for member := range members {
		lastSeen := s.leaderSince
		if at := s.memberLastSeen[member]; at.After(lastSeen) {
			lastSeen = at
		}
		if member != s.options.MemberID && now.Sub(lastSeen) >= s.options.MemberDeadAfter {
			unresponsive = append(unresponsive, member)
		}
	}
	return unresponsive
}

func (s *Server) declareDead(ctx context.Context, member uint64, dead []registration) {
	if len(dead) == 0 {
		return
	}
	batch := &controlpb.PresenceBatch{MemberId: member}
	for _, r := range dead[:min(len(dead), maxDeadPerBatch)] {
		batch.Processes = append(batch.Processes, &controlpb.ProcessState{
			ProcessId: r.request.ProcessId, Epoch: r.epoch, State: membership.Dead,
		})
	}
	response := s.forward(ctx, batch)
	if kind := response.Failure.GetKind(); kind != string(controlclient.ProposalLost) {
		s.logRefusal("declaration of dead processes failed", response.Failure)
	}
}

// readVMList writes changes of the platform's VM list to the log. Only the leader reads the list.
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
	changed := s.machine.changedVMs(states)
	if len(changed) == 0 {
		return
	}
	response := s.proposePresence(ctx, &controlpb.PresenceBatch{MemberId: s.options.MemberID, Vms: changed})
	s.logRefusal("VM list not recorded", response.Failure)
}
