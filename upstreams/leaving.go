package upstreams

import (
	"slices"
	"time"
)

// leavingMemory is how long an instance that was seen draining is remembered after it was last listed. Lists and views that
// arrive late are some seconds old, so a minute covers them. An instance that restarts without a new identity gets requests
// after that time.
const leavingMemory = time.Minute

// MarkLeaving records that instances are leaving, which a node may learn before the list shows it. It returns those that were
// not known to leave.
func (d *Directory) MarkLeaving(now time.Time, keys ...Key) []Key {
	d.mu.Lock()
	defer d.mu.Unlock()
	var added []Key
	for _, key := range keys {
		if _, known := d.draining[key]; !known {
			d.draining[key] = now
			added = append(added, key)
		}
	}
	if len(added) == 0 {
		return nil
	}
	instances := slices.Clone(d.view.Load().Instances)
	for i := range instances {
		instances[i].Draining = instances[i].Draining || slices.Contains(added, instances[i].Key())
	}
	d.replace(instances, now)
	return added
}

// IsLeaving reports whether an instance was seen draining.
func (d *Directory) IsLeaving(key Key) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, leaving := d.draining[key]
	return leaving
}

// applyDraining sets the state of listed instances that were seen draining, and forgets those that were not listed for
// leavingMemory. The caller holds the lock.
func (d *Directory) applyDraining(instances []Instance, now time.Time) {
	for i := range instances {
		key := instances[i].Key()
		_, known := d.draining[key]
		if known || instances[i].Draining {
			instances[i].Draining = true
			d.draining[key] = now
		}
	}
	for key, listedAt := range d.draining {
		if now.Sub(listedAt) > leavingMemory {
			delete(d.draining, key)
		}
	}
}
