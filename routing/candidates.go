package routing

import (
	"encoding/binary"
	"slices"
)

// candidates walks the ring from the affinity name for the affinity choices and adds random ones. Unusable upstreams
// are passed over; the number examined is bounded, so the cost does not grow with the fleet.
func (r *Router) candidates(model *modelIndex, request Request, snapshot Snapshot, d *Decision) []candidate {
	r.buffer = r.buffer[:0]
	r.affinityChoices(model, request, snapshot, d)
	r.randomChoices(model, request, snapshot, d)
	if len(r.buffer) == 0 {
		r.anyChoice(model, request, snapshot, d)
	}
	return r.buffer
}

func (r *Router) affinityChoices(model *modelIndex, request Request, snapshot Snapshot, d *Decision) {
	at := model.start(binary.LittleEndian.Uint64(request.Affinity[:8]))
	limit := min(r.settings.MaxExamined, len(model.ring))
	for i := 0; i < limit && len(r.buffer) < r.settings.AffinityChoices; i++ {
		p := model.places[model.ring[(at+i)%len(model.ring)].place]
		r.consider(p, len(r.buffer), request, snapshot, d)
	}
}

func (r *Router) randomChoices(model *modelIndex, request Request, snapshot Snapshot, d *Decision) {
	want := min(len(r.buffer)+r.settings.RandomChoices, len(model.places))
	for tries := 0; tries < 2*r.settings.RandomChoices && len(r.buffer) < want; tries++ {
		r.consider(model.places[r.random.IntN(len(model.places))], -1, request, snapshot, d)
	}
}

// anyChoice is the last resort when the affinity and random choices are all unusable, such as after the loss of a rack.
func (r *Router) anyChoice(model *modelIndex, request Request, snapshot Snapshot, d *Decision) {
	at := r.random.IntN(len(model.places))
	limit := min(4*r.settings.MaxExamined, len(model.places))
	for i := 0; i < limit && len(r.buffer) == 0; i++ {
		r.consider(model.places[(at+i)%len(model.places)], -1, request, snapshot, d)
	}
}

func (r *Router) consider(p *place, choice int, request Request, snapshot Snapshot, d *Decision) {
	d.Examined++
	if slices.ContainsFunc(r.buffer, func(c candidate) bool { return c.place == p }) {
		return
	}
	load := snapshot.Loads.estimate(snapshot.Loads.of(p), p.Upstream, request, snapshot.Now, r.settings.Off)
	if why := unusable(p, load, request); why != "" {
		d.passOver(p.Name, why)
		return
	}
	r.buffer = append(r.buffer, candidate{place: p, choice: choice, load: load})
}
