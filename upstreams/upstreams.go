// Package upstreams holds a node's view of the upstream instances of all services, and reads their list from the
// platform.
package upstreams

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Instance is one incarnation of an upstream.
type Instance struct {
	ID, Service, Address, AvailabilityZone string
	Draining                               bool
	// Born is the Unix time of the start in ms, 0 if unknown. A restarted instance keeps its ID and gets another
	// Born.
	Born  int64
	Slots int
	// Updating instances load weights and take no requests for a while.
	Updating bool
	// Versions maps models to the version of their weights.
	Versions map[string]uint64
	// ColdLeft is how long the instance remains cold after a list or a view of another node is applied. It is an input of the Directory,
	// whose views have ColdUntil instead.
	ColdLeft time.Duration
	// ColdUntil is the end of that time, zero if the list shows the instance as warm.
	ColdUntil time.Time
}

// Key returns the identity of the incarnation.
func (i *Instance) Key() Key { return Key{ID: i.ID, Born: i.Born} }

// Key is the identity of an incarnation.
type Key struct {
	ID   string
	Born int64
}

// Lister reads the platform's list of instances.
type Lister interface {
	List(ctx context.Context) ([]Instance, error)
}

// View is one state of the list. It is immutable.
type View struct {
	Revision  uint64
	Instances []Instance
	// ReceivedAt is when this node received the view.
	ReceivedAt time.Time
	byService  map[string][]*Instance
	byHash     func() map[uint32]*Instance
	// positions holds the position of each instance in the list of its service.
	positions func() map[*Instance]int
}

// OfService returns the instances of a service.
func (v *View) OfService(service string) []*Instance { return v.byService[service] }

// Position returns the position of an instance of the view in the list of its service.
func (v *View) Position(instance *Instance) int { return v.positions()[instance] }

func newView(revision uint64, instances []Instance, now time.Time) *View {
	v := &View{Revision: revision, Instances: instances, ReceivedAt: now, byService: map[string][]*Instance{}}
	v.byHash = sync.OnceValue(func() map[uint32]*Instance { return indexByHash(instances) })
	for i := range v.Instances {
		instance := &v.Instances[i]
		v.byService[instance.Service] = append(v.byService[instance.Service], instance)
	}
	v.positions = sync.OnceValue(func() map[*Instance]int {
		positions := make(map[*Instance]int, len(instances))
		for _, list := range v.byService {
			for i, instance := range list {
				positions[instance] = i
			}
		}
		return positions
	})
	return v
}

// Directory holds the current view of a node. Its mu is a leaf lock: no other lock is acquired while it is held.
type Directory struct {
	view atomic.Pointer[View]

	mu sync.Mutex
	// draining holds the instances that were seen draining, with the time when they were last listed: an outdated list must
	// not show them as ready again.
	draining map[Key]time.Time
	// gone holds the instances that a newer list left out, with the time when it did: a copy of another node's view must not bring them back.
	gone map[Key]time.Time
	// updating and loaded hold reports of the rollout controller, which are newer than the list.
	updating map[Key]time.Time
	loaded   map[Key]map[string]uint64
	changed  chan struct{}
	// confirmed is the last time at which the view was known to be current. It keeps its monotonic reading, so that the age does not
	// follow steps of the clock.
	confirmed atomic.Pointer[time.Time]
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	d := &Directory{
		draining: map[Key]time.Time{}, gone: map[Key]time.Time{}, updating: map[Key]time.Time{}, loaded: map[Key]map[string]uint64{}, changed: make(chan struct{}),
	}
	d.view.Store(newView(0, nil, time.Time{}))
	d.Confirm(time.Time{})
	return d
}

// View returns the current view.
func (d *Directory) View() *View { return d.view.Load() }

// Changed returns a channel that is closed at the next change.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Confirm records that the view is current.
func (d *Directory) Confirm(now time.Time) { d.confirmed.Store(&now) }

// Age returns how long ago the view was known to be current.
func (d *Directory) Age(now time.Time) time.Duration { return now.Sub(*d.confirmed.Load()) }

// ApplyList applies a list. It reports whether anything changed.
func (d *Directory) ApplyList(instances []Instance, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.apply(instances, now, now)
}

// apply applies a list that was current at the given time. The caller holds the lock.
func (d *Directory) apply(instances []Instance, currentAt, now time.Time) bool {
	present := make(map[Key]bool, len(instances))
	for i := range instances {
		key := instances[i].Key()
		present[key] = true
		instances[i].setCold(now)
		d.overlay(&instances[i], now)
	}
	d.applyDraining(instances, now)
	d.recordGone(present, now)
	for key := range d.loaded {
		if !present[key] {
			delete(d.loaded, key)
			delete(d.updating, key)
		}
	}
	changed := d.replace(instances, now)
	// The view is replaced first, so that an old view never has the age of a newer one.
	d.Confirm(currentAt)
	return changed
}

// overlay applies the reports of the rollout controller on an instance to its list entry.
func (d *Directory) overlay(instance *Instance, now time.Time) {
	key := instance.Key()
	since, updating := d.updating[key]
	instance.Updating = instance.Updating || updating && now.Sub(since) < maxUpdateTime
	for model, version := range d.loaded[key] {
		if version > instance.Versions[model] {
			instance.Versions[model] = version
		}
	}
}

// maxUpdateTime bounds how long an instance that loads weights gets no requests.
const maxUpdateTime = 8 * time.Second

// expireUpdating ends the loading of weights in a view that is older than any load takes: while nobody reads the list, no view follows that
// says so, and an instance that still loads rejects requests without running them. What the controller of this node reports counts on.
func (d *Directory) expireUpdating(now time.Time) {
	isUpdating := func(i Instance) bool { return i.Updating }
	if d.Age(now) <= maxUpdateTime || !slices.ContainsFunc(d.View().Instances, isUpdating) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	instances := slices.Clone(d.view.Load().Instances)
	for i := range instances {
		since, updating := d.updating[instances[i].Key()]
		instances[i].Updating = instances[i].Updating && updating && now.Sub(since) < maxUpdateTime
	}
	d.replace(instances, now)
}

// SetUpdating records that an instance starts or stops loading weights.
func (d *Directory) SetUpdating(key Key, updating bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, known := d.updating[key]
	if known == updating && (!updating || time.Since(since) < maxUpdateTime) {
		return
	}
	if updating {
		d.updating[key] = time.Now()
	} else {
		delete(d.updating, key)
	}
	d.republish(key, updating)
}

// SetLoadedVersion records the weight version of an instance.
func (d *Directory) SetLoadedVersion(key Key, model string, version uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.loaded[key] == nil {
		d.loaded[key] = map[string]uint64{}
	}
	d.loaded[key][model] = version
	_, updating := d.updating[key]
	d.republish(key, updating)
}

// republish publishes the view with the latest reports on one instance. The caller holds the lock.
func (d *Directory) republish(key Key, updating bool) {
	old := d.view.Load()
	now := time.Now()
	instances := slices.Clone(old.Instances)
	for i := range instances {
		if instances[i].Key() != key {
			continue
		}
		instances[i].Versions = maps.Clone(instances[i].Versions)
		instances[i].Updating = updating
		d.overlay(&instances[i], now)
	}
	d.replace(instances, now)
}

// replace publishes a list unless it is the current one. The caller holds the lock.
func (d *Directory) replace(instances []Instance, now time.Time) bool {
	old := d.view.Load()
	if slices.EqualFunc(old.Instances, instances, sameInstance) {
		return false
	}
	d.view.Store(newView(old.Revision+1, instances, now))
	close(d.changed)
	d.changed = make(chan struct{})
	return true
}

func sameInstance(a, b Instance) bool {
	if a.Key() != b.Key() || a.Draining != b.Draining || a.Updating != b.Updating || a.Address != b.Address || a.Service != b.Service || len(a.Versions) != len(b.Versions) {
		return false
	}
	for model, version := range a.Versions {
		if b.Versions[model] != version {
			return false
		}
	}
	return !b.isColdForLonger(&a)
}

const (
	// readInterval is the interval of the node that reads for all; a draining instance is then known within 0.5 s
	// plus the list's own lag.
	readInterval = 500 * time.Millisecond
	// fallbackReadAge is the age of the view at which a node reads the list itself.
	fallbackReadAge = 1500 * time.Millisecond
	// fallbackReadInterval keeps 28 nodes without a reader below the platform's 40 reads per s.
	fallbackReadInterval = time.Second
	readTimeout          = time.Second
	// checkInterval is short, because after an election stores and orders wait for the new leader's first read.
	checkInterval = 25 * time.Millisecond
)

// Reader keeps a Directory current: it reads the list while ReadsForAll returns true, and otherwise only when the view
// from the node that reads for all is too old.
type Reader struct {
	Directory   *Directory
	Lister      Lister
	ReadsForAll func() bool
	Log         *zap.Logger
	// confirmed is the last successful read by this node, nil before the first one.
	confirmed atomic.Pointer[time.Time]
}

// Current reports whether this node reads the list and its last read is recent.
func (r *Reader) Current() bool {
	last := r.confirmed.Load()
	return r.ReadsForAll() && last != nil && time.Since(*last) < fallbackReadAge
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var last time.Time
	var failing bool
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.Directory.expireUpdating(now)
			reads := r.ReadsForAll()
			due := reads && now.Sub(last) >= readInterval ||
				!reads && r.Directory.Age(now) > fallbackReadAge && now.Sub(last) >= fallbackReadInterval
			if !due {
				continue
			}
			last = now
			err := r.read(ctx)
			if (err != nil) != failing {
				failing = err != nil
				r.Log.Info("instance list reading changed", zap.Bool("failing", failing), zap.Bool("reads_for_all", reads), zap.Error(err))
			}
		}
	}
}

func (r *Reader) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	instances, err := r.Lister.List(ctx)
	if err != nil {
		return err
	}
	now := time.Now()
	r.confirmed.Store(&now)
	if r.Directory.ApplyList(instances, now) {
		r.Log.Info("instance list changed", zap.Uint64("revision", r.Directory.View().Revision), zap.Int("instances", len(instances)))
	}
	return nil
}
