package node

import (
	"context"
	"net"
	"time"

	"github.com/wasabishunt/wasabishunt/peerload"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// permitDialTimeout is above the time for which a question is waited for: the connection then serves the next one.
const permitDialTimeout = 200 * time.Millisecond

// askPermits returns a function that asks another node for permits.
func askPermits(pool *rpcpool.Pool) func(ctx context.Context, address string, q *nodepb.PermitRequest) (*nodepb.PermitReply, error) {
	return func(ctx context.Context, address string, q *nodepb.PermitRequest) (*nodepb.PermitReply, error) {
		conn := pool.Get(ctx, address)
		defer func() { _ = conn.Close() }()
		return nodepb.NewDRPCNodeClient(conn).TakePermits(ctx, q)
	}
}

// askTrials returns a function that asks another node for a trial of a prompt.
func askTrials(pool *rpcpool.Pool) func(ctx context.Context, address string, key uint64) (time.Duration, error) {
	return func(ctx context.Context, address string, key uint64) (time.Duration, error) {
		conn := pool.Get(ctx, address)
		defer func() { _ = conn.Close() }()
		reply, err := nodepb.NewDRPCNodeClient(conn).TakeTrial(ctx, &nodepb.TrialRequest{Key: key})
		return time.Duration(reply.GetWaitMs()) * time.Millisecond, err
	}
}

// setOwners tells the limiter and the trials at which addresses the nodes are asked: that of their load reports with the port for other nodes, which is
// the same on all of them.
func (n *Node) setOwners(peers []peerload.Peer, now time.Time) {
	_, port, err := net.SplitHostPort(n.config.Internal)
	if err != nil {
		// The listener on this address has been opened, so it is well-formed.
		return
	}
	var addresses []string
	for _, peer := range peers {
		if host, _, err := net.SplitHostPort(peer.Address); err == nil {
			addresses = append(addresses, net.JoinHostPort(host, port))
		}
	}
	n.limiter.SetNodes(addresses, now)
	n.trials.SetNodes(addresses)
}
