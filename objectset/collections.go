package objectset

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// collection accesses one list of named objects of a set.
type collection interface {
	label() string
	names(s *Set) []string
	normalize(s *Set)
	diff(from, to *Set) []*controlpb.ObjectChange
	// patch replaces the list of s by a changed copy. All changes must be of this collection.
	patch(s *Set, changes []*controlpb.ObjectChange) error
}

var collections = []collection{
	list[Zone]{"zones", func(s *Set) *[]Zone { return &s.Zones }, func(o *Zone) string { return o.Name }},
	list[Rank]{"ranks", func(s *Set) *[]Rank { return &s.Ranks }, func(o *Rank) string { return o.Name }},
	list[Model]{"models", func(s *Set) *[]Model { return &s.Models }, func(o *Model) string { return o.Name }},
	list[WeightVersion]{"weight_versions", func(s *Set) *[]WeightVersion { return &s.WeightVersions }, func(o *WeightVersion) string { return o.Name }},
	list[Deployment]{"deployments", func(s *Set) *[]Deployment { return &s.Deployments }, func(o *Deployment) string { return o.Name }},
	list[Upstream]{"upstreams", func(s *Set) *[]Upstream { return &s.Upstreams }, func(o *Upstream) string { return o.Name }},
	list[Service]{"services", func(s *Set) *[]Service { return &s.Services }, func(o *Service) string { return o.Name }},
	list[Store]{"stores", func(s *Set) *[]Store { return &s.Stores }, func(o *Store) string { return o.Name }},
	list[Account]{"accounts", func(s *Set) *[]Account { return &s.Accounts }, func(o *Account) string { return o.Name }},
}

// list implements collection for objects of type T.
type list[T any] struct {
	name  string
	items func(*Set) *[]T
	key   func(*T) string
}

func (l list[T]) label() string { return l.name }

func (l list[T]) names(s *Set) []string {
	items := *l.items(s)
	names := make([]string, len(items))
	for i := range items {
		names[i] = l.key(&items[i])
	}
	return names
}

func (l list[T]) normalize(s *Set) {
	items := l.items(s)
	if *items == nil {
		*items = []T{}
	}
	slices.SortFunc(*items, func(a, b T) int { return strings.Compare(l.key(&a), l.key(&b)) })
}

func (l list[T]) find(items []T, name string) (int, bool) {
	return slices.BinarySearchFunc(items, name, func(item T, name string) int {
		return strings.Compare(l.key(&item), name)
	})
}

func (l list[T]) diff(from, to *Set) []*controlpb.ObjectChange {
	before, after := *l.items(from), *l.items(to)
	var changes []*controlpb.ObjectChange
	for i := range before {
		if _, ok := l.find(after, l.key(&before[i])); !ok {
			changes = append(changes, &controlpb.ObjectChange{Collection: l.name, Name: l.key(&before[i]), Removed: true})
		}
	}
	for i := range after {
		object := marshal(&after[i])
		if j, ok := l.find(before, l.key(&after[i])); ok && bytes.Equal(marshal(&before[j]), object) {
			continue
		}
		changes = append(changes, &controlpb.ObjectChange{Collection: l.name, Name: l.key(&after[i]), Object: object})
	}
	return changes
}

func (l list[T]) patch(s *Set, changes []*controlpb.ObjectChange) error {
	items := slices.Clone(*l.items(s))
	for _, change := range changes {
		i, found := l.find(items, change.Name)
		if change.Removed {
			if !found {
				return failure.New(failure.Internal, failure.NotRun, "cannot remove %s/%s: no such object", l.name, change.Name)
			}
			items = slices.Delete(items, i, i+1)
			continue
		}
		var object T
		if err := json.Unmarshal(change.Object, &object); err != nil {
			return failure.Wrap(err, failure.Internal, failure.NotRun, "decode %s/%s", l.name, change.Name)
		}
		if l.key(&object) != change.Name {
			return failure.New(failure.Internal, failure.NotRun, "the change of %s/%s holds an object with another name", l.name, change.Name)
		}
		if found {
			items[i] = object
		} else {
			items = slices.Insert(items, i, object)
		}
	}
	*l.items(s) = items
	return nil
}

func (s *Set) normalize() {
	for _, l := range collections {
		l.normalize(s)
	}
	for i := range s.Services {
		s.Services[i].NonIdempotent = nonNil(s.Services[i].NonIdempotent)
		s.Services[i].AgentAddresses = nonNil(s.Services[i].AgentAddresses)
	}
	for i := range s.Accounts {
		a := &s.Accounts[i]
		a.KeySHA256 = nonNil(a.KeySHA256)
		a.Models = nonNil(a.Models)
		a.Services = nonNil(a.Services)
		a.Ranks = nonNil(a.Ranks)
	}
}

func nonNil(list []string) []string {
	if list == nil {
		return []string{}
	}
	return list
}

// marshal encodes a value of this package's types. It panics on an error, which these types cannot cause.
func marshal(v any) []byte {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}

// Canonical returns the canonical JSON of a normalized set.
func (s *Set) Canonical() []byte { return marshal(s) }

// FromCanonical decodes canonical JSON without checking it.
func FromCanonical(document []byte) (*Set, error) {
	set := &Set{}
	if err := json.Unmarshal(document, set); err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "decode canonical object set")
	}
	set.normalize()
	return set, nil
}

// Diff lists the changes that turn one normalized set into another.
func Diff(from, to *Set) []*controlpb.ObjectChange {
	var changes []*controlpb.ObjectChange
	for _, l := range collections {
		changes = append(changes, l.diff(from, to)...)
	}
	return changes
}

// Patch returns a copy of a normalized set with the changes applied. The lists that do not change are shared.
func Patch(set *Set, changes []*controlpb.ObjectChange) (*Set, error) {
	byCollection := map[string][]*controlpb.ObjectChange{}
	for _, change := range changes {
		byCollection[change.Collection] = append(byCollection[change.Collection], change)
	}
	patched := *set
	for _, l := range collections {
		ofCollection := byCollection[l.label()]
		delete(byCollection, l.label())
		if len(ofCollection) == 0 {
			continue
		}
		if err := l.patch(&patched, ofCollection); err != nil {
			return nil, err
		}
	}
	for unknown := range byCollection {
		return nil, failure.New(failure.Internal, failure.NotRun, "unknown collection %q", unknown)
	}
	return &patched, nil
}
