package fleetview

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// nearbyDelay is the time after the first word of a new set for which a node waits for a core member of its own zone to have it.
	// Members have it within a few round trips of each other, and without the delay all nodes would ask the leader.
	nearbyDelay = 25 * time.Millisecond
	// minSourceRetry and maxSourceRetry bound the time after which a core member is asked again that did not deliver a set.
	minSourceRetry = 100 * time.Millisecond
	maxSourceRetry = time.Second
	// minStallLimit and maxStallLimit bound the time without a byte after which a transfer is given up. The limit doubles with
	// each failure in a row, so that a link with a long queue does not end every transfer before its first byte.
	minStallLimit = 400 * time.Millisecond
	maxStallLimit = 3200 * time.Millisecond
)

// setSources decides from which core member a node fetches a new set. It has neither a clock nor sockets.
type setSources struct {
	// node, zone and self identify the node; self is its own address, which is a source if it has a core member.
	node, zone, self string
	sources          map[string]*setSource
	// transferring has the core members from which a transfer is in progress, also those that were removed since.
	transferring map[string]bool
	// have is the version that the node has, newest the newest one named and newerSince when the first version above have was named.
	have, newest uint64
	newerSince   time.Time
	// failures is the number of failed transfers since the last success.
	failures int
}

// setSource is a core member that has named the version of its set.
type setSource struct {
	address, zone string
	version       uint64
	failures      int
	retryAt       time.Time
}

func newSetSources(node, zone, self string) *setSources {
	return &setSources{node: node, zone: zone, self: self, sources: map[string]*setSource{}, transferring: map[string]bool{}}
}

// announce records the version that a core member has. It reports whether that is news.
func (s *setSources) announce(address, zone string, version uint64, now time.Time) bool {
	source := s.sources[address]
	if source == nil {
		source = &setSource{address: address}
		s.sources[address] = source
	}
	news := version > source.version && version > s.have
	source.zone, source.version = zone, version
	if version > s.have && s.newest <= s.have {
		s.newerSince = now
	}
	s.newest = max(s.newest, version)
	return news
}

// remove forgets a core member whose stream has ended.
func (s *setSources) remove(address string) { delete(s.sources, address) }

// begin records that a transfer from a core member has begun, end that it has ended.
func (s *setSources) begin(address string) { s.transferring[address] = true }

func (s *setSources) end(address string) { delete(s.transferring, address) }

// choose returns the core member to fetch from, which is not one with a transfer in progress. If there is none now, wait is the time after which to ask again, 0 if only news can
// change the answer.
func (s *setSources) choose(now time.Time) (address string, wait time.Duration) {
	var best *setSource
	for _, source := range s.sources {
		if source.version <= s.have || s.transferring[source.address] {
			continue
		}
		usableAt := source.retryAt
		if s.distance(source) > distanceZone {
			usableAt = later(usableAt, s.newerSince.Add(nearbyDelay))
		}
		if pause := usableAt.Sub(now); pause > 0 {
			if wait == 0 || pause < wait {
				wait = pause
			}
			continue
		}
		if best == nil || s.compare(source, best) < 0 {
			best = source
		}
	}
	if best == nil {
		return "", wait
	}
	return best.address, 0
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Distances of a source.
const (
	distanceSelf = iota
	distanceZone
	distanceFar
)

func (s *setSources) distance(source *setSource) int {
	switch {
	case source.address == s.self:
		return distanceSelf
	case source.zone == s.zone:
		return distanceZone
	}
	return distanceFar
}

// compare orders sources by distance. Among equals the order differs between nodes, which spreads them.
func (s *setSources) compare(a, b *setSource) int {
	return cmp.Or(cmp.Compare(s.distance(a), s.distance(b)), cmp.Compare(a.failures, b.failures),
		cmp.Compare(xxhash.Sum64String(s.node+a.address), xxhash.Sum64String(s.node+b.address)))
}

// recordFailure records a transfer that failed.
func (s *setSources) recordFailure(address string, now time.Time) {
	s.failures++
	if source := s.sources[address]; source != nil {
		source.retryAt = now.Add(min(maxSourceRetry, minSourceRetry<<min(source.failures, maxDoublings)))
		source.failures++
	}
}

// recordSet records the version that the node now has.
func (s *setSources) recordSet(version uint64, now time.Time) {
	s.have = max(s.have, version)
	s.newerSince = now
	s.failures = 0
	for _, source := range s.sources {
		source.failures, source.retryAt = 0, time.Time{}
	}
}

// maxDoublings keeps shifted durations in range.
const maxDoublings = 10

// stallLimit returns the time without a byte after which the next transfer is given up.
func (s *setSources) stallLimit() time.Duration {
	return min(maxStallLimit, minStallLimit<<min(s.failures, maxDoublings))
}
