package bench

import "time"

// Case is one load or fault situation that a trace is run in.
type Case struct {
	Name string
	// Extra returns the additional rate of a kind and account at a time, as a multiple of its calm rate; nil means none.
	Extra func(d *Deployment, kind *Kind, account int, t time.Duration) float64
	// Slots are the run slots of each engine; 0 means maxRunning.
	Slots int
	// Prepare schedules events of the case; nil means none.
	Prepare func(r *run)
}

// Times of the events in a case.
const (
	lowFrom, lowTo       = 60 * time.Second, 130 * time.Second
	urgentFrom, urgentTo = 140 * time.Second, 200 * time.Second
	eventAt              = 60 * time.Second
	largeFrom, largeTo   = 60 * time.Second, 200 * time.Second
)

// during returns the factor inside a window and 0 outside.
func during(t, from, to time.Duration, factor float64) float64 {
	if t >= from && t < to {
		return factor
	}
	return 0
}

// Cases returns all cases, calm first.
func Cases() []*Case {
	return []*Case{
		{Name: "calm"},
		{Name: "flood of least urgent x10", Extra: lowFlood},
		{Name: "then flood of most urgent x5", Extra: bothFloods},
		{Name: "flood of most urgent x30", Extra: urgentOverload},
		{Name: "links at a tenth", Prepare: func(r *run) { r.schedule(eventAt, func() { r.slowLinks(0.1) }) }},
		{Name: "store lost and replaced", Prepare: func(r *run) {
			r.schedule(eventAt, func() { r.stores[0].fail() })
			r.schedule(eventAt+30*time.Second, func() { r.stores[0].replace() })
		}},
		{Name: "engine frozen", Prepare: func(r *run) {
			r.schedule(eventAt, func() { r.agents[2].freeze() })
			r.schedule(eventAt+60*time.Second, func() { r.agents[2].thaw() })
		}},
		{Name: "four engines fail fast", Prepare: func(r *run) {
			r.schedule(eventAt, func() { r.failFast(4, true) })
			r.schedule(eventAt+60*time.Second, func() { r.failFast(4, false) })
		}},
		{Name: "large callers x20", Extra: largeCallers},
		{Name: "one account fills the caches", Extra: cacheFlood},
		{Name: "four engines at a quarter of their rate", Prepare: func(r *run) { r.throttle(4, 0.25) }},
		{Name: "flood of least urgent x10, 12 slots", Extra: lowFlood, Slots: 12},
		{Name: "weight swap", Prepare: func(r *run) { r.schedule(eventAt+40*time.Second, r.swapWeights) }},
	}
}

func lowFlood(d *Deployment, kind *Kind, _ int, t time.Duration) float64 {
	if kind.Name != d.Low {
		return 0
	}
	return during(t, lowFrom, lowTo, 9)
}

func bothFloods(d *Deployment, kind *Kind, account int, t time.Duration) float64 {
	if kind.Name == d.Urgent {
		return during(t, urgentFrom, urgentTo, 4)
	}
	return lowFlood(d, kind, account, t)
}

// urgentOverload is a flood of the most urgent work far above the capacity of all engines.
func urgentOverload(d *Deployment, kind *Kind, _ int, t time.Duration) float64 {
	if kind.Name != d.Urgent {
		return 0
	}
	return during(t, urgentFrom, urgentTo, 29)
}

// largeCallers makes two accounts request 20 times an equal share of every kind.
func largeCallers(_ *Deployment, _ *Kind, account int, t time.Duration) float64 {
	if account >= 2 {
		return 0
	}
	return during(t, largeFrom, largeTo, 20/(accountCount*accountShare(account))-1)
}

// cacheFloodFactor gives about 20 pieces per second from one account; both stores together hold 40 s of that.
const cacheFloodFactor = 12

// cacheFlood makes one account send long prompts of the least urgent kind, whose prefixes are never reused.
func cacheFlood(d *Deployment, kind *Kind, account int, t time.Duration) float64 {
	if kind.Name != d.Low || account != 0 {
		return 0
	}
	return during(t, largeFrom, largeTo, cacheFloodFactor)
}
