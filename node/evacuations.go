package node

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/coregroup"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/serving/coldstart"
	"github.com/wasabishunt/wasabishunt/serving/evacuation"
)

// Evacuations returns the evacuated zones as this node knows them, nil before the first update of a core member that is in contact with the others.
func (n *Node) Evacuations() *evacuation.List { return n.evacuations.Load() }

// zoneState returns what this node knows of the evacuation of a zone.
func (n *Node) zoneState(zone string) coldstart.Zone {
	list := n.Evacuations()
	if list == nil {
		return coldstart.Zone{LearnedAt: time.Now()}
	}
	return coldstart.Zone{
		Evacuated: list.Contains(zone), ReturnedAt: list.EndedAt(zone), LearnedAt: list.LearnedAt(), ChangeAge: time.Duration(n.evacuationChangeAge.Load()),
	}
}

// applyEvacuations applies the evacuated zones of an update. A list with a higher revision is newer whoever sends it: members execute the same
// log. Revision 0 means that no zone was ever evacuated. The caller holds updateMu.
func (n *Node) applyEvacuations(from string, u *nodepb.WatchUpdate, now time.Time) {
	first := n.evacuations.Load() == nil
	if list, change, ok := n.evacuations.Load().Accept(u.GetEvacuationsRevision(), u.GetEvacuatedZones(), now); ok {
		if changed := u.GetEvacuationsChangedUnixMs(); first && changed != 0 {
			n.evacuationChangeAge.Store(int64(now.Sub(time.UnixMilli(changed))))
		}
		n.evacuations.Store(list)
		n.log.Info("evacuated zones changed", zap.Uint64("revision", list.Revision()), zap.Strings("zones", change.Zones),
			zap.Strings("started", change.Started), zap.Strings("ended", change.Ended), zap.String("from", from))
	}
	if !u.GetFresh() {
		return
	}
	if n.evacuations.Load() == nil {
		n.evacuations.Store(evacuation.None())
	}
	if last := n.evacuationsConfirmed.Swap(&now); last != nil && n.config.EvacuateWithin > 0 && now.Sub(*last) > n.config.EvacuateWithin {
		n.log.Warn("evacuated zones were not confirmed for a while", zap.Duration("unconfirmed_for", now.Sub(*last)), zap.String("from", from))
	}
}

// evacuationsAgeMs returns how long ago a core member that was in contact with the others sent the evacuated zones in ms, -1 if none did.
func (n *Node) evacuationsAgeMs() int64 {
	if at := n.evacuationsConfirmed.Load(); at != nil {
		return time.Since(*at).Milliseconds()
	}
	return -1
}

func (n *Node) evacuatedZones() int64 { return int64(len(n.Evacuations().Zones())) }

// SetZones replaces the availability zones of the settings.
func (n *Node) SetZones(zones []string) { n.zones.Store(&zones) }

// Zones returns the availability zones of the settings.
func (n *Node) Zones() []string { return *n.zones.Load() }

// SetEvacuation starts or ends the evacuation of an availability zone. It returns nil once that is durable, also if nothing changes.
func (n *Node) SetEvacuation(ctx context.Context, zone string, evacuated bool) error {
	if !evacuation.IsZoneName(zone) {
		return failure.New(failure.InvalidRequest, failure.NotRun, "%q cannot be the name of a zone", zone)
	}
	if err := n.checkZone(ctx, zone); err != nil {
		return err
	}
	return n.group.SetEvacuation(ctx, &nodepb.SetEvacuation{AvailabilityZone: zone, Evacuated: evacuated})
}

// checkZone returns an error for a zone that neither the settings, nor the instance list, nor the replicated state names. Only the leader can tell
// that there is no such zone: another node may have an old list, and the answer ends the operator's call.
func (n *Node) checkZone(ctx context.Context, zone string) error {
	if slices.Contains(n.Zones(), zone) || n.listsZone(zone) || !n.group.Leads() {
		return nil
	}
	// An empty list is more likely a fault of its store than a deployment without instances.
	listed := n.reader.Current() && len(n.directory.View().Instances) > 0
	// The local state of a new leader may lack a change that another one acknowledged.
	state, err := n.group.Read(ctx)
	switch {
	case err != nil:
		return err
	case coregroup.HasSeenZone(state, zone) || n.listsZone(zone):
		return nil
	case !listed:
		return failure.New(failure.NoUpstream, failure.NotRun, "the settings do not name zone %q and the instance list is not known or empty", zone)
	}
	return failure.New(failure.InvalidRequest, failure.NotRun, "neither the settings nor the instance list name zone %q", zone)
}

// listsZone reports whether an instance is in a zone.
func (n *Node) listsZone(zone string) bool {
	view := n.directory.View()
	for i := range view.Instances {
		if view.Instances[i].AvailabilityZone == zone {
			return true
		}
	}
	return false
}
