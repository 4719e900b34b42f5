// Package speed estimates how long work takes at each instance, relative to the usual time of its service.
//
// Observations come from the answers of instances, from this node and from others. An estimate without new observations returns
// to 1, so that a slow instance is tried again. The package has no clock and no lock: time is an argument, and the caller
// serializes calls.
package speed

import (
	"math"
	"time"
)

const (
	// figureHalfLife is the half-life of the weight of a figure that an instance states. Slow moments last about 600 ms, and
	// figures of other nodes are 0.1 to 0.3 s old on arrival.
	figureHalfLife = 200 * time.Millisecond
	// observedHalfLife is that of what nodes observe themselves, which is less exact and needs several samples.
	observedHalfLife = time.Second
	// checkHalfLife is that of the comparison of figures with observations: a node gets an answer from a given instance every
	// few seconds only.
	checkHalfLife = 40 * time.Second
	// priorWeight is the weight of the assumption that an instance works as usual, in observations. With less, one late answer of an
	// instance that has few makes it count as slow.
	priorWeight = 8
	// figureWeight is the weight of a figure, in observations.
	figureWeight = 40
	// FigureValidity is how long a service counts as one whose answers carry a figure.
	FigureValidity = 10 * time.Second
	// minPercent and maxPercent bound a figure, so that a wrong one has a limited effect.
	minPercent, maxPercent = 40, 1000
	// minUsualSamples is the number of observations from which the usual value of a service counts.
	minUsualSamples = 20
	// usualWeight is the weight of one observation in the usual value.
	usualWeight = 0.02
	// figureMatch is how old a figure may be to be compared with an observation.
	figureMatch = 300 * time.Millisecond
	// contradiction is the mean difference of the logarithms of observed and stated times at which the observations count
	// instead of the figures. The time to a first event includes parts that don't depend on the instance, so honest figures differ too.
	contradiction = 0.6
	// agreement is the difference below which figures count again.
	agreement = 0.35
	// minCheckWeight is the weight of the comparisons from which they count.
	minCheckWeight = 4
	// noDifference is the difference of logarithms below which an instance counts as usual. Otherwise an instance whose estimate is back at
	// almost 1 would never be tried again next to idle ones whose estimates are slightly lower. Observations are less exact than figures, so
	// estimates from them are that much closer to 1 as well: chance makes some instances look faster than those with few observations.
	noDifference = 0.1
	// slowFactor and slowAfter determine when an instance is logged as slow. Short slow moments are too many for the log.
	slowFactor = 1.5
	slowAfter  = 2 * time.Second
	// maxChanges limits the changes kept for the log.
	maxChanges = 64
)

// Kind is the kind of an observation.
type Kind int

// Kinds of observations. Each has its own usual value.
const (
	// FirstEvent is the time to the first event, relative to its forecast.
	FirstEvent Kind = iota
	// Gap is the time between events of a stream.
	Gap
	// AnswerTime is the time of an answer of a plain service.
	AnswerTime
	kinds
)

// usual is the moving mean of the logarithms of the observations of one kind.
type usual struct {
	mean    float64
	samples int
}

// relative returns the logarithm of an observation relative to the usual value, and whether it counts.
func (u *usual) relative(log float64) (float64, bool) {
	known := u.samples >= minUsualSamples
	relative := max(math.Log(minPercent/100.), min(math.Log(maxPercent/100.), log-u.mean))
	u.samples++
	if !known {
		u.mean += (log - u.mean) / float64(u.samples)
		return 0, false
	}
	u.mean += usualWeight * relative
	return relative, true
}

// Service holds what is known about the instances of one service.
type Service struct {
	name     string
	required bool
	figureAt time.Time
	// figures is set while answers carry figures.
	figures bool
	usual   [kinds]usual
}

// IsActive reports whether estimates are used for the service.
func (s *Service) IsActive(now time.Time) bool {
	return s.required || !s.figureAt.IsZero() && now.Sub(s.figureAt) < FigureValidity
}

// Instance is the estimate of one incarnation of an instance.
type Instance struct {
	key     uint32
	name    string
	service *Service
	// figures is the value of the service's field for which the estimate was computed: the fields below are used for figures, or for
	// observations.
	figures bool
	// ownFigure is the newest figure that this node received, localFigure the newest one of its zone, and newestFigure the newest one of
	// all nodes. In a mean of several figures the older ones would hide what has changed since.
	ownFigure, localFigure, newestFigure reading
	// own are the observations of this node, local those reported by other nodes of its zone, and remote those reported by zones.
	own, local, remote mean
	// observedAt is the newest of own, localAt the newest of own and local.
	observedAt, localAt time.Time
	// deviatedAt is when a report or digest of this node last showed the instance as other than usual.
	deviatedAt time.Time
	// figure is the logarithm of the last figure of the instance.
	figure   float64
	figureAt time.Time
	// check compares observations with figures, observed are these observations.
	check, observed mean
	contradicted    bool
	// slowSince is when the estimate rose above slowFactor, slowLogged is set once this was logged.
	slowSince  time.Time
	slowLogged bool
}

// Change is a change of an assumed state, for the log.
type Change struct {
	Service, Instance string
	// What is one of the constants below.
	What    What
	Percent int
}

// What is the kind of a change.
type What int

// Kinds of changes.
const (
	// FiguresBegan and FiguresEnded concern a service.
	FiguresBegan What = iota
	FiguresEnded
	Slow
	Usual
	Contradicted
	Agrees
)

// Table holds the estimates of all instances that this node has observations of.
type Table struct {
	required  bool
	services  map[string]*Service
	instances map[uint32]*Instance
	// observed are the instances with recent observations.
	observed map[uint32]*Instance
	sources  map[string]*source
	// reported is what this node last reported of each instance.
	reported map[uint32]mean
	changes  []Change
}

// NewTable returns an empty table. required is set if estimates are used also for services whose answers carry no figure.
func NewTable(required bool) *Table {
	return &Table{required: required, services: map[string]*Service{}, instances: map[uint32]*Instance{}, observed: map[uint32]*Instance{}, sources: map[string]*source{}, reported: map[uint32]mean{}}
}

// Service returns the state of a service.
func (t *Table) Service(name string) *Service {
	s := t.services[name]
	if s == nil {
		s = &Service{name: name, required: t.required}
		t.services[name] = s
	}
	return s
}

// Instance returns the state of an instance, which it creates if needed. key identifies the incarnation in reports.
func (t *Table) Instance(key uint32, name, service string) *Instance {
	i := t.instances[key]
	if i == nil || i.name != name {
		i = &Instance{key: key, name: name, service: t.Service(service)}
		t.instances[key] = i
	}
	return i
}

// Remove drops an instance that is no longer listed.
func (t *Table) Remove(i *Instance) {
	if t.instances[i.key] != i {
		return
	}
	delete(t.instances, i.key)
	delete(t.observed, i.key)
	delete(t.reported, i.key)
	for _, s := range t.sources {
		delete(s.means, i.key)
	}
}

func (t *Table) record(c Change) {
	if len(t.changes) < maxChanges {
		t.changes = append(t.changes, c)
	}
}

// DrainChanges returns the changes since the last call.
func (t *Table) DrainChanges(now time.Time) []Change {
	for _, s := range t.services {
		if s.figures && now.Sub(s.figureAt) >= FigureValidity {
			s.figures = false
			t.record(Change{Service: s.name, What: FiguresEnded})
		}
	}
	changes := t.changes
	t.changes = nil
	return changes
}

// reading is a figure as a logarithm.
type reading struct {
	value float64
	at    time.Time
}

// update keeps the newer reading, so that a repeated one has no effect.
func (r *reading) update(other reading) {
	if other.at.After(r.at) {
		*r = other
	}
}

// mean returns the reading with the weight of its age.
func (r reading) mean(now time.Time) mean {
	if r.at.IsZero() {
		return mean{}
	}
	return mean{figureWeight, figureWeight * r.value, r.at}.decayed(now, figureHalfLife)
}

// sync drops the observations if the service's answers began or ceased to carry figures.
func (t *Table) sync(i *Instance) {
	if i.figures == i.service.figures {
		return
	}
	i.figures = i.service.figures
	i.own, i.local, i.remote, i.check, i.observed = mean{}, mean{}, mean{}, mean{}, mean{}
	i.ownFigure, i.localFigure, i.newestFigure = reading{}, reading{}, reading{}
	delete(t.reported, i.key)
	for _, s := range t.sources {
		delete(s.means, i.key)
	}
}

// ObserveFigure records the figure of an answer of the instance: how long work takes there, 100 being as usual.
func (t *Table) ObserveFigure(i *Instance, percent int, now time.Time) {
	s := i.service
	s.figureAt = now
	if !s.figures {
		s.figures = true
		t.record(Change{Service: s.name, What: FiguresBegan})
	}
	t.sync(i)
	i.figure, i.figureAt = math.Log(float64(max(minPercent, min(maxPercent, percent)))/100), now
	value := i.figure
	if i.contradicted {
		value = i.observed.value()
	}
	r := reading{value, now}
	i.ownFigure = r
	i.localFigure.update(r)
	i.newestFigure.update(r)
	t.live(i)
	t.noteSpeed(i, now)
}

// Uses reports whether observations of a kind have an effect. While figures arrive, only first events are compared with them: gaps
// and answer times are compared with usual values that hold for all routes of the service.
func (t *Table) Uses(i *Instance, kind Kind, now time.Time) bool {
	return i.service.IsActive(now) && (kind == FirstEvent || !i.service.figures)
}

// Observe records a time that this node measured at the instance, relative to the expected time.
func (t *Table) Observe(i *Instance, kind Kind, actual, expected time.Duration, now time.Time) {
	if actual <= 0 || expected <= 0 || !t.Uses(i, kind, now) {
		return
	}
	relative, known := i.service.usual[kind].relative(math.Log(float64(actual) / float64(expected)))
	if !known {
		return
	}
	t.sync(i)
	if i.figures {
		t.compare(i, relative, now)
		return
	}
	i.own = i.own.plus(mean{1, relative, now}, 1, now, observedHalfLife)
	i.observedAt, i.localAt = now, now
	t.live(i)
	t.noteSpeed(i, now)
}

// compare compares an observation with the figure of the same moment.
func (t *Table) compare(i *Instance, relative float64, now time.Time) {
	if i.figureAt.IsZero() || now.Sub(i.figureAt) > figureMatch {
		return
	}
	i.check = i.check.plus(mean{1, relative - i.figure, now}, 1, now, checkHalfLife)
	i.observed = i.observed.plus(mean{1, relative, now}, 1, now, checkHalfLife)
	difference := math.Abs(i.check.value())
	switch {
	case i.check.weight < minCheckWeight:
		i.contradicted = false
	case !i.contradicted && difference > contradiction:
		i.contradicted = true
		t.record(Change{i.service.name, i.name, Contradicted, percentOf(i.observed.value())})
	case i.contradicted && difference < agreement:
		i.contradicted = false
		t.record(Change{i.service.name, i.name, Agrees, percentOf(i.observed.value())})
	}
}

// live records that an instance has observations to report.
func (t *Table) live(i *Instance) {
	if t.instances[i.key] == i {
		t.observed[i.key] = i
	}
}

// noteSpeed records for the log that an instance is slow for a while, or as usual again.
func (t *Table) noteSpeed(i *Instance, now time.Time) {
	estimate := i.Estimate(now)
	switch {
	case estimate < slowFactor:
		i.slowSince = time.Time{}
		if i.slowLogged {
			i.slowLogged = false
			t.record(Change{i.service.name, i.name, Usual, int(math.Round(100 * estimate))})
		}
	case i.slowSince.IsZero():
		i.slowSince = now
	case !i.slowLogged && now.Sub(i.slowSince) >= slowAfter:
		i.slowLogged = true
		t.record(Change{i.service.name, i.name, Slow, int(math.Round(100 * estimate))})
	}
}

// Estimate returns the expected time of work at the instance relative to the usual time of its service.
func (i *Instance) Estimate(now time.Time) float64 {
	if i == nil || i.figures != i.service.figures || !i.service.IsActive(now) {
		return 1
	}
	m := i.total(now)
	if m.weight == 0 {
		return 1
	}
	log := m.sum / (m.weight + priorWeight)
	if math.Abs(log) < noDifference {
		return 1
	}
	if !i.figures {
		log -= math.Copysign(noDifference, log)
	}
	return math.Exp(log)
}

// total returns all that is known of the instance.
func (i *Instance) total(now time.Time) mean {
	if i.figures {
		return i.newestFigure.mean(now)
	}
	return i.own.plus(i.local, 1, now, observedHalfLife).plus(i.remote, 1, now, observedHalfLife)
}

// SlowCount returns the number of instances whose estimate is above slowFactor.
func (t *Table) SlowCount(now time.Time) (slow int) {
	for _, i := range t.observed {
		if i.Estimate(now) > slowFactor {
			slow++
		}
	}
	return slow
}

func percentOf(log float64) int { return int(math.Round(100 * math.Exp(log))) }
