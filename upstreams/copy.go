package upstreams

import (
	"slices"
	"time"
)

const (
	// CopyMargin is how much newer the copy of another node must be than the view. The time at which a view was known to be current is up
	// to fallbackReadAge later than the read that it comes from, and its update takes some hundred milliseconds more.
	CopyMargin = fallbackReadAge + 500*time.Millisecond
	// neverRead is an age beyond that of any view.
	neverRead = 10 * 365 * 24 * time.Hour
)

// Copy returns the view and its age for another node, or false if there is no view.
func (d *Directory) Copy(now time.Time) (*View, time.Duration, bool) {
	// The age is read first: it may be that of an earlier view, never that of a later one.
	age := max(0, d.Age(now))
	view := d.View()
	return view, age, view.Revision > 0 && age < neverRead
}

// WantsCopy reports whether the view of another node that was current at the given time is newer than that of this node.
func (d *Directory) WantsCopy(currentAt, now time.Time) bool {
	return d.Age(now)-now.Sub(currentAt) > CopyMargin
}

// ApplyCopy applies the view of another node that was current at the given time, unless this node's view is as new. What is known of
// leaving instances overrides it, as it does a list, and an instance that a list left out within leavingMemory stays out: the age of a
// copy is too low if its node was paused. ApplyCopy reports whether the copy was applied.
func (d *Directory) ApplyCopy(instances []Instance, currentAt, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.WantsCopy(currentAt, now) {
		return false
	}
	instances = slices.DeleteFunc(instances, func(i Instance) bool {
		at, gone := d.gone[i.Key()]
		return gone && now.Sub(at) <= leavingMemory
	})
	d.apply(instances, currentAt, now)
	return true
}

// recordGone records which instances of the view a newer list leaves out. The caller holds the lock.
func (d *Directory) recordGone(present map[Key]bool, now time.Time) {
	view := d.view.Load()
	for i := range view.Instances {
		if key := view.Instances[i].Key(); !present[key] {
			d.gone[key] = now
		}
	}
	for key, at := range d.gone {
		if present[key] || now.Sub(at) > leavingMemory {
			delete(d.gone, key)
		}
	}
}
