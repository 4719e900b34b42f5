package coldstart

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// defaultListLag is the age of what the instance list says if the settings do not state it.
const defaultListLag = 800 * time.Millisecond

// Options of a Guard.
type Options struct {
	Directory *upstreams.Directory
	// ListLag is the age of what the instance list says, 0 if unknown.
	ListLag time.Duration
	// Limit returns the cold limit of a service in the published set.
	Limit func(service string) trafficset.ColdLimit
	// Zone returns what the node knows of the evacuation of a zone; nil if there are no evacuations.
	Zone    func(zone string) Zone
	Log     *zap.Logger
	Metrics gometrics.Registry
}

// Guard keeps the States of a node. Guard.mu is a leaf lock: no other lock is acquired while it is held.
type Guard struct {
	options Options

	mu     sync.Mutex
	states States
	// reasons are the last known reasons of cold instances, for the log.
	reasons map[uint32]Reason
	// known is the number of states. Without any, load reports take no lock.
	known atomic.Int64
	// pulse tells suspensions of the process.
	pulse pulse
}

const (
	// suspensionGap is the time between two load reports after which the process counts as suspended. Reports are sent each 75 ms at least,
	// and a VM that has used up its CPU share is stalled for a tenth of a second.
	suspensionGap = time.Second
	// suspensionMemory bounds the time for which a node without contact to the leader remembers that it was suspended.
	suspensionMemory = 3 * time.Second
)

// pulse holds when load reports were sent, in ns since started, 0 before the first one.
type pulse struct {
	started time.Time
	// beatAt is when the last one was sent, wokeAt the first one after a suspension.
	beatAt, wokeAt atomic.Int64
}

// beat records that a report is sent.
func (p *pulse) beat(now time.Time) {
	at := int64(now.Sub(p.started))
	if last := p.beatAt.Swap(at); last > 0 && at-last > int64(suspensionGap) {
		p.wokeAt.Store(at)
	}
}

// wasSuspended reports whether the process was suspended and has not heard from the leader since, who was last heard at heardAt.
func (p *pulse) wasSuspended(heardAt, now time.Time) bool {
	beatAt, wokeAt := p.beatAt.Load(), p.wokeAt.Load()
	if at := int64(now.Sub(p.started)); beatAt > 0 && at-beatAt > int64(suspensionGap) {
		// No report was sent since: the process has just woken up.
		return heardAt.Before(now.Add(-suspensionGap))
	}
	woke := p.started.Add(time.Duration(wokeAt))
	return wokeAt > 0 && heardAt.Before(woke) && now.Sub(woke) < suspensionMemory
}

// New returns a Guard.
func New(options Options) *Guard {
	if options.ListLag <= 0 {
		options.ListLag = defaultListLag
	}
	return &Guard{options: options, reasons: map[uint32]Reason{}, pulse: pulse{started: time.Now()}}
}

func (g *Guard) unlock() {
	g.known.Store(int64(len(g.states.byHash)))
	g.mu.Unlock()
}

// list returns what the node knows of the list: the view may be CopyMargin older than its confirmation.
func (g *Guard) list(now time.Time) List {
	heardAt := now.Add(-g.options.Directory.Age(now))
	return List{ContentAt: heardAt.Add(-upstreams.CopyMargin - g.options.ListLag), Suspended: g.pulse.wasSuspended(heardAt, now)}
}

func (g *Guard) zone(instance *upstreams.Instance) Zone {
	if g.options.Zone == nil {
		return Zone{}
	}
	return g.options.Zone(instance.AvailabilityZone)
}

// Need returns which requests to an instance of a service with this limit need a permit.
func (g *Guard) Need(instance *upstreams.Instance, limit trafficset.ColdLimit, now time.Time) Need {
	if g == nil || !limit.Applies() {
		return NoPermit
	}
	hash := instance.Key().Hash()
	// The caller may have chosen the instance from an earlier view.
	if current := g.options.Directory.View().ByHash(hash); current != nil {
		instance = current
	}
	list, zone := g.list(now), g.zone(instance)
	g.mu.Lock()
	need, reason := g.states.Need(instance, limit, list, zone, now)
	old := g.reasons[hash]
	if old != reason {
		if reason == Warm {
			delete(g.reasons, hash)
		} else {
			g.reasons[hash] = reason
		}
	}
	g.unlock()
	if old == reason {
		return need
	}
	g.counter("coldstart.changes").Inc(1)
	if reason == Warm {
		g.options.Log.Info("instance is warm", zap.String("instance", instance.ID), zap.String("before", string(old)))
	} else {
		g.options.Log.Info("instance is cold", zap.String("instance", instance.ID), zap.String("reason", string(reason)), zap.String("zone", instance.AvailabilityZone),
			zap.Duration("listed_for", max(0, instance.ColdUntil.Sub(now))), zap.Float64("per_second", limit.PerSecond))
	}
	return need
}

// Sign records that a connection to an instance of a service with this limit could not be opened or broke, during a request.
func (g *Guard) Sign(instance *upstreams.Instance, limit trafficset.ColdLimit, request string, cause error, now time.Time) {
	if g == nil || !limit.Applies() {
		return
	}
	g.mu.Lock()
	began := g.states.Sign(instance.Key().Hash(), limit, now)
	g.unlock()
	g.counter("coldstart.signs").Inc(1)
	if began {
		g.options.Log.Info("instance may have restarted", zap.String("instance", instance.ID), zap.String("request", request), zap.Error(cause))
	}
}

// Reached records that a connection to an instance was opened.
func (g *Guard) Reached(instance *upstreams.Instance, now time.Time) {
	if g == nil || g.known.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.unlock()
	g.states.Reached(instance.Key().Hash(), now)
}

// Sent records that a request is sent to an instance that counts as cold.
func (g *Guard) Sent(instance *upstreams.Instance, now time.Time) {
	g.mu.Lock()
	defer g.unlock()
	g.states.Sent(instance.Key().Hash(), now)
}

// maxNews bounds the instances in one datagram.
const maxNews = 96

// News returns the instances that may have restarted, as this node saw, and with zone set as the nodes of its zone saw.
func (g *Guard) News(zone bool, now time.Time) []*nodepb.ColdInstance {
	g.pulse.beat(now)
	if g.known.Load() == 0 {
		return nil
	}
	view, list := g.options.Directory.View(), g.list(now)
	g.mu.Lock()
	defer g.unlock()
	// A sign of an instance to which this node sends nothing more would otherwise be reported until the instance is gone.
	for hash := range g.states.byHash {
		if instance := view.ByHash(hash); instance != nil {
			g.states.Forget(instance, list)
		}
	}
	var out []*nodepb.ColdInstance
	for _, n := range g.states.News(zone, maxNews, now) {
		out = append(out, &nodepb.ColdInstance{Instance: n.Hash, AgeMs: encodeDuration(n.Age), LeftMs: encodeDuration(n.Left)})
	}
	return out
}

func encodeDuration(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

// Apply takes the news of another node or zone. zone is set for a node of the own zone, whose news the other zones do not get.
func (g *Guard) Apply(source string, zone bool, news []*nodepb.ColdInstance, now time.Time) {
	view := g.options.Directory.View()
	for _, n := range news[:min(len(news), maxNews)] {
		instance := view.ByHash(n.GetInstance())
		if instance == nil {
			continue
		}
		// Another node may have another version of the set.
		left := min(time.Duration(n.GetLeftMs())*time.Millisecond, g.options.Limit(instance.Service).Duration)
		g.hear(source, instance, now.Add(-time.Duration(n.GetAgeMs())*time.Millisecond), left, zone, now)
	}
}

// ApplyUnresponsive records that other nodes found instances unresponsive, given their ids.
func (g *Guard) ApplyUnresponsive(source string, ids []string, now time.Time) {
	if len(ids) == 0 {
		return
	}
	view := g.options.Directory.View()
	for i := range view.Instances {
		if instance := &view.Instances[i]; slices.Contains(ids, instance.ID) {
			g.hear(source, instance, now, g.options.Limit(instance.Service).Duration, false, now)
		}
	}
}

// hear records that another node saw a sign of a restart at a time, after which the instance is cold for some time.
func (g *Guard) hear(source string, instance *upstreams.Instance, at time.Time, left time.Duration, zone bool, now time.Time) {
	if left <= 0 || !g.options.Limit(instance.Service).Applies() || g.list(now).ShowsWarmSince(instance, at) {
		return
	}
	g.mu.Lock()
	began := g.states.Heard(instance.Key().Hash(), at, now.Add(left), zone, now)
	g.unlock()
	if began {
		g.counter("coldstart.reported").Inc(1)
		g.options.Log.Info("restart of an instance reported", zap.String("instance", instance.ID), zap.String("node", source),
			zap.Duration("age", now.Sub(at)), zap.Duration("left", left))
	}
}

// Retain drops what is known of instances that have not been listed for a while.
func (g *Guard) Retain(view *upstreams.View, now time.Time) {
	if g.known.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.unlock()
	listed := func(hash uint32) bool { return view.ByHash(hash) != nil }
	g.states.Retain(listed, now)
	for hash := range g.reasons {
		if !listed(hash) {
			delete(g.reasons, hash)
		}
	}
}

func (g *Guard) counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, g.options.Metrics)
}
