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

// memberRevisions returns the membership revision and that of the last process that began to leave.
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

// CurrentSet returns the set in force, which must not be changed, and its version.
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

// setNews returns what a watcher at a version lacks: deltas, or the whole document at the returned version.
func (s *StateMachine) setNews(version uint64) (deltas []*controlpb.SetDelta, document []byte, current uint64) {
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

// canonicalSet encodes the set once per version, not once per watcher.
func (s *StateMachine) canonicalSet() ([]byte, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set, version := s.history.Current()
	if s.documentVersion != version {
		s.document, s.documentVersion = set.Canonical(), version
	}
	return s.document, version
}

// membershipNews returns the membership changes after a revision, or nil.
func (s *StateMachine) membershipNews(revision uint64) *controlpb.MembershipUpdate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.members.Since(revision)
}

// registration is what the state says about a process.
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

// hostedBy lists the processes that report to a member and are not dead.
func (s *StateMachine) hostedBy(memberID uint64) []registration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var hosted []registration
	s.members.Each(func(r *controlpb.ProcessRecord) bool {
		if r.MemberId == memberID && !r.Dead {
			hosted = append(hosted, registration{request: r.Registration, epoch: r.Epoch, memberID: memberID})
		}
		return true
	})
	return hosted
}

// hosts lists the members that processes report to.
func (s *StateMachine) hosts() map[uint64]bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	hosts := map[uint64]bool{}
	s.members.Each(func(r *controlpb.ProcessRecord) bool {
		if !r.Dead {
			hosts[r.MemberId] = true
		}
		return true
	})
	return hosts
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

func (s *StateMachine) vmNews(vms []*controlpb.VMState) []*controlpb.VMState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.members.NewsOf(vms)
}

func (s *StateMachine) auditPage(after uint64, limit int) []*controlpb.AuditRecord {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.trail.Page(after, limit)
}
