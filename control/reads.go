package control

import (
	"github.com/wasabishunt/wasabishunt/membership"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// SetChanged returns a channel that is closed at the next change of the set.
func (s *StateMachine) SetChanged() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.setChanged
}

// MembersChanged returns a channel that is closed at the next change of memberships.
func (s *StateMachine) MembersChanged() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.membersChanged
}

// memberRevisions returns the membership revision and the revision at which a process last began to leave.
func (s *StateMachine) memberRevisions() (revision, leaving uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.members.Revision(), s.members.LeavingRevision()
}

// Positions returns the set version and the membership revision.
func (s *StateMachine) Positions() (version, revision uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.positions()
}

// CurrentSet returns the current set, which must not be changed, and its version.
func (s *StateMachine) CurrentSet() (*objectset.Set, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.history.Current()
}

// Bookings returns the number of booking records.
func (s *StateMachine) Bookings() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.bookings.Len()
}

// BookingBytes returns the total size of the encoded booking records.
func (s *StateMachine) BookingBytes() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.bookings.RecordBytes()
}

// isFullFor reports whether the booking records leave no room for a new key.
func (s *StateMachine) isFullFor(q *controlpb.ClaimBookingRequest) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.bookings.IsFullFor(q)
}

// setChangesSince returns what a watcher at the given version is missing: deltas, or the whole document of the returned
// version.
func (s *StateMachine) setChangesSince(version uint64) (deltas []*controlpb.SetDelta, document []byte, current uint64) {
	s.mu.RLock()
	deltas, ok := s.history.Since(version)
	_, current = s.history.Current()
	s.mu.RUnlock()
	if ok {
		return deltas, nil, current
	}
	document, current = s.canonicalSet()
	return nil, document, current
}

// canonicalSet returns the encoded set and its version. The set is encoded once per version, not once per watcher.
func (s *StateMachine) canonicalSet() ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set, version := s.history.Current()
	if s.documentVersion != version {
		s.document, s.documentVersion = set.Canonical(), version
	}
	return s.document, version
}

// membershipChangesSince returns the membership changes after a revision, or nil if there are none.
func (s *StateMachine) membershipChangesSince(revision uint64) *controlpb.MembershipUpdate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.members.Since(revision)
}

// registration is the replicated state of a process.
type registration struct {
	request  *controlpb.PresenceRequest
	epoch    uint64
	memberID uint64
	dead     bool
}

func (s *StateMachine) lookup(processID string) (registration, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r := s.members.Lookup(processID)
	if r == nil {
		return registration{}, false
	}
	return registration{request: r.Registration, epoch: r.Epoch, memberID: r.MemberId, dead: r.Dead}, true
}

// liveProcessesOf lists the processes that report to a member and are not dead.
func (s *StateMachine) liveProcessesOf(memberID uint64) []registration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var live []registration
	s.members.Each(func(r *controlpb.ProcessRecord) bool {
		if r.MemberId == memberID && !r.Dead {
			live = append(live, registration{request: r.Registration, epoch: r.Epoch, memberID: memberID})
		}
		return true
	})
	return live
}

// membersWithProcesses lists the members to which at least one live process reports.
func (s *StateMachine) membersWithProcesses() map[uint64]bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	members := map[uint64]bool{}
	s.members.Each(func(r *controlpb.ProcessRecord) bool {
		if !r.Dead {
			members[r.MemberId] = true
		}
		return true
	})
	return members
}

func (s *StateMachine) processes() []*controlpb.ProcessState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var all []*controlpb.ProcessState
	s.members.Each(func(r *controlpb.ProcessRecord) bool {
		all = append(all, membership.StateMessage(r))
		return true
	})
	return all
}

// evacuatedZones returns the evacuated availability zones in order, which must not be changed.
func (s *StateMachine) evacuatedZones() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.members.Evacuated()
}

func (s *StateMachine) changedVMs(vms []*controlpb.VMState) []*controlpb.VMState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.members.ChangedVMs(vms)
}

func (s *StateMachine) auditPage(after uint64, limit int) []*controlpb.AuditRecord {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.trail.Page(after, limit)
}
