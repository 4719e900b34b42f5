package fleetview

import (
	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/rollout"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// DecodeNamings returns what an update says of the weight versions that operators have named.
func DecodeNamings(u *nodepb.WatchUpdate) []rollout.Naming {
	return lo.Map(u.GetWeights(), func(w *nodepb.WeightVersion, _ int) rollout.Naming {
		return rollout.Naming{Model: w.GetModel(), Version: w.GetVersion()}
	})
}
