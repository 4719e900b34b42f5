package control

import (
	"context"
	"crypto/sha256"
	"fmt"
	"slices"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
	"github.com/wasabishunt/wasabishunt/serving/evacuation"
)

// maxChangesBytes limits the size of a publish command with changes; above it the command carries the compressed
// document.
const maxChangesBytes = 256 << 10

// maxOperationIDBytes limits the length of an operation id.
const maxOperationIDBytes = 128

// authorize authenticates the operator of a call against the set of the leader, which has applied every acknowledged
// command. It fails on other members.
func (s *Server) authorize(operator *controlpb.Operator) *controlpb.Failure {
	if !s.isLeader() {
		return s.notLeaderFailure()
	}
	set, _ := s.machine.CurrentSet()
	if err := s.options.Operators.Authenticate(operator, set); err != nil {
		s.options.Log.Warn("operator refused", zap.String("operator", operator.GetName()), zap.Error(err))
		return failureMessage(err)
	}
	return nil
}

func checkOperation(id string) *controlpb.Failure {
	if id == "" || len(id) > maxOperationIDBytes {
		return failureMessage(failure.New(failure.InvalidRequest, failure.NotRun,
			"the operation id must have 1 to %d bytes", maxOperationIDBytes))
	}
	return nil
}

// Publish validates a set and makes it the current one if the expected version is the current version.
func (s *Server) Publish(ctx context.Context, q *controlpb.PublishRequest) (*controlpb.PublishResponse, error) {
	if refusal := s.authorize(q.Operator); refusal != nil {
		return &controlpb.PublishResponse{Failure: refusal}, nil
	}
	set, err := s.validate(q.Document)
	if q.DryRun {
		return s.dryRun(err), nil
	}
	if refusal := checkOperation(q.OperationId); refusal != nil {
		return &controlpb.PublishResponse{Failure: refusal}, nil
	}
	if err != nil {
		return s.recordInvalidPublish(ctx, q, err), nil
	}
	return s.proposePublish(ctx, s.publishCommand(q, set)), nil
}

func (s *Server) validate(document []byte) (*objectset.Set, error) {
	set, err := objectset.Parse(document)
	if err != nil {
		return nil, err
	}
	if problems := s.options.Operators.operatorTokenProblems(set); len(problems) > 0 {
		e := failure.New(failure.InvalidSet, failure.NotRun, "the object set has %d problems", len(problems))
		e.Problems = problems
		return nil, e
	}
	return set, nil
}

func (s *Server) dryRun(err error) *controlpb.PublishResponse {
	_, version := s.machine.CurrentSet()
	response := &controlpb.PublishResponse{CurrentVersion: version}
	if err != nil {
		response.Failure = failureMessage(err)
	}
	return response
}

// publishCommand hashes the operator and the document to identify the operation. The hash leaves out the expected
// version, so that a resend with a newer expected version still gets its first outcome. If the expected version is the
// local one, the command carries only the changes, because the document of a large set would fill the log. The
// compare-and-set on the version ensures that changes are applied only to the set that they were computed from.
func (s *Server) publishCommand(q *controlpb.PublishRequest, set *objectset.Set) *controlpb.PublishCommand {
	canonical := set.Canonical()
	hash := sha256.New()
	_, _ = fmt.Fprintf(hash, "%q ", q.Operator.GetName())
	_, _ = hash.Write(canonical)
	command := &controlpb.PublishCommand{
		Operator: q.Operator.GetName(), OperationId: q.OperationId,
		ExpectVersion: q.ExpectVersion, PayloadHash: hash.Sum(nil),
	}
	current, version := s.machine.CurrentSet()
	if version == q.ExpectVersion {
		command.Changes = objectset.Diff(current, set)
	}
	if version == q.ExpectVersion && proto.Size(command) <= maxChangesBytes {
		command.Delta = true
		return command
	}
	command.Changes = nil
	command.Document = compress(canonical)
	return command
}

// recordInvalidPublish records a publish that failed validation in the audit trail.
func (s *Server) recordInvalidPublish(ctx context.Context, q *controlpb.PublishRequest, invalid error) *controlpb.PublishResponse {
	refusal := failureMessage(invalid)
	reason := refusal.Message
	if len(refusal.Problems) > 0 {
		reason = fmt.Sprintf("%s; first: %s: %s", reason, refusal.Problems[0].Path, refusal.Problems[0].Message)
	}
	response := s.proposePublish(ctx, &controlpb.PublishCommand{
		Operator: q.Operator.GetName(), OperationId: q.OperationId,
		ExpectVersion: q.ExpectVersion, RefusedReason: reason,
	})
	if response.Failure.GetKind() != string(failure.InvalidSet) {
		return response
	}
	return &controlpb.PublishResponse{
		Failure: refusal, CurrentVersion: response.CurrentVersion,
		CurrentOperator: response.CurrentOperator, CurrentUnixMs: response.CurrentUnixMs,
	}
}

func (s *Server) proposePublish(ctx context.Context, command *controlpb.PublishCommand) *controlpb.PublishResponse {
	result, refusal := s.propose(ctx, &controlpb.Command{Command: &controlpb.Command_Publish{Publish: command}})
	if refusal != nil {
		return &controlpb.PublishResponse{Failure: refusal}
	}
	response, ok := result.(*controlpb.PublishResponse)
	if !ok {
		return &controlpb.PublishResponse{Failure: unexpectedResult()}
	}
	s.options.Log.Info("publish", zap.String("operator", command.Operator), zap.String("operation_id", command.OperationId),
		zap.Uint64("version", response.Version), zap.String("refused", response.Failure.GetKind()))
	return response
}

// Drain marks an upstream as leaving, or undoes that.
func (s *Server) Drain(ctx context.Context, q *controlpb.DrainRequest) (*controlpb.DrainResponse, error) {
	if refusal := s.authorize(q.Operator); refusal != nil {
		return &controlpb.DrainResponse{Failure: refusal}, nil
	}
	if refusal := checkOperation(q.OperationId); refusal != nil {
		return &controlpb.DrainResponse{Failure: refusal}, nil
	}
	// The operator's token is left out, because it must not be written to the replicated log.
	command := &controlpb.DrainRequest{
		Operator: &controlpb.Operator{Name: q.Operator.Name}, OperationId: q.OperationId, Upstream: q.Upstream, Undo: q.Undo,
	}
	result, refusal := s.propose(ctx, &controlpb.Command{Command: &controlpb.Command_Drain{Drain: command}})
	if refusal != nil {
		return &controlpb.DrainResponse{Failure: refusal}, nil
	}
	response, ok := result.(*controlpb.DrainResponse)
	if !ok {
		return &controlpb.DrainResponse{Failure: unexpectedResult()}, nil
	}
	return response, nil
}

// Evacuate takes the upstreams of an availability zone out of service, or back into service.
func (s *Server) Evacuate(ctx context.Context, q *controlpb.EvacuateRequest) (*controlpb.EvacuateResponse, error) {
	if refusal := s.authorize(q.Operator); refusal != nil {
		return &controlpb.EvacuateResponse{Failure: refusal}, nil
	}
	if refusal := checkOperation(q.OperationId); refusal != nil {
		return &controlpb.EvacuateResponse{Failure: refusal}, nil
	}
	if !evacuation.IsZoneName(q.AvailabilityZone) {
		return &controlpb.EvacuateResponse{Failure: failureMessage(
			failure.New(failure.InvalidRequest, failure.NotRun, "%q cannot be the name of an availability zone", q.AvailabilityZone))}, nil
	}
	// The operator's token is left out, because it must not be written to the replicated log.
	command := &controlpb.EvacuateRequest{
		Operator: &controlpb.Operator{Name: q.Operator.Name}, OperationId: q.OperationId, AvailabilityZone: q.AvailabilityZone, Undo: q.Undo,
	}
	result, refusal := s.propose(ctx, &controlpb.Command{Command: &controlpb.Command_Evacuate{Evacuate: command}})
	if refusal != nil {
		return &controlpb.EvacuateResponse{Failure: refusal}, nil
	}
	response, ok := result.(*controlpb.EvacuateResponse)
	if !ok {
		return &controlpb.EvacuateResponse{Failure: unexpectedResult()}, nil
	}
	s.options.Log.Info("evacuation", zap.String("operator", q.Operator.Name), zap.String("operation_id", q.OperationId),
		zap.String("zone", q.AvailabilityZone), zap.Bool("undo", q.Undo), zap.String("refused", response.Failure.GetKind()))
	return response, nil
}

// ChangeMembers adds, promotes or removes one control member. A change that is already in effect succeeds, so a resend
// after a lost response is safe. Ids are never reused, so a removal is recognized without a record of the operation.
func (s *Server) ChangeMembers(ctx context.Context, q *controlpb.ChangeMembersRequest) (*controlpb.ChangeMembersResponse, error) {
	if refusal := s.authorize(q.Operator); refusal != nil {
		return &controlpb.ChangeMembersResponse{Failure: refusal}, nil
	}
	if q.Member == nil || q.Member.Id == 0 {
		return &controlpb.ChangeMembersResponse{Failure: failureMessage(
			failure.New(failure.InvalidRequest, failure.NotRun, "the member id must be set"))}, nil
	}
	response := &controlpb.ChangeMembersResponse{}
	if !memberChangeDone(s.replicator.Members(), q.Action, q.Member) {
		changeCtx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
		defer cancel()
		if err := s.replicator.ChangeMembers(changeCtx, q.Action, q.Member); err != nil {
			response.Failure = s.proposalFailure(err)
		}
		s.auditMembers(ctx, q, response.Failure)
	}
	response.Members = s.replicator.Members()
	return response, nil
}

func memberChangeDone(members *raftpb.Members, action string, member *raftpb.Member) bool {
	var found *raftpb.Member
	for _, m := range members.GetMembers() {
		if m.Id == member.Id {
			found = m
		}
	}
	switch action {
	case "add_learner":
		return found != nil && found.Address == member.Address
	case "promote":
		return found != nil && !found.Learner
	case "remove":
		// Only the id of a removed member counts as a resend; an id that was never used is an operator's mistake.
		return found == nil && slices.Contains(members.GetRemovedIds(), member.Id)
	}
	return false
}

func (s *Server) auditMembers(ctx context.Context, q *controlpb.ChangeMembersRequest, refusal *controlpb.Failure) {
	record := &controlpb.AuditRecord{
		Operator: q.Operator.GetName(), OperationId: q.OperationId, Action: "change_members", Accepted: refusal == nil,
		Reason: fmt.Sprintf("%s member %d %s %s", q.Action, q.Member.Id, q.Member.Address, refusal.GetMessage()),
	}
	_, auditFailure := s.propose(ctx, &controlpb.Command{Command: &controlpb.Command_MemberAudit{
		MemberAudit: &controlpb.MemberAudit{Record: record},
	}})
	s.logRefusal("audit record of a member change failed", auditFailure)
}

// Audit returns one page of the audit trail after a read barrier.
func (s *Server) Audit(ctx context.Context, q *controlpb.AuditRequest) (*controlpb.AuditResponse, error) {
	if refusal := s.authorize(q.Operator); refusal != nil {
		return &controlpb.AuditResponse{Failure: refusal}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	if err := s.replicator.ReadBarrier(ctx); err != nil {
		return &controlpb.AuditResponse{Failure: s.proposalFailure(err)}, nil
	}
	return &controlpb.AuditResponse{Records: s.machine.auditPage(q.After, int(q.Limit))}, nil
}

// Status returns the state of this member, which may lag behind the leader.
func (s *Server) Status(_ context.Context, q *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	leader, _ := s.replicator.Leader()
	term, commit, applied := s.replicator.Progress()
	version, revision := s.machine.Positions()
	response := &controlpb.StatusResponse{
		MemberId: s.options.MemberID, LeaderId: leader, Term: term, CommitIndex: commit, AppliedIndex: applied,
		SetVersion: version, MembershipRevision: revision, Members: s.replicator.Members(),
		Bookings: int64(s.machine.Bookings()), EvacuatedZones: s.machine.evacuatedZones(),
	}
	if age, known := s.replicator.StateAge(); known {
		response.StateAgeMs = uint64(age.Milliseconds()) + 1
	}
	if !q.Brief {
		response.Processes = s.machine.processes()
		s.fillSetVersions(response.Processes)
	}
	return response, nil
}

// fillSetVersions adds the set versions that processes reported to this member; they are not replicated.
func (s *Server) fillSetVersions(processes []*controlpb.ProcessState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range processes {
		if known, ok := s.presence[p.ProcessId]; ok {
			p.SetVersion = max(p.SetVersion, known.setVersion)
		}
	}
}

func (s *Server) logRefusal(event string, refusal *controlpb.Failure) {
	if refusal != nil {
		s.options.Log.Warn(event, zap.String("kind", refusal.Kind), zap.String("message", refusal.Message))
	}
}
