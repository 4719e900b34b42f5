package peerload

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// Peer describes a node to the others.
type Peer struct {
	// Address receives load reports.
	Address, AvailabilityZone string
	// LinkMbps is the bandwidth of the node's link, CPUMillis its CPU share in thousandths of a core; 0 if unknown.
	LinkMbps, CPUMillis int
}

const (
	// minInterval is the shortest interval between reports of a node, and between digests; reading a prompt of 9,000
	// tokens takes six times as long.
	minInterval = 25 * time.Millisecond
	// intervalPerNode keeps what a relay receives from its zone, and what it sends there, below 1,000 datagrams/s.
	intervalPerNode = time.Millisecond
	// idleInterval is the interval of reports or digests without changes, which show that a node is alive.
	idleInterval = 75 * time.Millisecond
	// relayTimeout is the time without digests after which the next node replaces a relay, and other zones follow
	// another one. A VM that has used up its CPU share is stalled for a tenth of a second.
	relayTimeout = 200 * time.Millisecond
	// relayCandidates is the number of nodes of each zone that receive reports and digests, in relay order.
	relayCandidates = 2
	// relayValidity is how long reports are sent to another node after its last digest as a relay.
	relayValidity = time.Second
	// maxForwarded limits the digests that wait to be forwarded.
	maxForwarded = 64
	// maxSaves limits the saves in one digest.
	maxSaves = 256
)

// core decides when a node sends which datagrams to whom. It has neither a clock nor sockets.
//
// Nodes report to the relay of their zone and to the node that would replace it. The relay merges the reports into a
// digest for the nodes of its zone and for two nodes of each other zone; the relay of a zone forwards the digests of
// the others to its nodes. Every node derives the relay from the same order, by bandwidth: it is the first node that
// still sends. There is no election; two relays at the same time only cost bandwidth.
type core struct {
	self Peer
	hash uint32
	// order holds the nodes of the own zone in relay order, and position is this node's index there. zones holds the
	// nodes of the other zones.
	order    []Peer
	position int
	zones    map[string][]Peer
	// since is when this node started, precededAt when a digest last showed a preceding node as relay.
	since, precededAt time.Time
	// relays holds the followed relay of each zone.
	relays map[string]relay
	// forwardedAt is when a zone's digest last arrived through the relay of the own zone.
	forwardedAt map[string]time.Time

	nextReport, nextRelay time.Time
	// sequence and digests are the numbers of the last report and the last digest.
	sequence, digests uint64
	// lastReportEmpty is set if the last report had no contents.
	lastReportEmpty bool
	// toForward holds digests for the nodes of the own zone, saves the parts saved in the zone since the last digest.
	toForward []*nodepb.ZoneDigest
	saves     []uint64
}

// relay is the followed relay of a zone, with its position in the relay order.
type relay struct {
	hash       uint32
	address    string
	position   int
	receivedAt time.Time
}

// packet is a datagram with its destinations.
type packet struct {
	to   []string
	data *nodepb.LoadDatagram
}

// source provides the contents of datagrams.
type source interface {
	// report returns what this node has in progress.
	report(sequence uint64) *nodepb.LoadReport
	// digest merges the reports of the zone.
	digest(now time.Time) *nodepb.ZoneDigest
}

func newCore(self Peer, sequence uint64, now time.Time) *core {
	return &core{
		self: self, hash: addressHash(self.Address), order: []Peer{self}, zones: map[string][]Peer{}, relays: map[string]relay{},
		forwardedAt: map[string]time.Time{}, since: now, sequence: sequence, digests: sequence,
	}
}

func addressHash(address string) uint32 { return uint32(xxhash.Sum64String(address)) }

// precedes orders the nodes of a zone as relays: the one with the most bandwidth first.
func precedes(a, b Peer) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(b.CPUMillis, a.CPUMillis), cmp.Compare(a.Address, b.Address))
}

// setPeers applies the list of all nodes.
func (c *core) setPeers(all []Peer) {
	others := lo.Filter(all, func(p Peer, _ int) bool { return p.Address != c.self.Address })
	byZone := lo.GroupBy(append(others, c.self), func(p Peer) string { return p.AvailabilityZone })
	for _, nodes := range byZone {
		slices.SortFunc(nodes, precedes)
	}
	c.order = byZone[c.self.AvailabilityZone]
	c.position = slices.IndexFunc(c.order, func(p Peer) bool { return p.Address == c.self.Address })
	delete(byZone, c.self.AvailabilityZone)
	c.zones = byZone
}

// isRelay reports whether this node relays: whether no preceding node did so for relayTimeout per position. A node
// that has just started waits as well, since it has few reports of its zone yet.
func (c *core) isRelay(now time.Time) bool {
	if len(c.order) == 1 {
		return true
	}
	wait := time.Duration(max(1, c.position)) * relayTimeout
	return now.Sub(c.since) > wait && (c.position == 0 || now.Sub(c.precededAt) > wait)
}

// receivesReports reports whether this node gets the reports of its zone.
func (c *core) receivesReports(now time.Time) bool {
	return c.position < relayCandidates || c.isRelay(now)
}

func (c *core) interval() time.Duration {
	return max(minInterval, time.Duration(len(c.order))*intervalPerNode)
}

// wake returns the time at which due has to be called next.
func (c *core) wake(now time.Time) time.Time {
	if (len(c.toForward) > 0 || c.isRelay(now)) && c.nextRelay.Before(c.nextReport) {
		return c.nextRelay
	}
	return c.nextReport
}

// due returns the datagrams to send now.
func (c *core) due(now time.Time, from source) []packet {
	var out []packet
	if !now.Before(c.nextReport) {
		out = c.sendReport(now, from, out)
	}
	if now.Before(c.nextRelay) {
		return out
	}
	c.nextRelay = now.Add(c.interval())
	digests := c.toForward
	c.toForward = nil
	if c.isRelay(now) {
		digest := c.merge(now, from)
		digests = append(digests, digest)
		if to := c.otherRelays(now); len(to) > 0 {
			forOtherZones := proto.CloneOf(digest)
			forOtherZones.MergedNodes, forOtherZones.MergedSequences = nil, nil
			out = append(out, packet{to, &nodepb.LoadDatagram{Digests: []*nodepb.ZoneDigest{forOtherZones}}})
		}
	}
	if to := c.zonePeers(); len(digests) > 0 && len(to) > 0 {
		out = append(out, packet{to, &nodepb.LoadDatagram{Digests: digests, PassedOn: true}})
	}
	return out
}

func (c *core) sendReport(now time.Time, from source, out []packet) []packet {
	c.sequence++
	report := from.report(c.sequence)
	// Suspects are repeated at any interval and need no shorter one.
	empty := len(report.GetKeys())+len(report.GetSilent())+len(report.GetReads().GetInstances())+len(report.GetSaves())+len(report.GetReplaced()) == 0
	c.nextReport = now.Add(c.interval())
	if empty && c.lastReportEmpty {
		c.nextReport = now.Add(max(idleInterval, c.interval()))
	}
	c.lastReportEmpty = empty
	c.recordSaves(report.GetSaves())
	if to := c.reportTo(now); len(to) > 0 {
		out = append(out, packet{to, &nodepb.LoadDatagram{Report: report}})
	}
	return out
}

// reportTo returns the nodes of the own zone that receive reports.
func (c *core) reportTo(now time.Time) []string {
	to := addresses(c.order[:min(len(c.order), relayCandidates)])
	if r := c.relays[c.self.AvailabilityZone]; now.Sub(r.receivedAt) < relayValidity {
		to = append(to, r.address)
	}
	return lo.Without(lo.Uniq(to), c.self.Address)
}

// otherRelays returns the nodes of other zones that get digests.
func (c *core) otherRelays(now time.Time) []string {
	var to []string
	// In a fixed order, so that simulated networks with the same seed lose the same datagrams.
	for _, zone := range slices.Sorted(maps.Keys(c.zones)) {
		nodes := c.zones[zone]
		to = append(to, addresses(nodes[:min(len(nodes), relayCandidates)])...)
		if r := c.relays[zone]; now.Sub(r.receivedAt) < relayValidity {
			to = append(to, r.address)
		}
	}
	return lo.Uniq(to)
}

func (c *core) zonePeers() []string { return lo.Without(addresses(c.order), c.self.Address) }

func (c *core) merge(now time.Time, from source) *nodepb.ZoneDigest {
	d := from.digest(now)
	c.digests++
	d.Zone, d.Relay, d.Sequence, d.Saves = c.self.AvailabilityZone, c.hash, c.digests, c.saves
	c.saves = nil
	return d
}

func addresses(peers []Peer) []string {
	return lo.Map(peers, func(p Peer, _ int) string { return p.Address })
}

// apply records the sender of a datagram and the digests to forward. It removes from the datagram the report and the
// digests that this node must not apply.
func (c *core) apply(d *nodepb.LoadDatagram, now time.Time) {
	if !c.receivesReports(now) {
		d.Report = nil
	}
	c.recordSaves(d.GetReport().GetSaves())
	d.Digests = lo.Filter(d.GetDigests(), func(digest *nodepb.ZoneDigest, _ int) bool {
		return c.acceptDigest(digest, d.GetPassedOn(), now)
	})
}

// acceptDigest reports whether a digest is to be applied.
func (c *core) acceptDigest(d *nodepb.ZoneDigest, passedOn bool, now time.Time) bool {
	zone := d.GetZone()
	if zone == c.self.AvailabilityZone {
		followed := c.follow(zone, c.order, d, now)
		if c.relays[zone].hash == d.GetRelay() && c.relays[zone].position < c.position {
			c.precededAt = now
		}
		return followed && !c.receivesReports(now)
	}
	switch {
	case passedOn:
		c.forwardedAt[zone] = now
	case (c.isRelay(now) || now.Sub(c.forwardedAt[zone]) > relayTimeout) && len(c.toForward) < maxForwarded:
		// The relay of the own zone may be cut off from that other zone alone.
		c.toForward = append(c.toForward, d)
	}
	return c.follow(zone, c.zones[zone], d, now)
}

// follow reports whether a digest is from the relay that is followed for a zone: the current one, unless it timed out
// or a preceding one sends. Only one is followed, because the totals of two relays differ.
func (c *core) follow(zone string, order []Peer, d *nodepb.ZoneDigest, now time.Time) bool {
	current := c.relays[zone]
	if current.hash == d.GetRelay() {
		current.receivedAt = now
		c.relays[zone] = current
		return true
	}
	position := slices.IndexFunc(order, func(p Peer) bool { return addressHash(p.Address) == d.GetRelay() })
	if position < 0 || position > current.position && now.Sub(current.receivedAt) < relayTimeout {
		return false
	}
	c.relays[zone] = relay{d.GetRelay(), order[position].Address, position, now}
	return true
}

func (c *core) recordSaves(saves []uint64) {
	c.saves = append(c.saves, saves[:min(len(saves), max(0, maxSaves-len(c.saves)))]...)
}
