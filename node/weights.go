package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/fleetview"
	"github.com/wasabishunt/wasabishunt/rollout"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// WantedVersion implements gateway.Sets.
func (n *Node) WantedVersion(model string) uint64 { return n.weights.Load().Newest(model) }

// weightsMargin is the time before the end of WeightsWithin from which no request starts on older weights.
const weightsMargin = time.Second

// weightsLimit returns the time from the naming of a weight version until requests must not start on older ones, 0 for no such time.
func weightsLimit(within time.Duration) time.Duration { return max(within-weightsMargin, within/2) }

// RequiredVersion implements gateway.Sets.
func (n *Node) RequiredVersion(model string) uint64 {
	return n.weights.Load().Required(model, time.Now())
}

// WantedVersions returns the newest weight version that operators have named for each model.
func (n *Node) WantedVersions() map[string]uint64 { return n.weights.Load().NewestOfAll() }

// Namings returns what this node knows of the weight versions that operators have named.
func (n *Node) Namings(now time.Time) []rollout.Naming { return n.weights.Load().Namings(now) }

// applyWeights applies the weight versions of an update. The caller holds updateMu.
func (n *Node) applyWeights(from string, u *nodepb.WatchUpdate) {
	named, change := n.weights.Load().Accept(fleetview.DecodeNamings(u), time.Now())
	n.weights.Store(named)
	for _, naming := range change.Named {
		n.log.Info("weights named", zap.String("model", naming.Model), zap.Uint64("weight_version", naming.Version), zap.Duration("named_ago", naming.Age),
			zap.Bool("required", naming.Required), zap.String("from", from))
	}
	for _, naming := range change.Required {
		n.log.Info("older weights outdated", zap.String("model", naming.Model), zap.Uint64("required_version", naming.Version), zap.String("from", from))
	}
}

const (
	// recordInterval is the pause between checks of the leader for versions past their limit that the replicated state does not have.
	recordInterval = 250 * time.Millisecond
	// recordTimeout limits one change of the replicated state.
	recordTimeout = 2 * time.Second
)

// recordRequiredWeights records versions past their limit in the replicated state while this node leads, until the context ends. Nodes that start
// later must not count from their start.
func (n *Node) recordRequiredWeights(ctx context.Context) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !n.group.Leads() {
			continue
		}
		err := n.recordRequired(ctx)
		if err != nil && !failing && ctx.Err() == nil {
			n.log.Warn("outdated weights not recorded", zap.Error(err))
		}
		failing = err != nil
	}
}

func (n *Node) recordRequired(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	for _, naming := range n.Namings(time.Now()) {
		if !naming.Required {
			continue
		}
		if err := n.group.RequireWeights(ctx, naming.Model, naming.Version); err != nil {
			return err
		}
	}
	return nil
}
