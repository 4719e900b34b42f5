package membership

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// StateMessage returns the message that describes a process to watchers.
func StateMessage(r *controlpb.ProcessRecord) *controlpb.ProcessState {
	q := r.Registration
	return &controlpb.ProcessState{
		ProcessId: q.ProcessId, Role: q.Role, Address: q.Address, AvailabilityZone: q.AvailabilityZone,
		Serves: q.Serves, Epoch: r.Epoch, State: r.State, SetVersion: q.SetVersion, Reason: r.Reason,
	}
}

// Since returns the changes after a revision, or nil if there are none. For revision 0, or if removals since the revision
// are no longer stored, it returns the whole table.
func (t *Table) Since(revision uint64) *controlpb.MembershipUpdate {
	if revision >= t.revision {
		return nil
	}
	full := revision == 0 || revision < t.forgottenRevision
	update := &controlpb.MembershipUpdate{Revision: t.revision, Full: full, EvacuationsRevision: t.evacuationsRevision, EvacuatedZones: t.evacuated}
	for _, r := range t.processes {
		if full || r.Revision > revision {
			update.Processes = append(update.Processes, StateMessage(r))
		}
	}
	for _, removed := range t.removed {
		if !full && removed.Revision > revision && t.processes[removed.ProcessId] == nil {
			update.Processes = append(update.Processes, &controlpb.ProcessState{ProcessId: removed.ProcessId, State: Removed})
		}
	}
	slices.SortFunc(update.Processes, func(a, b *controlpb.ProcessState) int { return strings.Compare(a.ProcessId, b.ProcessId) })
	return update
}

// Each calls visit for each process until visit returns false. The records must not be changed.
func (t *Table) Each(visit func(*controlpb.ProcessRecord) bool) {
	for _, r := range t.processes {
		if !visit(r) {
			return
		}
	}
}

// Snapshot returns a copy of the whole table in a deterministic order.
func (t *Table) Snapshot() *controlpb.MembershipSnapshot {
	s := &controlpb.MembershipSnapshot{
		Revision: t.revision, LastEpoch: t.lastEpoch, ForgottenRevision: t.forgottenRevision, Removed: slices.Clone(t.removed),
		EvacuationsRevision: t.evacuationsRevision, EvacuatedZones: t.evacuated,
	}
	for _, id := range t.sortedIDs() {
		s.Processes = append(s.Processes, proto.Clone(t.processes[id]).(*controlpb.ProcessRecord))
	}
	for upstream := range t.drained {
		s.Drained = append(s.Drained, upstream)
	}
	slices.Sort(s.Drained)
	for _, vm := range t.vms {
		s.Vms = append(s.Vms, vm)
	}
	slices.SortFunc(s.Vms, func(a, b *controlpb.VMState) int { return strings.Compare(a.Vm, b.Vm) })
	return s
}

// Restore returns the table of a snapshot.
func Restore(s *controlpb.MembershipSnapshot) *Table {
	t := NewTable()
	t.revision, t.lastEpoch, t.forgottenRevision = s.GetRevision(), s.GetLastEpoch(), s.GetForgottenRevision()
	t.removed = slices.Clone(s.GetRemoved())
	t.evacuated, t.evacuationsRevision = slices.Clone(s.GetEvacuatedZones()), s.GetEvacuationsRevision()
	for _, r := range s.GetProcesses() {
		t.processes[r.Registration.GetProcessId()] = proto.Clone(r).(*controlpb.ProcessRecord)
		if r.State == Leaving {
			t.leavingRevision = max(t.leavingRevision, r.Revision)
		}
	}
	for _, upstream := range s.GetDrained() {
		t.drained[upstream] = true
	}
	for _, vm := range s.GetVms() {
		t.vms[vm.Vm] = vm
	}
	t.indexVMs()
	return t
}
