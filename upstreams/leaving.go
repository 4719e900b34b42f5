package upstreams

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// leavingMemory is how long an instance that was seen draining is remembered after it was last listed. Lists and views that
// arrive late are some seconds old, so a minute covers them. An instance that restarts without a new identity gets requests
// after that time.
const leavingMemory = time.Minute

// Hash identifies the incarnation in messages between nodes. It differs between incarnations with the same id, so late news
// about an earlier one does not concern a later one.
func (k Key) Hash() uint32 {
	var born [8]byte
	for i := range born {
		born[i] = byte(k.Born >> (8 * i))
	}
	return uint32(xxhash.Sum64String(k.ID + "\x00" + string(born[:])))
}

// ByHash returns the instance with this hash of its key, nil if there is none.
func (v *View) ByHash(hash uint32) *Instance { return v.byHash()[hash] }

func indexByHash(instances []Instance) map[uint32]*Instance {
	index := make(map[uint32]*Instance, len(instances))
	for i := range instances {
		index[instances[i].Key().Hash()] = &instances[i]
	}
	return index
}

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
