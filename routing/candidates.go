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
	at := model.start(binary.LittleEndian.Uint64(request.Affinity[:8]))
	limit := min(r.settings.MaxExamined, len(model.ring))
	for i := 0; i < limit && len(r.buffer) < r.settings.AffinityChoices; i++ {
		p := model.entries[model.ring[(at+i)%len(model.ring)].entry]
		r.consider(p, len(r.buffer), request, snapshot, d)
	}
}

func (r *Router) randomChoices(model *modelIndex, request Request, snapshot Snapshot, d *Decision) {
	want := min(len(r.buffer)+r.settings.RandomChoices, len(model.entries))
	for tries := 0; tries < 2*r.settings.RandomChoices && len(r.buffer) < want; tries++ {
		r.consider(model.entries[r.random.IntN(len(model.entries))], -1, request, snapshot, d)
	}
}

// fallbackChoice searches for any usable upstream if all affinity and random choices are unusable, as after the loss of a
// rack.
func (r *Router) fallbackChoice(model *modelIndex, request Request, snapshot Snapshot, d *Decision) {
	at := r.random.IntN(len(model.entries))
	limit := min(4*r.settings.MaxExamined, len(model.entries))
	for i := 0; i < limit && len(r.buffer) == 0; i++ {
		r.consider(model.entries[(at+i)%len(model.entries)], -1, request, snapshot, d)
	}
}

// consider adds an upstream to the candidates unless it is unusable or already one of them.
func (r *Router) consider(p *indexEntry, choice int, request Request, snapshot Snapshot, d *Decision) {
	d.Examined++
	if slices.ContainsFunc(r.buffer, func(c candidate) bool { return c.entry == p }) {
		return
	}
	load := snapshot.Loads.estimate(snapshot.Loads.recordOf(p), p.Upstream, request, snapshot.Now, r.settings.Off)
	if reason := unusable(p, load, request); reason != "" {
		d.recordUnusable(p.Name, reason)
		return
	}
	r.buffer = append(r.buffer, candidate{entry: p, choice: choice, load: load})
}
