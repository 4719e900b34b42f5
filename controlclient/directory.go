package controlclient

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// directory holds the known addresses of control members. mu is a leaf lock: no other lock is acquired while it is
// held.
type directory struct {
	mu      sync.Mutex
	seeds   []string
	members []string
	leader  string
	// unresponsive is the last address that did not respond; it is tried last.
	unresponsive string
}

func newDirectory(seeds []string) *directory {
	return &directory{seeds: slices.Clone(seeds)}
}

// update sets the members and the leader from a status response.
func (d *directory) update(status *controlpb.StatusResponse) {
	members := make([]string, 0, len(status.GetMembers().GetMembers()))
	leader := ""
	for _, m := range status.GetMembers().GetMembers() {
		if m.Address == "" {
			continue
		}
		members = append(members, m.Address)
		if m.Id == status.LeaderId {
			leader = m.Address
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(members) > 0 {
		d.members = members
	}
	d.leader = leader
}

func (d *directory) setLeader(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leader = address
}

// markUnresponsive records that a member did not respond. If it was the leader, it is no longer tried first, so that
// not every later call waits for a frozen leader.
func (d *directory) markUnresponsive(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unresponsive = address
	if d.leader == address {
		d.leader = ""
	}
}

// all returns the members, followed by the seeds that are not members.
func (d *directory) all() []string {
	all := slices.Clone(d.members)
	for _, seed := range d.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	return all
}

// leaderFirst returns the addresses in the order in which a write tries them: the leader first, the unresponsive member
// last.
func (d *directory) leaderFirst() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.all()
	if i := slices.Index(all, d.unresponsive); i >= 0 {
		all = append(slices.Delete(all, i, i+1), d.unresponsive)
	}
	if d.leader == "" {
		return all
	}
	rest := slices.DeleteFunc(all, func(a string) bool { return a == d.leader })
	return append([]string{d.leader}, rest...)
}

// watchOrder returns the addresses ordered by rendezvous hash of the process id, with the leader and then the
// unresponsive member last. The unresponsive member is last because a process that was disconnected from its member has
// only about a second until its set becomes stale.
func (d *directory) watchOrder(processID string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.all()
	weight := func(address string) uint64 {
		switch address {
		case d.unresponsive:
			return 0
		case d.leader:
			return 1
		}
		return xxhash.Sum64String(processID + "|" + address)
	}
	slices.SortStableFunc(all, func(a, b string) int {
		weightA, weightB := weight(a), weight(b)
		switch {
		case weightA > weightB:
			return -1
		case weightA < weightB:
			return 1
		}
		return 0
	})
	return all
}
