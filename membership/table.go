// Package membership holds the table of processes with their epochs and states: live, leaving or dead. If the sources
// disagree, leaving takes precedence. The package does no I/O; a Table is not safe for concurrent use.
package membership

import (
	"net"
	"slices"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// States of a process.
const (
	Live    = "live"
	Leaving = "leaving"
	Dead    = "dead"
	// Removed marks in an update a process that is no longer in the table.
	Removed = "removed"
)

// Limits of a Table.
const (
	// maxProcesses is several times the target of 3,000 processes.
	maxProcesses = 20_000
	// maxVMs limits the stored entries of the VM list.
	maxVMs = 20_000
	// maxRemoved is the number of removals kept for watchers that are behind.
	maxRemoved = 1024
	// maxPastIncarnations is the number of earlier incarnations per process that are recognized as fenced.
	maxPastIncarnations = 8
	// removeDeadAfterMs is how long a dead process stays in the table, in milliseconds.
	removeDeadAfterMs = 3_600_000
)

// Table holds the processes. Invariants: epochs and the revision only increase; each change of a process increases the
// revision; a past incarnation never becomes current again.
type Table struct {
	revision  uint64
	lastEpoch uint64
	processes map[string]*controlpb.ProcessRecord
	// drained holds the upstreams that an operator has drained.
	drained map[string]bool
	// evacuated holds the availability zones whose upstreams get no new work, in order; evacuationsRevision is the revision of their last change.
	evacuated           []string
	evacuationsRevision uint64
	// vms maps the names of the VM list to its last known entries.
	vms map[string]*controlpb.VMState
	// removed holds the last maxRemoved removals, oldest first.
	removed []*controlpb.RemovedProcess
	// forgottenRevision is the revision of the newest removal that is no longer in removed.
	forgottenRevision uint64
	// leavingRevision is derived from the processes and not part of snapshots.
	leavingRevision uint64
	// leavingAddresses maps the addresses of leaving VMs to the VMs; it is derived from vms.
	leavingAddresses map[string]string
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{
		processes:        map[string]*controlpb.ProcessRecord{},
		drained:          map[string]bool{},
		vms:              map[string]*controlpb.VMState{},
		leavingAddresses: map[string]string{},
	}
}

// Revision returns the revision of the last change.
func (t *Table) Revision() uint64 { return t.revision }

// LeavingRevision returns the revision of the last change of a process to Leaving.
func (t *Table) LeavingRevision() uint64 { return t.leavingRevision }

// Lookup returns the record of a process, or nil. The record must not be changed.
func (t *Table) Lookup(processID string) *controlpb.ProcessRecord { return t.processes[processID] }

// Register applies a presence report that was sent to the given control member. A new incarnation gets the next epoch
// and fences the old one; fenced reports whether there was an old one. A report of a fenced incarnation is refused.
func (t *Table) Register(unixMs int64, member uint64, q *controlpb.PresenceRequest) (record *controlpb.ProcessRecord, fenced bool, err error) {
	if q.ProcessId == "" || q.Incarnation == "" {
		return nil, false, failure.New(failure.InvalidRequest, failure.NotRun, "process id and incarnation must be set")
	}
	r := t.processes[q.ProcessId]
	if r == nil {
		if len(t.processes) >= maxProcesses {
			return nil, false, failure.New(failure.Overloaded, failure.NotRun, "the process table is full")
		}
		r = &controlpb.ProcessRecord{}
		t.processes[q.ProcessId] = r
	}
	if slices.Contains(r.PastIncarnations, q.Incarnation) {
		return nil, false, failure.New(failure.Fenced, failure.NotRun, "a newer incarnation of %s has registered", q.ProcessId)
	}
	if r.Registration.GetIncarnation() != q.Incarnation {
		fenced = r.Registration != nil
		t.newIncarnation(r)
	}
	r.Registration, r.MemberId, r.Dead = q, member, false
	t.recordChange(unixMs, r)
	return r, fenced, nil
}

func (t *Table) newIncarnation(r *controlpb.ProcessRecord) {
	t.lastEpoch++
	r.Epoch = t.lastEpoch
	if old := r.Registration.GetIncarnation(); old != "" {
		r.PastIncarnations = append(r.PastIncarnations, old)
		if excess := len(r.PastIncarnations) - maxPastIncarnations; excess > 0 {
			r.PastIncarnations = slices.Clone(r.PastIncarnations[excess:])
		}
	}
}

// DeclareDead marks a process as dead on behalf of the control member to which it last reported. It has no effect for an
// older epoch, or if the process now reports to another member.
func (t *Table) DeclareDead(unixMs int64, member uint64, processID string, epoch uint64) bool {
	r := t.processes[processID]
	if r == nil || r.Epoch != epoch || r.MemberId != member || r.Dead {
		return false
	}
	r.Dead = true
	t.recordChange(unixMs, r)
	return true
}

// Drain marks an upstream as drained by an operator, or clears the mark if undo is set.
func (t *Table) Drain(unixMs int64, upstream string, undo bool) {
	if undo {
		delete(t.drained, upstream)
	} else {
		t.drained[upstream] = true
	}
	t.updateStates(unixMs)
}

// Drained reports whether an operator has drained an upstream.
func (t *Table) Drained(upstream string) bool { return t.drained[upstream] }

// Evacuate adds an availability zone to the evacuated ones, or removes it if undo is set.
func (t *Table) Evacuate(zone string, undo bool) {
	at, evacuated := slices.BinarySearch(t.evacuated, zone)
	if evacuated != undo {
		return
	}
	// Updates to watchers share the list.
	zones := slices.Clone(t.evacuated)
	if undo {
		zones = slices.Delete(zones, at, at+1)
	} else {
		zones = slices.Insert(zones, at, zone)
	}
	t.revision++
	t.evacuated, t.evacuationsRevision = zones, t.revision
}

// Evacuated returns the evacuated zones in order, which must not be changed.
func (t *Table) Evacuated() []string { return t.evacuated }

// ObserveVMs applies entries of the platform's VM list.
func (t *Table) ObserveVMs(unixMs int64, vms []*controlpb.VMState) {
	for _, vm := range t.ChangedVMs(vms) {
		if t.vms[vm.Vm] == nil && len(t.vms) >= maxVMs {
			continue
		}
		t.vms[vm.Vm] = vm
	}
	t.indexVMs()
	t.updateStates(unixMs)
}

// changesVM reports whether an entry of the VM list changes the known entry, which is nil if there is none. An entry with
// a lower version does not; at equal versions leaving takes precedence.
func changesVM(known, vm *controlpb.VMState) bool {
	switch {
	case known == nil:
		return vm.Leaving
	case vm.Version < known.Version:
		return false
	case vm.Version == known.Version && known.Leaving && !vm.Leaving:
		return false
	}
	return vm.Leaving != known.Leaving || vm.Address != known.Address
}

// ChangedVMs returns the entries that would change the table.
func (t *Table) ChangedVMs(vms []*controlpb.VMState) []*controlpb.VMState {
	var changes []*controlpb.VMState
	for _, vm := range vms {
		if changesVM(t.vms[vm.Vm], vm) {
			changes = append(changes, vm)
		}
	}
	return changes
}

// indexVMs derives leavingAddresses from vms.
func (t *Table) indexVMs() {
	t.leavingAddresses = map[string]string{}
	for _, vm := range t.vms {
		if vm.Leaving && vm.Address != "" {
			t.leavingAddresses[vm.Address] = vm.Vm
		}
	}
}

// leavingReason returns why a process is leaving, or "" if it is not.
func (t *Table) leavingReason(q *controlpb.PresenceRequest) string {
	if q.Draining {
		return "the process is draining"
	}
	if q.Role != "store" && q.Role != "entry" && q.Serves != "" && t.drained[q.Serves] {
		return "drained by an operator"
	}
	// The VM list identifies a VM by IP address, or by IP address and port if processes share an IP address.
	host, _, _ := net.SplitHostPort(q.Address)
	if t.leavingAddresses[q.Address] != "" || host != "" && t.leavingAddresses[host] != "" {
		return "the VM list says leaving"
	}
	return ""
}

// stateOf returns the state of a process from all sources. Leaving takes precedence.
func (t *Table) stateOf(r *controlpb.ProcessRecord) (state, reason string) {
	if reason := t.leavingReason(r.Registration); reason != "" {
		return Leaving, reason
	}
	if r.Dead {
		return Dead, "no presence report"
	}
	return Live, ""
}

// recordChange updates the state of a changed process and assigns the next revision to it.
func (t *Table) recordChange(unixMs int64, r *controlpb.ProcessRecord) {
	previous := r.State
	r.State, r.Reason = t.stateOf(r)
	t.revision++
	if r.State == Leaving && previous != Leaving {
		t.leavingRevision = t.revision
	}
	r.Revision = t.revision
	r.ChangedUnixMs = unixMs
}

// updateStates records a change of each process whose state or reason changes, in the order of the ids.
func (t *Table) updateStates(unixMs int64) {
	for _, id := range t.sortedIDs() {
		r := t.processes[id]
		if state, reason := t.stateOf(r); state != r.State || reason != r.Reason {
			t.recordChange(unixMs, r)
		}
	}
}

func (t *Table) sortedIDs() []string {
	ids := make([]string, 0, len(t.processes))
	for id := range t.processes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// removeUnusedVMs removes the VMs that match no process, so that the VM list cannot fill the table.
func (t *Table) removeUnusedVMs() {
	used := map[string]bool{}
	for _, r := range t.processes {
		host, _, _ := net.SplitHostPort(r.Registration.Address)
		used[r.Registration.Address], used[host] = true, true
	}
	for id, vm := range t.vms {
		if !used[vm.Address] {
			delete(t.vms, id)
		}
	}
	t.indexVMs()
}

// RemoveExpired removes processes that have been dead for removeDeadAfterMs, and VMs without a process.
func (t *Table) RemoveExpired(unixMs int64) {
	for _, id := range t.sortedIDs() {
		r := t.processes[id]
		if !r.Dead || unixMs-r.ChangedUnixMs < removeDeadAfterMs {
			continue
		}
		delete(t.processes, id)
		t.revision++
		t.removed = append(t.removed, &controlpb.RemovedProcess{ProcessId: id, Revision: t.revision})
	}
	if excess := len(t.removed) - maxRemoved; excess > 0 {
		t.forgottenRevision = t.removed[excess-1].Revision
		t.removed = slices.Clone(t.removed[excess:])
	}
	t.removeUnusedVMs()
}
