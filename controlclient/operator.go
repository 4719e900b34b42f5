package controlclient

import (
	"context"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// ProposalLost is the failure kind of a proposal whose outcome is not known to the responding member; the call is
// retried. In contrast, outcome_unknown is the final result for a booking in doubt.
const ProposalLost failure.Kind = "proposal_lost"

// Publish publishes one whole object set. The response holds the current version even if the publish fails with a
// conflict.
func (c *Client) Publish(ctx context.Context, request *controlpb.PublishRequest) (*controlpb.PublishResponse, error) {
	return doBeside(ctx, c, c.silence(len(request.GetDocument())), func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.PublishResponse, error) {
		return client.Publish(ctx, request)
	})
}

// Drain marks an upstream as leaving, or undoes that.
func (c *Client) Drain(ctx context.Context, request *controlpb.DrainRequest) (*controlpb.DrainResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.DrainResponse, error) {
		return client.Drain(ctx, request)
	})
}

// Evacuate takes the upstreams of an availability zone out of service, or back into service.
func (c *Client) Evacuate(ctx context.Context, request *controlpb.EvacuateRequest) (*controlpb.EvacuateResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.EvacuateResponse, error) {
		return client.Evacuate(ctx, request)
	})
}

// ChangeMembers adds, promotes or removes one control member.
func (c *Client) ChangeMembers(ctx context.Context, request *controlpb.ChangeMembersRequest) (*controlpb.ChangeMembersResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.ChangeMembersResponse, error) {
		return client.ChangeMembers(ctx, request)
	})
}

// Audit returns one page of the audit trail.
func (c *Client) Audit(ctx context.Context, request *controlpb.AuditRequest) (*controlpb.AuditResponse, error) {
	return do(ctx, c, func(ctx context.Context, client controlpb.DRPCControlClient) (*controlpb.AuditResponse, error) {
		return client.Audit(ctx, request)
	})
}

// MemberStatus is the status of one control member, or the error of the status call.
type MemberStatus struct {
	Address string
	Status  *controlpb.StatusResponse
	Err     error
}

// StatusAll returns the status of every known member, including those learned from the responses.
func (c *Client) StatusAll(ctx context.Context, brief bool) []MemberStatus {
	var all []MemberStatus
	queried := map[string]bool{}
	for {
		next := ""
		for _, address := range c.directory.leaderFirst() {
			if !queried[address] {
				next = address
				break
			}
		}
		if next == "" || ctx.Err() != nil {
			return all
		}
		queried[next] = true
		status, err := c.StatusOf(ctx, next, brief)
		all = append(all, MemberStatus{Address: next, Status: status, Err: err})
	}
}

// StatusOf returns the status of one member.
func (c *Client) StatusOf(ctx context.Context, address string, brief bool) (*controlpb.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, min(c.options.AttemptTimeout, time.Second))
	defer cancel()
	conn := c.pool.Get(ctx, address)
	defer func() { _ = conn.Close() }()
	status, err := controlpb.NewDRPCControlClient(conn).Status(ctx, &controlpb.StatusRequest{Brief: brief})
	if err != nil {
		return nil, failure.Wrap(err, failure.NoUpstream, failure.NotRun, "status of %s", address)
	}
	c.directory.update(status)
	return status, nil
}
