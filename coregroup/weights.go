package coregroup

import (
	"context"

	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// nameWeights sets the weight version of a model, unless the state has the same or a higher version.
func nameWeights(next *nodepb.State, added *nodepb.WeightVersion) (changed bool) {
	next.Weights, changed = raise(next.GetWeights(), added)
	return changed
}

// requireWeights records that requests must not begin on older versions than one that was named.
func requireWeights(next *nodepb.State, required *nodepb.WeightVersion) (changed bool) {
	if required.GetVersion() > versionOf(next.GetWeights(), required.GetModel()) {
		return false
	}
	next.RequiredWeights, changed = raise(next.GetRequiredWeights(), required)
	return changed
}

// raise returns versions with that of one model replaced, unless they have the same or a higher one. The list is not changed.
func raise(versions []*nodepb.WeightVersion, added *nodepb.WeightVersion) (next []*nodepb.WeightVersion, changed bool) {
	if versionOf(versions, added.GetModel()) >= added.GetVersion() {
		return versions, false
	}
	next = lo.Reject(versions, func(w *nodepb.WeightVersion, _ int) bool { return w.GetModel() == added.GetModel() })
	return append(next, added), true
}

// versionOf returns the version of a model, 0 if the list has none.
func versionOf(versions []*nodepb.WeightVersion, model string) uint64 {
	w, _ := lo.Find(versions, func(w *nodepb.WeightVersion) bool { return w.GetModel() == model })
	return w.GetVersion()
}

// RequireWeights makes durable that requests must not begin on older versions of a model's weights. It proposes nothing if the state records that
// already or lacks the version, and fails with failure.NotLeader on a node that is not the leader.
func (g *Group) RequireWeights(ctx context.Context, model string, version uint64) error {
	state, _ := g.State()
	if version <= versionOf(state.GetRequiredWeights(), model) || version > versionOf(state.GetWeights(), model) {
		return nil
	}
	return g.Propose(ctx, &nodepb.Command{Change: &nodepb.Command_RequireWeights{RequireWeights: &nodepb.WeightVersion{Model: model, Version: version}}})
}
