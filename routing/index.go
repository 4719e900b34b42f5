package routing

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/objectset"
)

// pointsPerUpstream is how often an upstream stands on its model's ring. With 48 points the busiest of 100 upstreams
// gets about 1.4 times the mean of affinity names; load scoring evens out the rest.
const pointsPerUpstream = 48

// Upstream is one engine that routing may choose.
type Upstream struct {
	Name         string
	Deployment   string
	Zone         string
	AgentAddress string
	// PrefillRate and DecodeRate are configured estimates in tokens per second, used until rates were reported.
	PrefillRate float64
	DecodeRate  float64
	// State is the membership state; anything but live gets no new work.
	State controlclient.ProcessState
}

// place is one upstream of an index.
type place struct {
	Upstream
	load *record // The load record, bound on first use; see Loads.of.
}

// Index holds the candidates of each model, prepared once for each set version so that a decision does not depend on
// the number of upstreams.
type Index struct {
	models map[string]*modelIndex
}

type modelIndex struct {
	upstreams []Upstream
	places    []*place
	ring      []point
}

// point is one position on a ring.
type point struct {
	hash  uint64
	place int32
}

// BuildIndex prepares the candidates from an object set and the states of agents by upstream name. An upstream whose
// state is missing is not live. The rings of models whose upstreams are the same as in the previous index are reused.
func BuildIndex(set *objectset.Set, states map[string]controlclient.ProcessState, previous *Index) *Index {
	deployments := lo.KeyBy(set.Deployments, func(d objectset.Deployment) string { return d.Name })
	byModel := map[string][]Upstream{}
	for _, u := range set.Upstreams {
		model := deployments[u.Deployment].Model
		byModel[model] = append(byModel[model], Upstream{
			Name: u.Name, Deployment: u.Deployment, Zone: u.Zone, AgentAddress: u.AgentAddress,
			PrefillRate: u.PrefillTokensPerSecond, DecodeRate: u.DecodeTokensPerSecond, State: states[u.Name],
		})
	}
	return NewIndex(byModel, previous)
}

// NewIndex prepares the candidates from upstreams by model.
func NewIndex(byModel map[string][]Upstream, previous *Index) *Index {
	index := &Index{models: make(map[string]*modelIndex, len(byModel))}
	for model, upstreams := range byModel {
		var old *modelIndex
		if previous != nil {
			old = previous.models[model]
		}
		index.models[model] = newModelIndex(upstreams, old)
	}
	return index
}

func newModelIndex(upstreams []Upstream, old *modelIndex) *modelIndex {
	if old != nil && slices.Equal(old.upstreams, upstreams) {
		return old
	}
	m := &modelIndex{upstreams: upstreams, places: make([]*place, len(upstreams))}
	for i, u := range upstreams {
		m.places[i] = &place{Upstream: u}
	}
	if old != nil && slices.EqualFunc(old.upstreams, upstreams, func(a, b Upstream) bool { return a.Name == b.Name }) {
		m.ring = old.ring
		return m
	}
	m.ring = newRing(upstreams)
	return m
}

func newRing(upstreams []Upstream) []point {
	ring := make([]point, 0, len(upstreams)*pointsPerUpstream)
	for i, u := range upstreams {
		seed := xxhash.Sum64String(u.Name)
		for n := range uint64(pointsPerUpstream) {
			ring = append(ring, point{hash: mix(seed + n), place: int32(i)})
		}
	}
	slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// start returns the position of the first point at or after the hash.
func (m *modelIndex) start(hash uint64) int {
	i := sort.Search(len(m.ring), func(i int) bool { return m.ring[i].hash >= hash })
	if i == len(m.ring) {
		return 0
	}
	return i
}

// mix is the finalizer of splitmix64; it spreads consecutive numbers over the ring.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
