package routing

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/serving/evacuation"
)

// pointsPerUpstream is the number of points of an upstream on its model's hash ring. With 48 points the busiest of 100
// upstreams gets about 1.4 times the mean number of affinity names; scoring by load evens out the rest.
const pointsPerUpstream = 48

// Upstream is an engine that routing may choose.
type Upstream struct {
	Name         string
	Deployment   string
	Zone         string
	AgentAddress string
	// PrefillRate and DecodeRate are configured estimates in tokens per second, used until the upstream reports rates.
	PrefillRate float64
	DecodeRate  float64
	// State is the membership state; only live upstreams get new work.
	State controlclient.ProcessState
	// Evacuated is set if an operator has taken the upstreams of its zone out of service.
	Evacuated bool
}

// indexEntry is one upstream of an index.
type indexEntry struct {
	Upstream
	record *record // Cached load record, set on first use; see Loads.recordOf.
}

// Index holds the candidates of each model. It is built once for each set version, so that the cost of a decision does not
// depend on the number of upstreams.
type Index struct {
	models map[string]*modelIndex
}

type modelIndex struct {
	upstreams []Upstream
	entries   []*indexEntry
	ring      []point // Ordered by hash.
}

// point is one position on a hash ring.
type point struct {
	hash  uint64
	entry int32 // Index into modelIndex.entries.
}

// BuildIndex builds an index from an object set and the states of agents by upstream name. An upstream without a state is
// not live. evacuations may be nil. Rings of the previous index are reused for models whose upstreams have not changed.
func BuildIndex(set *objectset.Set, states map[string]controlclient.ProcessState, evacuations *evacuation.List, previous *Index) *Index {
	deployments := lo.KeyBy(set.Deployments, func(d objectset.Deployment) string { return d.Name })
	byModel := map[string][]Upstream{}
	for _, u := range set.Upstreams {
		model := deployments[u.Deployment].Model
		byModel[model] = append(byModel[model], Upstream{
			Name: u.Name, Deployment: u.Deployment, Zone: u.Zone, AgentAddress: u.AgentAddress,
			PrefillRate: u.PrefillTokensPerSecond, DecodeRate: u.DecodeTokensPerSecond, State: states[u.Name],
			Evacuated: evacuations.Contains(u.Zone),
		})
	}
	return NewIndex(byModel, previous)
}

// NewIndex builds an index from upstreams by model.
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
	m := &modelIndex{upstreams: upstreams, entries: make([]*indexEntry, len(upstreams))}
	for i, u := range upstreams {
		m.entries[i] = &indexEntry{Upstream: u}
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
			ring = append(ring, point{hash: mix(seed + n), entry: int32(i)})
		}
	}
	slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
	return ring
}

// start returns the position of the first point at or after the hash, wrapping around at the end of the ring.
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
