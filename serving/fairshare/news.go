package fairshare

import (
	"cmp"
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
	// sentReports is the number of own reports whose sums are kept: a digest contains one of the last second.
	sentReports = 16
)

// source is what another node of the zone, or a zone, reported last.
type source struct {
	sequence uint64
	// relay is the node that merged the digest of a zone.
	relay      uint32
	receivedAt time.Time
	sums       map[Key]float64
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
	// The digest of the own zone contains the same sums.
	delete(l.news.zones, l.news.ownZone)
	s.sequence, s.receivedAt, s.sums = sequence, now, decode(list)
}

// ApplyDigest records the sums in the digest of a zone. If the zone is that of this node, own is set, and merged is the low part of the
// sequence number of its newest report in the digest, 0 if there is none.
func (l *Ledger) ApplyDigest(d *nodepb.ZoneDigest, own bool, merged uint32, now time.Time) {
	if len(d.GetAccounts()) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.news.source(l.news.zones, d.GetZone(), now)
	if s == nil || s.relay == d.GetRelay() && s.sequence >= d.GetSequence() {
		return
	}
	s.relay, s.sequence, s.receivedAt, s.sums = d.GetRelay(), d.GetSequence(), now, decode(d.GetAccounts())
	if !own {
		return
	}
	l.news.ownZone = d.GetZone()
	clear(l.news.nodes)
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
