package configcheck

import (
	"reflect"
	"strings"

	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// compare adds the differences of a configuration from the one in force. Values are left out, as they include keys.
func (f *findings) compare(c, inForce configuration) {
	const prefix = "--against: "
	if inForce.err != nil {
		f.addError(prefix, inForce.err)
	}
	switch {
	case c.traffic != nil && inForce.traffic != nil:
		f.compareTraffic(inForce.traffic, c.traffic)
	case c.objects != nil && inForce.objects != nil:
		f.compareObjects(inForce.objects, c.objects)
	case c.err == nil && inForce.err == nil:
		f.add(prefix+"$", Invalid, "is a configuration of another kind")
	}
}

func (f *findings) compareObjects(from, to *objectset.Set) {
	known := map[string]bool{}
	for _, change := range objectset.Diff(to, from) {
		// In the reverse direction a removed object is one that the set in force lacks.
		known[change.Collection+"."+change.Name] = change.Removed
	}
	for _, change := range objectset.Diff(from, to) {
		path := change.Collection + "." + change.Name
		switch {
		case change.Removed:
			f.add(path, Difference, "is removed")
		case known[path]:
			f.add(path, Difference, "is added")
		default:
			f.add(path, Difference, "is changed")
		}
	}
}

// compareTraffic leaves out the version, which differs in each published set.
func (f *findings) compareTraffic(from, to *trafficset.Set) {
	compareNamed(f, "routes", from.Routes, to.Routes, func(r *trafficset.Route) string { return r.Name })
	compareNamed(f, "services", from.Services, to.Services, func(s *trafficset.Service) string { return s.Name })
	compareNamed(f, "accounts", from.Accounts, to.Accounts, func(a *trafficset.Account) string { return a.Name })
	if from.RequiresKeys() != to.RequiresKeys() {
		f.add("accounts", Difference, "whether callers need a key is changed")
	}
	if from.Limits != to.Limits {
		f.add("limits", Difference, "changed: %s", changedFields(from.Limits, to.Limits))
	}
}

// compareNamed compares lists by name. Of entries with the same name, which are invalid, it compares the last.
func compareNamed[T any](f *findings, label string, from, to []T, name func(*T) string) {
	before, after := byName(from, name), byName(to, name)
	for n, old := range before {
		if _, ok := after[n]; !ok {
			f.add(label+"."+n, Difference, "is removed")
		} else if fields := changedFields(*old, *after[n]); fields != "" {
			f.add(label+"."+n, Difference, "changed: %s", fields)
		}
	}
	for n := range after {
		if _, ok := before[n]; !ok {
			f.add(label+"."+n, Difference, "is added")
		}
	}
}

func byName[T any](list []T, name func(*T) string) map[string]*T {
	entries := make(map[string]*T, len(list))
	for i := range list {
		entries[name(&list[i])] = &list[i]
	}
	return entries
}

// changedFields lists the names of the exported fields that differ between two structs.
func changedFields[T any](a, b T) string {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	var names []string
	for i := range x.NumField() {
		if field := x.Type().Field(i); field.IsExported() && !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			names = append(names, field.Name)
		}
	}
	return strings.Join(names, ", ")
}
