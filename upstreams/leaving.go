package upstreams

import "time"

// leavingMemory is how long an instance that was seen draining is remembered after it was last listed. Lists and views that
// arrive late are some seconds old, so a minute covers them. An instance that restarts without a new identity gets requests
// after that time.
const leavingMemory = time.Minute

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
