package controlclient

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// directory holds the known addresses of control members. Its mutex is a leaf lock.
type directory struct {
	mu      sync.Mutex
	seeds   []string
	members []string
	leader  string
	// silent is the last address that gave no answer; it is tried last.
	silent string
}

func newDirectory(seeds []string) *directory {
	return &directory{seeds: slices.Clone(seeds)}
}

// learn takes the members and the leader from a status answer.
func (d *directory) learn(status *controlpb.StatusResponse) {
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

// noAnswer notes a member that did not answer. A frozen leader must not be the first choice of each later call.
func (d *directory) noAnswer(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = address
	if d.leader == address {
		d.leader = ""
	}
}

// all returns the members followed by the seeds that are not members, without repeats.
func (d *directory) all() []string {
	all := slices.Clone(d.members)
	for _, seed := range d.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	return all
}

// leaderFirst returns the addresses to try for a write.
func (d *directory) leaderFirst() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.all()
	if i := slices.Index(all, d.silent); i >= 0 {
		all = append(slices.Delete(all, i, i+1), d.silent)
	}
	if d.leader == "" {
		return all
	}
	rest := slices.DeleteFunc(all, func(a string) bool { return a == d.leader })
	return append([]string{d.leader}, rest...)
}

// watchOrder returns the addresses by rendezvous hash over the process id, with the leader and then the silent
// member last: a process whose member was cut off has about a second left before its set becomes stale.
func (d *directory) watchOrder(processID string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.all()
	weight := func(address string) uint64 {
		switch address {
		case d.silent:
			return 0
		case d.leader:
			return 1
		}
		return xxhash.Sum64String(processID + "|" + address)
	}
	slices.SortStableFunc(all, func(a, b string) int {
		wa, wb := weight(a), weight(b)
		switch {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	return all
}
