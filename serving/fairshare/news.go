package fairshare

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

const (
	// newsTimeout is how long the sums of another node or zone count after they were last heard.
	newsTimeout = 3 * time.Second
	// newsInterval is the number of reports, or of digests, from one with accounts to the next. Sums change by a few percent
	// meanwhile.
	newsInterval = 4
	// maxNews bounds the accounts in one datagram.
	maxNews = 16
	// maxSources bounds the nodes and zones whose sums are kept.
	maxSources = 1024
	// lateDigests is how long digests of a relay that was replaced are ignored: what it sent before may arrive meanwhile. It is above the time
	// that datagrams take, and relays are replaced after 0.2 s without digests.
	lateDigests = time.Second
	// sentReports is the number of own reports whose sums are kept: a digest contains one of the last second.
	sentReports = 16
)

// source is what another node of the zone, or a zone, reported last.
type source struct {
	sequence uint64
	// relay is the node that merged the digest of a zone, former are those before it.
	relay      uint32
	former     map[uint32]formerRelay
	receivedAt time.Time
	// sums is nil if other sources have replaced them.
	sums map[Key]float64
}

// formerRelay is a relay that was replaced, with the newest sequence number of its digests.
type formerRelay struct {
	sequence   uint64
	replacedAt time.Time
}

// follow records the relay and the sequence number of a digest, and reports whether the digest is newer than that before. Sequence numbers of
// different relays cannot be compared.
func (s *source) follow(relay uint32, sequence uint64, now time.Time) bool {
	if s.receivedAt.IsZero() {
		s.relay, s.sequence = relay, sequence
		return true
	}
	if s.relay == relay {
		newer := sequence > s.sequence
		s.sequence = max(s.sequence, sequence)
		return newer
	}
	if former, known := s.former[relay]; known {
		if sequence <= former.sequence {
			return false
		}
		if now.Sub(former.replacedAt) < lateDigests {
			s.former[relay] = formerRelay{sequence, former.replacedAt}
			return false
		}
	}
	maps.DeleteFunc(s.former, func(other uint32, f formerRelay) bool { return other == relay || now.Sub(f.replacedAt) > newsTimeout })
	if s.former == nil {
		s.former = map[uint32]formerRelay{}
	}
	s.former[s.relay] = formerRelay{s.sequence, now}
	s.relay, s.sequence = relay, sequence
	return true
}

// sentReport is one report of this node.
type sentReport struct {
	sequence uint64
	at       time.Time
	sums     map[Key]float64
}

// news holds the sums of the other nodes: of each node of the zone, or the digest of the own zone, and the digests of the other zones.
type news struct {
	nodes, zones     map[string]*source
	ownZone          string
	sent             [sentReports]sentReport
	reports, digests uint64
	next             int
}

func newNews() news { return news{nodes: map[string]*source{}, zones: map[string]*source{}} }

func (n *news) expire(now time.Time) {
	for _, list := range []map[string]*source{n.nodes, n.zones} {
		for name, s := range list {
			if now.Sub(s.receivedAt) > newsTimeout {
				delete(list, name)
			}
		}
	}
}

// sums returns the upstream time of the accounts at the other nodes, in ms.
func (n *news) sums(now time.Time) map[Key]float64 {
	sums := map[Key]float64{}
	for _, list := range []map[string]*source{n.nodes, n.zones} {
		for _, s := range list {
			f := fade(s.receivedAt, now)
			for key, ms := range s.sums {
				sums[key] += f * ms
			}
		}
	}
	return sums
}

// Report returns the sums of this node for its report with a sequence number, nil if it carries none.
func (l *Ledger) Report(sequence uint64, now time.Time) []*nodepb.AccountLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.news.reports++
	if l.news.reports%newsInterval != 0 {
		return nil
	}
	sums := l.ownSums(now)
	if len(sums) == 0 {
		return nil
	}
	out := encode(sums)
	l.news.sent[l.news.next] = sentReport{sequence, now, decode(out)}
	l.news.next = (l.news.next + 1) % sentReports
	return out
}

// Digest returns the sums of the nodes of the zone, nil if the digest carries none.
func (l *Ledger) Digest(now time.Time) []*nodepb.AccountLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.news.digests++
	if l.news.digests%newsInterval != 0 {
		return nil
	}
	l.news.expire(now)
	sums := l.ownSums(now)
	for _, s := range l.news.nodes {
		f := fade(s.receivedAt, now)
		for key, ms := range s.sums {
			sums[key] += f * ms
		}
	}
	return encode(sums)
}

// ownSums returns the upstream time of the accounts at this node, of the services that are short of capacity.
func (l *Ledger) ownSums(now time.Time) map[Key]float64 {
	scale, sums := l.scale(now), map[Key]float64{}
	for hash, s := range l.services {
		if !now.Before(s.shortUntil) {
			continue
		}
		for name, a := range s.accounts {
			if ms := a.own / scale; ms >= 1 {
				sums[Key{hash, name}] = ms
			}
		}
	}
	return sums
}

// encode returns the largest sums.
func encode(sums map[Key]float64) []*nodepb.AccountLoad {
	type entry struct {
		key Key
		ms  float64
	}
	list := make([]entry, 0, len(sums))
	for key, ms := range sums {
		list = append(list, entry{key, ms})
	}
	slices.SortFunc(list, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.ms, a.ms), cmp.Compare(a.key.Service, b.key.Service), cmp.Compare(a.key.Account, b.key.Account))
	})
	var out []*nodepb.AccountLoad
	for _, e := range list[:min(len(list), maxNews)] {
		out = append(out, &nodepb.AccountLoad{Account: e.key.Account, Service: e.key.Service, WorkMs: uint32(min(math.Round(e.ms), math.MaxUint32))})
	}
	return out
}

// decode adds up entries of the same account, and ignores those beyond what a node sends.
func decode(list []*nodepb.AccountLoad) map[Key]float64 {
	sums := make(map[Key]float64, len(list))
	for _, load := range list[:min(len(list), maxNews)] {
		sums[Key{load.GetService(), load.GetAccount()}] += float64(load.GetWorkMs())
	}
	return sums
}

// ApplyReport records the sums in the report of another node of this node's zone. Sums are totals, so a report that arrives twice
// changes nothing; one that a later report overtook is ignored.
func (l *Ledger) ApplyReport(node string, sequence uint64, list []*nodepb.AccountLoad, now time.Time) {
	if len(list) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.news.source(l.news.nodes, node, now)
	if s == nil || s.sequence >= sequence {
		return
	}
	// The digest of the own zone contains the same sums. Its sequence number still tells which digests are late.
	if digest := l.news.zones[l.news.ownZone]; digest != nil {
		digest.sums = nil
	}
	s.sequence, s.receivedAt, s.sums = sequence, now, decode(list)
}

// ApplyDigest records the sums in the digest of a zone, unless a newer one of the same relay, or one of a relay that replaced it lately, came
// before. If the zone is that of this node, own is set, and merged is the low part of the
// sequence number of its newest report in the digest, 0 if there is none.
func (l *Ledger) ApplyDigest(d *nodepb.ZoneDigest, own bool, merged uint32, now time.Time) {
	if len(d.GetAccounts()) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.news.source(l.news.zones, d.GetZone(), now)
	if s == nil || !s.follow(d.GetRelay(), d.GetSequence(), now) {
		return
	}
	s.receivedAt, s.sums = now, decode(d.GetAccounts())
	if !own {
		return
	}
	l.news.ownZone = d.GetZone()
	for _, node := range l.news.nodes {
		node.sums = nil
	}
	for key, ms := range l.news.merged(merged, now) {
		if left := s.sums[key] - ms; left > 0 {
			s.sums[key] = left
		} else {
			delete(s.sums, key)
		}
	}
}

// merged returns the sums of the newest own report that a relay has, which need not carry accounts itself, decayed until now.
func (n *news) merged(sequence uint32, now time.Time) map[Key]float64 {
	var newest *sentReport
	for i := range n.sent {
		r := &n.sent[i]
		// Sequence numbers wrap around in 32 bits.
		if r.sums != nil && int32(sequence-uint32(r.sequence)) >= 0 && (newest == nil || r.sequence > newest.sequence) {
			newest = r
		}
	}
	if newest == nil || now.Sub(newest.at) > newsTimeout {
		return nil
	}
	f := fade(newest.at, now)
	sums := make(map[Key]float64, len(newest.sums))
	for key, ms := range newest.sums {
		sums[key] = f * ms
	}
	return sums
}

// source returns the record of a node or zone, nil if there are too many.
func (n *news) source(list map[string]*source, name string, now time.Time) *source {
	s := list[name]
	if s == nil {
		if len(list) >= maxSources {
			n.expire(now)
		}
		if len(list) >= maxSources {
			return nil
		}
		s = &source{}
		list[name] = s
	}
	return s
}
