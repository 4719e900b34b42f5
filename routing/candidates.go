package routing

import (
	"encoding/binary"
	"slices"
)

// candidates collects the affinity choices, which follow the affinity name on the ring, and random choices. It skips
// unusable upstreams. The number of upstreams examined is bounded, so the cost does not grow with the fleet.
func (r *Router) candidates(model *modelIndex, request Request, snapshot Snapshot, d *Decision) []candidate {
	r.buffer = r.buffer[:0]
	r.affinityChoices(model, request, snapshot, d)
	r.randomChoices(model, request, snapshot, d)
	if len(r.buffer) == 0 {
		r.fallbackChoice(model, request, snapshot, d)
	}
	return r.buffer
}

func (r *Router) affinityChoices(model *modelIndex, request Request, snapshot Snapshot, d *Decision) {
	first := model.start(binary.LittleEndian.Uint64(request.Affinity[:8]))
	limit := min(r.settings.MaxExamined, len(model.ring))
	for i := 0; i < limit && len(r.buffer) < r.settings.AffinityChoices; i++ {
		entry := model.entries[model.ring[(first+i)%len(model.ring)].entry]
		r.consider(entry, len(r.buffer), request, snapshot, d)
	}
}

func (r *Router) randomChoices(model *modelIndex, request Request, snapshot Snapshot, d *Decision) {
	want := min(len(r.buffer)+r.settings.RandomChoices, len(model.entries))
	for attempts := 0; attempts < 2*r.settings.RandomChoices && len(r.buffer) < want; attempts++ {
		r.consider(model.entries[r.random.IntN(len(model.entries))], -1, request, snapshot, d)
	}
}

// fallbackChoice searches for any usable upstream if all affinity and random choices are unusable, as after the loss of a
// rack.
func (r *Router) fallbackChoice(model *modelIndex, request Request, snapshot Snapshot, d *Decision) {
	first := r.random.IntN(len(model.entries))
	limit := min(4*r.settings.MaxExamined, len(model.entries))
	for i := 0; i < limit && len(r.buffer) == 0; i++ {
		r.consider(model.entries[(first+i)%len(model.entries)], -1, request, snapshot, d)
	}
}

// consider adds an upstream to the candidates unless it is unusable or already one of them.
func (r *Router) consider(entry *indexEntry, choice int, request Request, snapshot Snapshot, d *Decision) {
	d.Examined++
	if slices.ContainsFunc(r.buffer, func(c candidate) bool { return c.entry == entry }) {
		return
	}
	load := snapshot.Loads.estimate(snapshot.Loads.recordOf(entry), entry.Upstream, request, snapshot.Now, r.settings.Off)
	if reason := unusable(entry, load, request); reason != "" {
		d.recordUnusable(entry.Name, reason)
		return
	}
	r.buffer = append(r.buffer, candidate{entry: entry, choice: choice, load: load})
}
