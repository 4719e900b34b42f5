package routing

import (
	"math"
	"time"
)

// Report is an upstream's load as carried by a reply.
type Report struct {
	Epoch        uint64
	QueuedTokens int64
	// QueuedAhead is, by rank, the queued tokens that are served before a new request of that rank.
	QueuedAhead map[string]int64
	Running     int64
	// PrefillRate and DecodeRate are the upstream's own measured rates in tokens per second; 0 means unknown.
	PrefillRate float64
	DecodeRate  float64
	// SlotWait is the upstream's own estimate of the wait for a run slot.
	SlotWait time.Duration
	Draining bool
	Versions []string
}

// Estimate is what an entry believes about an upstream's load now.
type Estimate struct {
	Report
	// Age of the report; a negative age means that there is none.
	Age time.Duration
	// Penalty is added to the upstream's cost after failures.
	Penalty time.Duration
	// Down is true after a failure until the next probe is due.
	Down bool
}

// LoadSettings are the settings of Loads.
type LoadSettings struct {
	// Flight is how long a request travels before the upstream's report can include it; default 5 ms.
	Flight time.Duration
	// SentLife bounds how long sent work is counted without a report; default 10 s.
	SentLife time.Duration
	// Penalty is added after the first failure and doubles with each further one; default 250 ms.
	Penalty time.Duration
	// MaxPenalty bounds the penalty; default 30 s.
	MaxPenalty time.Duration
	// PenaltyHalfLife halves the penalty; default 2 s.
	PenaltyHalfLife time.Duration
	// ProbeAfter is how long an upstream that refused a connection stays unused at first; doubles up to MaxProbe; default 500 ms.
	ProbeAfter time.Duration
	// MaxProbe bounds the time between probes; default 5 s.
	MaxProbe time.Duration
}

// LoadDefaults returns the default settings.
func LoadDefaults() LoadSettings {
	return LoadSettings{
		Flight:          5 * time.Millisecond,
		SentLife:        10 * time.Second,
		Penalty:         250 * time.Millisecond,
		MaxPenalty:      30 * time.Second,
		PenaltyHalfLife: 2 * time.Second,
		ProbeAfter:      500 * time.Millisecond,
		MaxProbe:        5 * time.Second,
	}
}

// Loads is what one entry has learned about the load of upstreams.
type Loads struct {
	settings LoadSettings
	records  map[string]*record
}

// record is the knowledge about one upstream.
type record struct {
	owner    *Loads
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
		r = &record{owner: l}
		l.records[name] = r
	}
	return r
}

// of returns the record of a place, and remembers it there to save the lookup by name.
func (l *Loads) of(p *place) *record {
	if p.load == nil || p.load.owner != l {
		p.load = l.record(p.Name)
	}
	return p.load
}

// Sent adds work that this entry sent, in prompt tokens that the upstream must compute, with the order of its rank.
func (l *Loads) Sent(name string, tokens int64, order int, now time.Time) {
	l.record(name).sent.add(send{now, tokens, order})
}

// Reported takes a report that came with a reply. Work sent since before the report was made stays counted, because
// the report cannot include it.
func (l *Loads) Reported(name string, report Report, now time.Time) {
	r := l.record(name)
	r.report = report
	r.received = now
	r.sent.dropBefore(now.Add(-l.settings.Flight))
}

// Unreachable notes a failed connection. The upstream gets no work until the next probe.
func (l *Loads) Unreachable(name string, now time.Time) {
	r := l.record(name)
	r.penalty.raise(l.settings, now)
	r.penalty.down(l.settings, now)
}

// Failed notes a failed request.
func (l *Loads) Failed(name string, now time.Time) {
	l.record(name).penalty.raise(l.settings, now)
}

// Succeeded notes an answered request.
func (l *Loads) Succeeded(name string) {
	l.record(name).penalty.succeed()
}

// Keep forgets all upstreams but the named ones, after a new object set.
func (l *Loads) Keep(names map[string]bool) {
	for name, r := range l.records {
		if !names[name] {
			r.owner = nil
			delete(l.records, name)
		}
	}
}

// Estimate returns the load of an upstream, as far as it is known, that a new request of the rank would meet.
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
	queued := float64(e.QueuedTokens) * fresh(e.Age)
	if !off.OwnSent {
		queued += float64(r.sent.total(now.Add(-l.settings.SentLife), order))
	}
	e.QueuedTokens = int64(queued)
	e.SlotWait = time.Duration(float64(e.SlotWait) * fresh(e.Age))
	if !off.Penalty {
		e.Penalty = r.penalty.at(l.settings, now)
		e.Down = r.penalty.isDown(now)
	}
	return e
}

// staleAfter is the age from which a report loses weight. A report that nobody refreshes must not keep an upstream
// unused for ever; half of it still counts after another staleAfter.
const staleAfter = 2 * time.Second

func fresh(age time.Duration) float64 {
	if age <= staleAfter {
		return 1
	}
	return float64(staleAfter) / float64(age)
}
