package routing

import (
	"math"
	"time"
)

// Report is an upstream's load as carried by a reply.
type Report struct {
	Epoch        uint64
	QueuedTokens int64
	// QueuedAhead holds, by rank, the queued tokens that will be served before a new request of that rank.
	QueuedAhead map[string]int64
	Running     int64
	// PrefillRate and DecodeRate are the upstream's own measured rates in tokens per second; 0 means unknown.
	PrefillRate float64
	DecodeRate  float64
	// SlotWait is the upstream's estimate of the wait for a run slot.
	SlotWait time.Duration
	Draining bool
	Versions []string
}

// Estimate is the estimated current load of an upstream.
type Estimate struct {
	Report
	// Age is the age of the report; it is negative if there is none.
	Age time.Duration
	// Penalty is added to the upstream's cost after failures.
	Penalty time.Duration
	// Down is true after a failure until the next probe is due.
	Down bool
}

// LoadSettings are the settings of Loads.
type LoadSettings struct {
	// TransitTime is the time that a request takes to reach the upstream; default 5 ms. A report that arrives within this
	// time after the send cannot include the request.
	TransitTime time.Duration
	// SentLife is how long sent work is counted if no report arrives; default 10 s.
	SentLife time.Duration
	// Penalty is added after the first failure and doubles with each further one; default 250 ms.
	Penalty time.Duration
	// MaxPenalty bounds the penalty; default 30 s.
	MaxPenalty time.Duration
	// PenaltyHalfLife is the time in which the penalty halves; default 2 s.
	PenaltyHalfLife time.Duration
	// ProbeAfter is how long an upstream stays unused after a failed connection. It doubles with each further failure, up to
	// MaxProbe; default 500 ms.
	ProbeAfter time.Duration
	// MaxProbe bounds the time between probes; default 5 s.
	MaxProbe time.Duration
}

// LoadDefaults returns the default settings.
func LoadDefaults() LoadSettings {
	return LoadSettings{
		TransitTime:     5 * time.Millisecond,
		SentLife:        10 * time.Second,
		Penalty:         250 * time.Millisecond,
		MaxPenalty:      30 * time.Second,
		PenaltyHalfLife: 2 * time.Second,
		ProbeAfter:      500 * time.Millisecond,
		MaxProbe:        5 * time.Second,
	}
}

// Loads is the load information that one entry holds about upstreams.
type Loads struct {
	settings LoadSettings
	records  map[string]*record
}

// record is the load information about one upstream.
type record struct {
	// table is the Loads that holds the record; nil after removal.
	table    *Loads
	report   Report
	received time.Time
	sent     sentWork
	penalty  penalty
}

// NewLoads returns an empty table.
func NewLoads(settings LoadSettings) *Loads {
	return &Loads{settings: settings, records: map[string]*record{}}
}

func (l *Loads) record(name string) *record {
	r := l.records[name]
	if r == nil {
		r = &record{table: l}
		l.records[name] = r
	}
	return r
}

// recordOf returns the record of an index entry. It caches the record in the entry to save lookups by name.
func (l *Loads) recordOf(entry *indexEntry) *record {
	if entry.record == nil || entry.record.table != l {
		entry.record = l.record(entry.Name)
	}
	return entry.record
}

// RecordSent records a request that this entry has sent: the prompt tokens that the upstream must compute and the order
// of the request's rank.
func (l *Loads) RecordSent(name string, tokens int64, order int, now time.Time) {
	l.record(name).sent.add(send{now, tokens, order})
}

// RecordReport applies a report that arrived with a reply. Work sent within the last TransitTime stays counted, because
// the report cannot include it.
func (l *Loads) RecordReport(name string, report Report, now time.Time) {
	r := l.record(name)
	r.report = report
	r.received = now
	r.sent.dropUntil(now.Add(-l.settings.TransitTime))
}

// RecordUnreachable records a failed connection. The upstream gets no work until the next probe.
func (l *Loads) RecordUnreachable(name string, now time.Time) {
	r := l.record(name)
	r.penalty.raise(l.settings, now)
	r.penalty.markDown(l.settings, now)
}

// RecordFailure records a failed request.
func (l *Loads) RecordFailure(name string, now time.Time) {
	l.record(name).penalty.raise(l.settings, now)
}

// RecordSuccess records an answered request.
func (l *Loads) RecordSuccess(name string) {
	l.record(name).penalty.succeed()
}

// Retain removes all upstreams that are not in names. It is called after a new object set.
func (l *Loads) Retain(names map[string]bool) {
	for name, r := range l.records {
		if !names[name] {
			r.table = nil
			delete(l.records, name)
		}
	}
}

// Estimate returns the estimated load of an upstream for a new request of the rank.
func (l *Loads) Estimate(upstream Upstream, rank string, order int, now time.Time) Estimate {
	request := Request{Rank: rank, Order: order}
	return l.estimate(l.record(upstream.Name), upstream, request, now, Off{})
}

func (l *Loads) estimate(r *record, u Upstream, request Request, now time.Time, off Off) Estimate {
	e := Estimate{Report: r.report, Age: -1}
	if !r.received.IsZero() {
		e.Age = now.Sub(r.received)
	}
	if e.PrefillRate <= 0 || off.Measured {
		e.PrefillRate = u.PrefillRate
	}
	if e.DecodeRate <= 0 || off.Measured {
		e.DecodeRate = u.DecodeRate
	}
	order := request.Order
	if ahead, ok := e.QueuedAhead[request.Rank]; ok && !off.ByRank {
		e.QueuedTokens = ahead
	} else {
		order = math.MaxInt
	}
	queued := float64(e.QueuedTokens) * freshness(e.Age)
	if !off.OwnSent {
		queued += float64(r.sent.total(now.Add(-l.settings.SentLife), order))
	}
	e.QueuedTokens = int64(queued)
	e.SlotWait = time.Duration(float64(e.SlotWait) * freshness(e.Age))
	if !off.Penalty {
		e.Penalty = r.penalty.decayed(l.settings, now)
		e.Down = r.penalty.isDown(now)
	}
	return e
}

// staleAfter is the age from which the weight of a report declines; at twice that age half of it counts. Otherwise an old
// report of a high load could keep an upstream unused indefinitely.
const staleAfter = 2 * time.Second

// freshness returns the weight of a report of the given age, 0 to 1.
func freshness(age time.Duration) float64 {
	if age <= staleAfter {
		return 1
	}
	return float64(staleAfter) / float64(age)
}
