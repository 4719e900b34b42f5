package control

import (
	"context"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// membershipInterval is the least time between two membership updates to watchers. Each update makes each watcher copy
// its table, about 1 ms at 3,000 processes: ten a second cost 1% of a core, below the 1.7% that control may cost a
// node, however many processes register. A process that starts gets its first work at most that much later.
const membershipInterval = 100 * time.Millisecond

// membershipPace decides when changes of memberships are published. The first change after a quiet time and a
// process that begins to leave wait for nothing.
type membershipPace struct {
	// published is the last revision that was published, and at is when.
	published uint64
	at        time.Time
}

// wait returns how long the changes up to a revision have to wait. leaving is the revision at which a process last
// began to leave.
func (p *membershipPace) wait(now time.Time, leaving uint64) time.Duration {
	if leaving > p.published {
		return 0
	}
	return max(0, membershipInterval-now.Sub(p.at))
}

// membershipFeed holds the last published update, which watchers that were up to date share. Its mutex is a leaf lock.
type membershipFeed struct {
	mu      sync.Mutex
	from    uint64
	update  *controlpb.MembershipUpdate
	changed chan struct{}
}

func newMembershipFeed() *membershipFeed { return &membershipFeed{changed: make(chan struct{})} }

// published returns a channel that is closed when the next update is published.
func (f *membershipFeed) published() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *membershipFeed) publish(from uint64, update *controlpb.MembershipUpdate) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.from, f.update = from, update
	renew(&f.changed)
}

// after returns the update for a watcher at a revision, or nil if nothing newer is published.
func (f *membershipFeed) after(revision uint64, machine *StateMachine) *controlpb.MembershipUpdate {
	f.mu.Lock()
	from, update := f.from, f.update
	f.mu.Unlock()
	if update == nil || update.Revision <= revision {
		return nil
	}
	if from == revision {
		return update
	}
	return machine.membershipNews(revision)
}

// publishMemberships publishes the collected changes until the context ends.
func (s *Server) publishMemberships(ctx context.Context) error {
	var pace membershipPace
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := s.machine.MembersChanged()
		if wait := s.publishDue(&pace); wait > 0 {
			timer.Reset(wait)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-timer.C:
		}
	}
}

// publishDue publishes the changes that need not wait. It returns how long others have to wait, or 0 if there are none.
func (s *Server) publishDue(pace *membershipPace) time.Duration {
	revision, leaving := s.machine.memberRevisions()
	if revision <= pace.published {
		return 0
	}
	now := s.options.Clock.Now()
	if wait := pace.wait(now, leaving); wait > 0 {
		return wait
	}
	update := s.machine.membershipNews(pace.published)
	s.memberships.publish(pace.published, update)
	pace.published, pace.at = update.Revision, now
	return 0
}
