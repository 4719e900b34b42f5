package placement

import (
	"slices"

	"github.com/wasabishunt/wasabishunt/serving/prefillpool"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// fleet holds what the choices among the instances of one list have in common. Instances are immutable, see upstreams.View.
type fleet struct {
	list []*upstreams.Instance
	ids  []string
	// base are the marks that follow from the list.
	base []marks
	// zones are the numbers of the instances' availability zones, in the order of zoneNames.
	zones     []int32
	zoneNames []string

	// states are those of the instances in a tracker, positions their positions.
	states    []*instanceState
	positions positionIndex[*instanceState]
	// The fields below are computed once they are needed.
	byID          *positionIndex[string]
	byHash        *positionIndex[uint32]
	poolPositions []float64
	// versions are the columns of the models that have versions, as of versionsRevision; unversioned is that of all other models.
	versions         map[string]*versionColumn
	versionsRevision uint64
	unversioned      *versionColumn
	rankings         rankings
}

// versionColumn holds the weight versions of the instances for one model.
type versionColumn struct{ values, distinct []uint64 }

func newFleet(list []*upstreams.Instance) *fleet {
	f := &fleet{list: slices.Clone(list), ids: make([]string, len(list)), base: make([]marks, len(list)), zones: make([]int32, len(list)), versions: map[string]*versionColumn{}}
	for i, instance := range list {
		f.ids[i] = instance.ID
		f.base[i].set(isDraining, instance.Draining)
		f.base[i].set(isUpdating, instance.Updating)
		zone := slices.Index(f.zoneNames, instance.AvailabilityZone)
		if zone < 0 {
			zone = len(f.zoneNames)
			f.zoneNames = append(f.zoneNames, instance.AvailabilityZone)
		}
		f.zones[i] = int32(zone)
	}
	return f
}

// positionIndex finds the positions of the instances that have the same key.
type positionIndex[K comparable] struct {
	first map[K]int32
	// next is the following position with the same key, -1 if there is none.
	next []int32
}

func newPositionIndex[K comparable](count int, key func(position int) K) positionIndex[K] {
	x := positionIndex[K]{make(map[K]int32, count), make([]int32, count)}
	for i := count - 1; i >= 0; i-- {
		x.next[i] = x.find(key(i))
		x.first[key(i)] = int32(i)
	}
	return x
}

// find returns the first position of a key, -1 if there is none.
func (x *positionIndex[K]) find(key K) int32 {
	if i, found := x.first[key]; found {
		return i
	}
	return -1
}

// positionsByID returns the index of the instances' ids.
func (f *fleet) positionsByID() *positionIndex[string] {
	if f.byID == nil {
		x := newPositionIndex(len(f.list), func(i int) string { return f.ids[i] })
		f.byID = &x
	}
	return f.byID
}

// positionsByHash returns the index of the hashes of the instances' keys.
func (f *fleet) positionsByHash() *positionIndex[uint32] {
	if f.byHash == nil {
		x := newPositionIndex(len(f.list), func(i int) uint32 { return f.list[i].Key().Hash() })
		f.byHash = &x
	}
	return f.byHash
}

// poolOrder returns the positions of the engines in the order by which they are divided into pools.
func (f *fleet) poolOrder() []float64 {
	if f.poolPositions == nil {
		f.poolPositions = make([]float64, len(f.list))
		for i, id := range f.ids {
			f.poolPositions[i] = prefillpool.Position(f.list[0].Service, id)
		}
	}
	return f.poolPositions
}

// fleetOf returns the fleet of a list, one for each service. The caller holds the lock.
func (t *Tracker) fleetOf(list []*upstreams.Instance) *fleet {
	if len(list) == 0 {
		return newFleet(nil)
	}
	service := list[0].Service
	old := t.fleets[service]
	if old != nil && slices.Equal(old.list, list) {
		return old
	}
	f := newFleet(list)
	f.states = make([]*instanceState, len(list))
	for i, instance := range list {
		f.states[i] = t.state(instance.Key())
	}
	if old != nil && slices.Equal(old.states, f.states) {
		f.keepIndexes(old)
	} else {
		f.positions = newPositionIndex(len(list), func(i int) *instanceState { return f.states[i] })
	}
	t.fleets[service] = f
	return f
}

// keepIndexes takes over what the fleet of an older list of the same instances has computed: most new lists differ in properties only.
func (f *fleet) keepIndexes(old *fleet) {
	f.positions, f.byID, f.byHash, f.poolPositions, f.unversioned = old.positions, old.byID, old.byHash, old.poolPositions, old.unversioned
	f.versions, f.versionsRevision = old.versions, old.versionsRevision
	if slices.Equal(old.zones, f.zones) && slices.Equal(old.zoneNames, f.zoneNames) {
		f.rankings = old.rankings
	}
}

// forgetLists drops the lists of instances that a new view replaces, and the fleets of services that it does not have. The states of fleets may
// be removed with a new view, and fleets would keep the former one in memory until the next request for their service. The caller holds the lock.
func (t *Tracker) forgetLists(view *upstreams.View) {
	for service, f := range t.fleets {
		f.list = nil
		if len(view.OfService(service)) == 0 {
			delete(t.fleets, service)
		}
	}
}

// versionsOf returns the weight versions of the instances of a fleet. The caller holds the lock.
func (t *Tracker) versionsOf(f *fleet, model string) *versionColumn {
	if f.versionsRevision != t.versionsRevision {
		clear(f.versions)
		f.versionsRevision = t.versionsRevision
	}
	// Callers choose the names of models freely: a column for each name would use up the memory.
	if t.versioned[model] == 0 {
		if f.unversioned == nil {
			f.unversioned = &versionColumn{make([]uint64, len(f.states)), []uint64{0}}
		}
		return f.unversioned
	}
	column := f.versions[model]
	if column != nil {
		return column
	}
	column = &versionColumn{values: make([]uint64, len(f.states))}
	for i, s := range f.states {
		version := s.versions[model]
		column.values[i] = version
		if !slices.Contains(column.distinct, version) {
			column.distinct = append(column.distinct, version)
		}
	}
	f.versions[model] = column
	return column
}
