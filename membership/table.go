// Package membership is the aggregate of processes: their epochs and whether they are live, leaving or dead.
// Leaving wins over every other source. It does no I/O; a Table is not safe for concurrent use.
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
	// Removed marks a process that the table has forgotten.
	Removed = "removed"
)

// Limits of a Table.
const (
	// maxProcesses is several times the target of 3,000 processes.
	maxProcesses = 20_000
	// maxVMs limits the entries of the VM list that are kept.
	maxVMs = 20_000
	// maxRemoved is how many removals are remembered for watchers that are behind.
	maxRemoved = 1024
	// maxPastIncarnations are recognized as fenced, per process.
	maxPastIncarnations = 8
	// forgetAfterMs is how long in milliseconds a dead process stays in the table.
	forgetAfterMs = 3_600_000
)

// Table holds the processes. Invariants: epochs and the revision only rise; each change of a process
// raises the revision; a past incarnation never becomes current again.
type Table struct {
	revision  uint64
	lastEpoch uint64
	processes map[string]*controlpb.ProcessRecord
	drained   map[string]bool
	vms       map[string]*controlpb.VMState
	removed   []*controlpb.RemovedProcess
	forgotten uint64
	// leavingRevision is derived from the changes; snapshots do not hold it.
	leavingRevision uint64
	// leavingAddresses is derived from vms.
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

// Revision returns the number of the last change.
func (t *Table) Revision() uint64 { return t.revision }

// LeavingRevision returns the number of the last change by which a process began to leave.
func (t *Table) LeavingRevision() uint64 { return t.leavingRevision }

// Lookup returns the record of a process, or nil. The record must not be changed.
func (t *Table) Lookup(processID string) *controlpb.ProcessRecord { return t.processes[processID] }

// Register takes a presence report through a control member. A new incarnation gets the next epoch and fences
// the old one; fenced is true if that happened. A report of a fenced incarnation is refused.
func (t *Table) Register(unixMs int64, member uint64, q *controlpb.PresenceRequest) (record *controlpb.ProcessRecord, fenced bool, err error) {
	if q.ProcessId == "" || q.Incarnation == "" {
		return nil, false, failure.New(failure.InvalidRequest, failure.NotRun, "process id and incarnation must be set")
	}
	r := t.processes[q.ProcessId]
	if r == nil {
		if len(t.processes) >= maxProcesses {
			return nil, false, failure.New(failure.Overloaded, failure.NotRun, "the table of processes is full")
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
	t.touch(unixMs, r)
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

// DeclareDead marks an incarnation as dead on behalf of the member that it reported to. A declaration about an
// older epoch, or about a process that has moved to another member, has no effect.
func (t *Table) DeclareDead(unixMs int64, member uint64, processID string, epoch uint64) bool {
	r := t.processes[processID]
	if r == nil || r.Epoch != epoch || r.MemberId != member || r.Dead {
		return false
	}
	r.Dead = true
	t.touch(unixMs, r)
	return true
}

// Drain sets or clears the operator's mark on an upstream.
func (t *Table) Drain(unixMs int64, upstream string, undo bool) {
	if undo {
		delete(t.drained, upstream)
	} else {
		t.drained[upstream] = true
	}
	t.refresh(unixMs)
}

// Drained reports whether an operator has drained an upstream.
func (t *Table) Drained(upstream string) bool { return t.drained[upstream] }

// ObserveVMs takes entries of the platform's VM list.
func (t *Table) ObserveVMs(unixMs int64, vms []*controlpb.VMState) {
	for _, vm := range t.NewsOf(vms) {
		if t.vms[vm.Vm] == nil && len(t.vms) >= maxVMs {
			continue
		}
		t.vms[vm.Vm] = vm
	}
	t.indexVMs()
	t.refresh(unixMs)
}

// isNews ignores an entry older than the known one; at equal versions leaving wins.
func isNews(known, vm *controlpb.VMState) bool {
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

// NewsOf returns the entries that would change the table.
func (t *Table) NewsOf(vms []*controlpb.VMState) []*controlpb.VMState {
	var news []*controlpb.VMState
	for _, vm := range vms {
		if isNews(t.vms[vm.Vm], vm) {
			news = append(news, vm)
		}
	}
	return news
}

func (t *Table) indexVMs() {
	t.leavingAddresses = map[string]string{}
	for _, vm := range t.vms {
		if vm.Leaving && vm.Address != "" {
			t.leavingAddresses[vm.Address] = vm.Vm
		}
	}
}

// leavingReason returns why a process is leaving, or "".
func (t *Table) leavingReason(q *controlpb.PresenceRequest) string {
	if q.Draining {
		return "the process is draining"
	}
	if q.Role != "store" && q.Role != "entry" && q.Serves != "" && t.drained[q.Serves] {
		return "drained by an operator"
	}
	// The list names a VM by IP address, or by IP address and port where processes share one.
	host, _, _ := net.SplitHostPort(q.Address)
	if t.leavingAddresses[q.Address] != "" || host != "" && t.leavingAddresses[host] != "" {
		return "the VM list says leaving"
	}
	return ""
}

// stateOf combines the sources. Leaving wins.
func (t *Table) stateOf(r *controlpb.ProcessRecord) (state, reason string) {
	if reason := t.leavingReason(r.Registration); reason != "" {
		return Leaving, reason
	}
	if r.Dead {
		return Dead, "no presence report"
	}
	return Live, ""
}

func (t *Table) touch(unixMs int64, r *controlpb.ProcessRecord) {
	before := r.State
	r.State, r.Reason = t.stateOf(r)
	t.revision++
	if r.State == Leaving && before != Leaving {
		t.leavingRevision = t.revision
	}
	r.Revision = t.revision
	r.ChangedUnixMs = unixMs
}

// refresh raises the revision of each process whose state changes, in the order of the ids.
func (t *Table) refresh(unixMs int64) {
	for _, id := range t.ids() {
		r := t.processes[id]
		if state, reason := t.stateOf(r); state != r.State || reason != r.Reason {
			t.touch(unixMs, r)
		}
	}
}

func (t *Table) ids() []string {
	ids := make([]string, 0, len(t.processes))
	for id := range t.processes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// forgetVMs removes the entries that match no process, so that the VM list cannot fill the table.
func (t *Table) forgetVMs() {
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

// Forget removes processes that have been dead for an hour, and the VMs without a process.
func (t *Table) Forget(unixMs int64) {
	for _, id := range t.ids() {
		r := t.processes[id]
		if !r.Dead || unixMs-r.ChangedUnixMs < forgetAfterMs {
			continue
		}
		delete(t.processes, id)
		t.revision++
		t.removed = append(t.removed, &controlpb.RemovedProcess{ProcessId: id, Revision: t.revision})
	}
	if excess := len(t.removed) - maxRemoved; excess > 0 {
		t.forgotten = t.removed[excess-1].Revision
		t.removed = slices.Clone(t.removed[excess:])
	}
	t.forgetVMs()
}
