package cli

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

func (p *program) validate(command *validateCommand) int {
	document, err := readFile(command.File)
	if err == nil {
		_, err = objectset.Parse(document)
	}
	return p.finish(report{}, err, "valid", "")
}

func (p *program) publish(ctx context.Context, command *publishCommand) int {
	document, err := readFile(command.File)
	if err != nil {
		return p.finish(report{}, err, "", "")
	}
	request := &controlpb.PublishRequest{
		Operator: p.operator(), OperationId: operationID(command.OperationID), Document: document,
	}
	if request.ExpectVersion, err = p.expectedVersion(ctx, command, request); err != nil {
		return p.finish(report{}, err, "", "")
	}
	response, err := p.client.Publish(ctx, request)
	if failure.Is(err, failure.VersionConflict) {
		err = describeConflict(err, response)
	}
	r := report{Version: response.GetVersion(), OperationID: request.OperationId}
	message := fmt.Sprintf("version %d is accepted (operation %s)", r.Version, r.OperationID)
	resend := fmt.Sprintf("wasabishunt publish %s --expect-version %d --operation-id %s",
		strconv.Quote(command.File), request.ExpectVersion, request.OperationId)
	return p.finish(r, err, message, resend)
}

// expectedVersion returns the given version, or else the current one as reported by the leader.
func (p *program) expectedVersion(ctx context.Context, command *publishCommand, request *controlpb.PublishRequest) (uint64, error) {
	if command.ExpectVersion != nil {
		return *command.ExpectVersion, nil
	}
	// A dry run changes nothing, so its failure is never an unknown outcome. Problems of the set are ignored here:
	// the publish itself reports them and records them in the audit trail.
	response, err := p.client.Publish(ctx, &controlpb.PublishRequest{
		Operator: request.Operator, Document: request.Document, DryRun: true,
	})
	if err != nil && !failure.Is(err, failure.InvalidSet) {
		kind := failure.Of(err).Kind
		if kind == failure.OutcomeUnknown {
			kind = failure.NoQuorum
		}
		return 0, failure.Wrap(err, kind, failure.NotRun, "nothing was published; control did not report its current version")
	}
	return response.CurrentVersion, nil
}

// describeConflict adds the operator and the time of the current version to a version conflict.
func describeConflict(err error, response *controlpb.PublishResponse) error {
	publishedAt := time.UnixMilli(response.GetCurrentUnixMs()).UTC().Format(time.RFC3339)
	return failure.New(failure.VersionConflict, failure.Of(err).Execution, "%s; version %d was published by %s at %s",
		failure.Of(err).Message, response.GetCurrentVersion(), response.GetCurrentOperator(), publishedAt)
}

func (p *program) drain(ctx context.Context, command *drainCommand) int {
	request := &controlpb.DrainRequest{
		Operator: p.operator(), OperationId: operationID(command.OperationID), Upstream: command.Upstream, Undo: command.Undo,
	}
	_, err := p.client.Drain(ctx, request)
	flags, message := "", command.Upstream+" gets no new work; its agent ends when running work has finished"
	if command.Undo {
		flags, message = " --undo", "the drain of "+command.Upstream+" is taken back; start its agent again if it has ended"
	}
	resend := fmt.Sprintf("wasabishunt drain %s%s --operation-id %s", strconv.Quote(command.Upstream), flags, request.OperationId)
	return p.finish(report{OperationID: request.OperationId}, err, message, resend)
}

func (p *program) evacuate(ctx context.Context, command *evacuateCommand) int {
	request := &controlpb.EvacuateRequest{
		Operator: p.operator(), OperationId: operationID(command.OperationID), AvailabilityZone: command.Zone, Undo: command.Undo,
	}
	_, err := p.client.Evacuate(ctx, request)
	flags, message := "", "upstreams in zone "+command.Zone+" get no new work; running work finishes"
	if command.Undo {
		flags, message = " --undo", "upstreams in zone "+command.Zone+" get work again"
	}
	resend := fmt.Sprintf("wasabishunt evacuate %s%s --operation-id %s", strconv.Quote(command.Zone), flags, request.OperationId)
	return p.finish(report{OperationID: request.OperationId}, err, message, resend)
}

func (p *program) members(ctx context.Context, command *membersCommand) int {
	action, flag, member := "add_learner", "add-learner", command.AddLearner
	switch {
	case command.Promote != nil:
		action, flag, member = "promote", "promote", command.Promote
	case command.Remove != nil:
		action, flag, member = "remove", "remove", command.Remove
	}
	request := &controlpb.ChangeMembersRequest{
		Operator: p.operator(), OperationId: operationID(member.OperationID), Action: action,
		Member: &raftpb.Member{Id: member.ID, Address: member.Address, AvailabilityZone: member.Zone, Learner: action == "add_learner"},
	}
	_, err := p.client.ChangeMembers(ctx, request)
	resend := fmt.Sprintf("wasabishunt members %s --id %d --operation-id %s", flag, member.ID, request.OperationId)
	if member.Address != "" {
		resend += " --address " + member.Address + " --zone " + strconv.Quote(member.Zone)
	}
	return p.finish(report{OperationID: request.OperationId}, err, fmt.Sprintf("%s of member %d is done", flag, member.ID), resend)
}
