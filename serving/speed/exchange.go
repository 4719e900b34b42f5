package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// maxReadings limits the readings in one datagram.
	maxReadings = 96
	// maxReadingAge is the age of the newest observation from which a reading is no longer sent.
	maxReadingAge = time.Second
	// minDeviation is the difference from 100 from which an instance is reported.
	minDeviation = 10
	// transit is the usual time that a report or digest is on its way and waits to be forwarded, which its ages don't include.
	transit = 30 * time.Millisecond
	// maxSamples bounds the weight of a reading.
	maxSamples = 10_000
)

// Reading is what a node or a zone reports of an instance.
type Reading struct {
	Key uint32
	// Percent is the mean relative time, never 100.
	Percent int
	// Age is the time since the newest observation.
	Age time.Duration
	// Samples is the weight of the observations at the time of the report.
	Samples int
}

// source is another node of the zone, or a zone.
type source struct {
	// local is set for a node of the own zone.
	local bool
	means map[uint32]mean
}

// Sent is what the reports of this node contained up to one of them.
type Sent struct{ means map[uint32]mean }

// Report returns what this node observed itself, and what to subtract from a digest of the own zone that contains this report.
func (t *Table) Report(now time.Time) ([]Reading, Sent) {
	readings := t.readings(now, func(i *Instance) (mean, time.Time) {
		if i.figures {
			return i.ownFigure.mean(now), i.ownFigure.at
		}
		return i.own, i.observedAt
	})
	for _, r := range readings {
		if !t.instances[r.Key].figures {
			t.reported[r.Key] = r.mean(now)
		}
	}
	maps.DeleteFunc(t.reported, func(_ uint32, m mean) bool { return m.decayed(now, observedHalfLife).weight < 1./2 })
	if len(t.reported) == 0 {
		return readings, Sent{}
	}
	return readings, Sent{maps.Clone(t.reported)}
}

// Digest returns what this node and the others of its zone observed.
func (t *Table) Digest(now time.Time) []Reading {
	return t.readings(now, func(i *Instance) (mean, time.Time) {
		if i.figures {
			return i.localFigure.mean(now), i.localFigure.at
		}
		return i.own.plus(i.local, 1, now, observedHalfLife), i.localAt
	})
}

// readings returns the readings to send: those with new observations first, then those that deviate most.
//
// An instance that is as usual is listed only if it was listed as slow before or others report it as slow: its recovery is news. It
// is then listed with 101, as 100 is not sent.
func (t *Table) readings(now time.Time, part func(*Instance) (mean, time.Time)) []Reading {
	var out []Reading
	for key, i := range t.observed {
		m, at := part(i)
		if m.weight == 0 || now.Sub(at) >= maxReadingAge {
			if i.total(now).weight < minLiveWeight {
				delete(t.observed, key)
			}
			continue
		}
		if i.figures != i.service.figures || !i.service.IsActive(now) {
			continue
		}
		r := Reading{i.key, percentOf(m.value()), max(0, now.Sub(at)), 1}
		if !i.figures {
			r.Samples = int(math.Round(min(maxSamples, m.decayed(now, observedHalfLife).weight)))
		}
		if r.Samples == 0 {
			continue
		}
		if r.deviates() {
			i.deviatedAt = now
		} else if !i.isReportedSlow(now) {
			continue
		}
		if r.Percent == 100 {
			r.Percent++
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Reading) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(abs(b.Percent-100), abs(a.Percent-100)), cmp.Compare(a.Key, b.Key))
	})
	return out[:min(len(out), maxReadings)]
}

// minLiveWeight is the weight below which observations no longer have an effect on an estimate.
const minLiveWeight = 0.01

func (r Reading) deviates() bool { return abs(r.Percent-100) >= minDeviation }

func abs(n int) int { return max(n, -n) }

// isReportedSlow reports whether this node or others lately reported the instance as other than usual.
func (i *Instance) isReportedSlow(now time.Time) bool {
	if !i.deviatedAt.IsZero() && now.Sub(i.deviatedAt) < maxReadingAge {
		return true
	}
	others := i.local.plus(i.remote, 1, now, observedHalfLife)
	if i.figures {
		others = i.newestFigure.mean(now)
	}
	return others.weight >= 1 && math.Abs(others.value()) > math.Log(1+minDeviation/100.)
}

func (r Reading) log() float64 {
	return math.Log(float64(max(minPercent, min(maxPercent, r.Percent))) / 100)
}

func (r Reading) mean(now time.Time) mean {
	weight := float64(max(0, min(maxSamples, r.Samples)))
	return mean{weight, weight * r.log(), now}
}

// Apply replaces what a source reported of the listed instances. local is set for a node of the own zone. sent is what this node's
// own reports contributed to the readings.
func (t *Table) Apply(name string, local bool, readings []Reading, sent Sent, now time.Time) (applied int) {
	if len(readings) == 0 {
		return 0
	}
	s := t.sources[name]
	if s == nil {
		s = &source{local: local, means: map[uint32]mean{}}
		t.sources[name] = s
	}
	for _, r := range readings {
		i := t.instances[r.Key]
		if i == nil || r.Percent <= 0 || r.Age >= 2*maxReadingAge || !i.service.IsActive(now) {
			continue
		}
		t.sync(i)
		at := now.Add(-max(0, r.Age) - transit)
		if i.figures {
			i.newestFigure.update(reading{r.log(), at})
			if local {
				i.localFigure.update(reading{r.log(), at})
			}
		} else {
			i.replace(s, r.mean(now).plus(sent.means[r.Key], -1, now, observedHalfLife), now)
			if local && at.After(i.localAt) {
				i.localAt = at
			}
		}
		t.live(i)
		t.noteSpeed(i, now)
		applied++
	}
	maps.DeleteFunc(s.means, func(_ uint32, m mean) bool { return m.decayed(now, observedHalfLife).weight == 0 })
	return applied
}

// replace replaces the contribution of a source.
func (i *Instance) replace(s *source, m mean, now time.Time) {
	total := &i.remote
	if s.local {
		total = &i.local
	}
	*total = total.plus(s.means[i.key], -1, now, observedHalfLife).plus(m, 1, now, observedHalfLife)
	s.means[i.key] = m
	if m.weight == 0 {
		delete(s.means, i.key)
	}
}

// Drop removes what a source reported. Figures stay: the newest one counts, no matter which node reported it.
func (t *Table) Drop(name string, now time.Time) {
	s := t.sources[name]
	if s == nil {
		return
	}
	for key := range s.means {
		t.instances[key].replace(s, mean{}, now)
	}
	delete(t.sources, name)
}
