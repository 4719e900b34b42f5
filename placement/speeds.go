package placement

import (
	"math"
	"time"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/serving/speed"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// slownessCostMs is the cost in ms of each multiple of the usual time: running streams pause longer at a slow engine.
const slownessCostMs = 60

// slowness returns the expected time of work relative to the usual time; 1 if estimates are not used.
func (c *Candidate) slowness() float64 {
	if c.Slowness == 0 {
		return 1
	}
	return c.Slowness
}

// readRate returns the rate at which the engine is expected to read prompts now, in tokens per ms.
func (c *Candidate) readRate() float64 { return max(1, c.ReadRate) / c.slowness() }

// EstimateUsualFirstEvent estimates the time to the first event as if work took the usual time at the engine.
func EstimateUsualFirstEvent(q *Request, c *Candidate) Forecast {
	usual := *c
	usual.Slowness = 0
	return EstimateFirstEvent(q, &usual)
}

// RequireSpeeds makes the tracker estimate the speeds of the instances of all services, also of those whose answers don't state how
// long work takes. It must be called before the first request.
func (t *Tracker) RequireSpeeds() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.speeds = speed.NewTable(true)
}

// speedOf returns the estimate of an instance. The caller holds the lock.
func (t *Tracker) speedOf(s *instanceState, instance *upstreams.Instance) *speed.Instance {
	if s.speed == nil {
		s.speed = t.speeds.Instance(instance.Key().Hash(), instance.ID, instance.Service)
	}
	return s.speed
}

func (t *Tracker) forgetSpeed(s *instanceState) {
	if s.speed != nil {
		t.speeds.Remove(s.speed)
	}
}

// RecordSpeed records how long work takes at the instance by its own statement, in percent of the usual time.
func (a *Attempt) RecordSpeed(percent int, now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if s := a.tracker.state(a.key); s.speed != nil {
		a.tracker.speeds.ObserveFigure(s.speed, percent, now)
	}
}

// ObservesGaps reports whether RecordGap has an effect.
func (a *Attempt) ObservesGaps(now time.Time) bool {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	s := a.tracker.state(a.key).speed
	return s != nil && a.tracker.speeds.Uses(s, speed.Gap, now)
}

// RecordGap records the mean time between events of a stream over a short while.
func (a *Attempt) RecordGap(gap time.Duration, now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if s := a.tracker.state(a.key).speed; s != nil {
		a.tracker.speeds.Observe(s, speed.Gap, gap, time.Millisecond, now)
	}
}

// observeFirstEvent compares the time to the first event with its forecast. A request that waited for a store is skipped: its time
// depends on the store's link. The caller holds the lock.
func (a *Attempt) observeFirstEvent(now time.Time) {
	if s := a.tracker.state(a.key).speed; s != nil && a.work.UsualFirstEvent > 0 && len(a.work.Transfers) == 0 {
		a.tracker.speeds.Observe(s, speed.FirstEvent, now.Sub(a.began), a.work.UsualFirstEvent, now)
	}
}

// observeAnswer compares the time of a plain service's answer with the usual one. The caller holds the lock.
func (a *Attempt) observeAnswer(s *instanceState, now time.Time) {
	if s.speed != nil && a.work.CacheTokens == 0 && !a.prefilledByEvent {
		a.tracker.speeds.Observe(s.speed, speed.AnswerTime, now.Sub(a.began), time.Millisecond, now)
	}
}

// SpeedChanges returns the changes of assumed speeds since the last call, for the log, and the number of slow instances.
func (t *Tracker) SpeedChanges(now time.Time) (changes []speed.Change, slow int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.speeds.DrainChanges(now), t.speeds.SlowCount(now)
}

// applyZoneSpeeds applies the speeds in the digest of a zone. If it is the own zone, this node's part is taken out. The caller holds
// the lock.
func (t *Tracker) applyZoneSpeeds(source *loadSource, d *nodepb.ZoneDigest, own bool, now time.Time) {
	var sent speed.Sent
	if own {
		sent = t.merged.speeds
	}
	t.speeds.Apply(source.totalsName, false, decodeSpeeds(d.GetSpeeds()), sent, now)
}

func encodeSpeeds(readings []speed.Reading) []*nodepb.UpstreamSpeed {
	if len(readings) == 0 {
		return nil
	}
	out := make([]*nodepb.UpstreamSpeed, len(readings))
	for i, r := range readings {
		out[i] = &nodepb.UpstreamSpeed{Instance: r.Key, Percent: uint32(r.Percent), AgeMs: uint32(r.Age.Milliseconds()), Samples: uint32(r.Samples)}
	}
	return out
}

func decodeSpeeds(speeds []*nodepb.UpstreamSpeed) []speed.Reading {
	out := make([]speed.Reading, len(speeds))
	for i, s := range speeds {
		out[i] = speed.Reading{
			Key: s.GetInstance(), Percent: int(min(math.MaxInt32, s.GetPercent())), Age: time.Duration(s.GetAgeMs()) * time.Millisecond,
			Samples: int(min(math.MaxInt32, s.GetSamples())),
		}
	}
	return out
}
