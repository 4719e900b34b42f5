package coregroup

import (
	"context"
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// maxEvacuationCalls limits the calls that the state keeps, of those with an operation id and of those without one each.
const maxEvacuationCalls = 64

// errOperationReused refuses an operation id that came with another call before.
var errOperationReused = failure.New(failure.KeyConflict, failure.NotRun, "the operation id was used for another call")

// setEvacuation adds a zone to the evacuated ones or removes it, and reports whether the state has changed. A call whose operation id is known
// changes nothing.
func setEvacuation(next *nodepb.State, call *nodepb.SetEvacuation) (changed bool) {
	if call.GetOperationId() != "" {
		if evacuationCall(next, call.GetOperationId()) != nil {
			return false
		}
		recordCall(next, call)
		changed = true
	}
	zone := call.GetAvailabilityZone()
	at, evacuated := slices.BinarySearch(next.GetEvacuatedZones(), zone)
	if evacuated == call.GetEvacuated() {
		return changed
	}
	// The list belongs to earlier states, too.
	zones := slices.Clone(next.GetEvacuatedZones())
	if evacuated {
		zones = slices.Delete(zones, at, at+1)
		if call.GetOperationId() == "" {
			recordCall(next, call)
		}
	} else {
		zones = slices.Insert(zones, at, zone)
	}
	next.EvacuatedZones = zones
	next.EvacuationsRevision++
	next.EvacuationsChangedUnixMs = call.GetUnixMs()
	return true
}

// evacuationCall returns the call with an operation id, nil if it is not known.
func evacuationCall(state *nodepb.State, operationID string) *nodepb.SetEvacuation {
	for _, call := range state.GetEvacuationCalls() {
		if call.GetOperationId() == operationID {
			return call
		}
	}
	return nil
}

// recordCall adds a call to the known ones. Of calls without an operation id only the last one of each zone that ended an evacuation is kept:
// sent again, it must be acknowledged although the zone may be named nowhere any more.
func recordCall(next *nodepb.State, call *nodepb.SetEvacuation) {
	hasID := call.GetOperationId() != ""
	kept, same := make([]*nodepb.SetEvacuation, 0, len(next.GetEvacuationCalls())+1), 0
	for _, old := range slices.Backward(next.GetEvacuationCalls()) {
		if (old.GetOperationId() != "") == hasID {
			if !hasID && old.GetAvailabilityZone() == call.GetAvailabilityZone() {
				continue
			}
			if same++; same >= maxEvacuationCalls {
				continue
			}
		}
		kept = append(kept, old)
	}
	slices.Reverse(kept)
	next.EvacuationCalls = append(kept, call)
}

// HasSeenZone reports whether a zone is evacuated, or its evacuation ended lately, by a state.
func HasSeenZone(state *nodepb.State, zone string) bool {
	return slices.Contains(state.GetEvacuatedZones(), zone) || slices.ContainsFunc(state.GetEvacuationCalls(), func(call *nodepb.SetEvacuation) bool {
		return call.GetAvailabilityZone() == zone
	})
}

// SetEvacuation makes the start or the end of the evacuation of a zone durable. It fails with failure.NotLeader on a node that is not the leader,
// and with failure.KeyConflict if the operation id was used for another call.
func (g *Group) SetEvacuation(ctx context.Context, call *nodepb.SetEvacuation) error {
	call.UnixMs = time.Now().UnixMilli()
	if err := g.Propose(ctx, &nodepb.Command{Change: &nodepb.Command_SetEvacuation{SetEvacuation: call}}); err != nil {
		return err
	}
	if call.GetOperationId() == "" {
		return nil
	}
	// The proposal has been applied to the local state.
	state, _ := g.State()
	known := evacuationCall(state, call.GetOperationId())
	if known != nil && (known.GetAvailabilityZone() != call.GetAvailabilityZone() || known.GetEvacuated() != call.GetEvacuated()) {
		return errOperationReused
	}
	return nil
}
