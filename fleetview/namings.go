package fleetview

import (
	"math"
	"time"

	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/rollout"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// encodeNamings returns what an update says of the weight versions that operators have named: what the replicated state records, and what this node
// knows.
func encodeNamings(state *nodepb.State, known []rollout.Naming) []*nodepb.NamedWeights {
	recorded := lo.Map(state.GetRequiredWeights(), func(w *nodepb.WeightVersion, _ int) *nodepb.NamedWeights {
		return &nodepb.NamedWeights{Model: w.GetModel(), Version: w.GetVersion(), Required: true}
	})
	return append(recorded, lo.FilterMap(known, func(n rollout.Naming, _ int) (*nodepb.NamedWeights, bool) {
		named := &nodepb.NamedWeights{
			Model: n.Model, Version: n.Version, AgeMs: uint32(min(max(0, n.Age.Milliseconds()), math.MaxUint32)), Required: n.Required,
		}
		isRecorded := n.Required && lo.ContainsBy(recorded, func(r *nodepb.NamedWeights) bool { return r.GetModel() == n.Model && r.GetVersion() >= n.Version })
		return named, !isRecorded
	})...)
}

// DecodeNamings returns what an update says of the weight versions that operators have named. An update of an earlier release tells no ages.
func DecodeNamings(u *nodepb.WatchUpdate) []rollout.Naming {
	known := lo.Map(u.GetNamedWeights(), func(w *nodepb.NamedWeights, _ int) rollout.Naming {
		return rollout.Naming{Model: w.GetModel(), Version: w.GetVersion(), Age: time.Duration(w.GetAgeMs()) * time.Millisecond, Required: w.GetRequired()}
	})
	return append(known, lo.Map(u.GetWeights(), func(w *nodepb.WeightVersion, _ int) rollout.Naming {
		return rollout.Naming{Model: w.GetModel(), Version: w.GetVersion()}
	})...)
}
