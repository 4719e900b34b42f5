package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/serving/versionlimit"
)

// Named holds the weight versions that operators have named for each model, and since when this process knows of each. Every version has a time
// limit of its own: a newer one does not replace it. A Named is immutable and has no clock: time is an argument.
type Named struct {
	// limit is the time from the naming of a version until requests must not begin on older ones, 0 for no such time.
	limit  time.Duration
	models map[string]versionlimit.Versions
}

// Naming is word of a version of a model.
type Naming struct {
	Model   string
	Version uint64
	// Age is how long ago the version was named, at least.
	Age time.Duration
	// Required is set if the version is past its limit; Age is not used then.
	Required bool
}

// NewNamed returns a Named without versions. limit is 0 if requests may begin on older versions for any time.
func NewNamed(limit time.Duration) *Named { return &Named{limit: limit} }

// Newest returns the newest version of a model, 0 if none was named.
func (n *Named) Newest(model string) uint64 { return n.models[model].Newest() }

// NewestOfAll returns the newest version of each model.
func (n *Named) NewestOfAll() map[string]uint64 {
	return lo.MapValues(n.models, func(v versionlimit.Versions, _ string) uint64 { return v.Newest() })
}

// Required returns the oldest version of a model on which requests may begin, 0 if any may.
func (n *Named) Required(model string, now time.Time) uint64 { return n.after(model, now).Required() }

// after returns the versions of a model at a time.
func (n *Named) after(model string, now time.Time) versionlimit.Versions {
	if n.limit == 0 {
		return n.models[model].OnlyNewest()
	}
	return n.models[model].After(n.limit, now)
}

// Namings returns what another process has to know of the versions, with those of a model in order.
func (n *Named) Namings(now time.Time) []Naming {
	var namings []Naming
	for _, model := range slices.Sorted(maps.Keys(n.models)) {
		v := n.after(model, now)
		if v.Required() > 0 {
			namings = append(namings, Naming{Model: model, Version: v.Required(), Required: true})
		}
		for version, at := range v.Pending() {
			namings = append(namings, Naming{Model: model, Version: version, Age: now.Sub(at)})
		}
	}
	return namings
}

// Change is the difference between two states of Named.
type Change struct {
	// Named are the namings of versions that were not known before, Required those of versions that were not required before.
	Named, Required []Naming
}

// Accept returns what is known with further namings. It returns n itself if nothing changes.
func (n *Named) Accept(namings []Naming, now time.Time) (next *Named, change Change) {
	next = n
	for _, naming := range namings {
		old := next.models[naming.Model]
		changed := next.after(naming.Model, now)
		if naming.Required {
			changed = changed.Require(naming.Version)
		} else {
			changed = changed.Record(naming.Version, now.Add(-naming.Age))
		}
		if changed.Equal(old) {
			continue
		}
		if naming.Version > old.Newest() {
			change.Named = append(change.Named, naming)
		}
		if changed.Required() > old.Required() {
			change.Required = append(change.Required, Naming{Model: naming.Model, Version: changed.Required(), Required: true})
		}
		models := maps.Clone(next.models)
		if models == nil {
			models = map[string]versionlimit.Versions{}
		}
		models[naming.Model] = changed
		next = &Named{limit: next.limit, models: models}
	}
	return next, change
}
