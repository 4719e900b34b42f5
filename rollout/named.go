package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Named holds the weight versions that operators have named for each model, and since when this process knows of each. Every version has a time
// limit of its own: a newer one does not replace it. A Named is immutable and has no clock: time is an argument.
type Named struct {
	// limit is the time from the naming of a version until requests must not begin on older ones, 0 for no such time.
	limit  time.Duration
	models map[string]modelVersions
}

// modelVersions holds the versions of one model. One that was named no later than a higher one is left out, as the higher one requires more.
type modelVersions struct {
	// required is the newest version known to be past its limit.
	required uint64
	// pending has the newer versions, oldest first.
	pending []namedVersion
}

type namedVersion struct {
	version uint64
	at      time.Time
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

const (
	// resolution is the shortest time between the oldest and the newest of three successive versions that are all kept. It bounds their number; the
	// limit of one that is left out ends at most this much later.
	resolution = 250 * time.Millisecond
	// minGain is the least time by which word of an earlier naming of a known version counts.
	minGain = 20 * time.Millisecond
)

// NewNamed returns a Named without versions. limit is 0 if requests may begin on older versions for any time.
func NewNamed(limit time.Duration) *Named { return &Named{limit: limit} }

// Newest returns the newest version of a model, 0 if none was named.
func (n *Named) Newest(model string) uint64 { return n.models[model].newest() }

// NewestOfAll returns the newest version of each model.
func (n *Named) NewestOfAll() map[string]uint64 {
	return lo.MapValues(n.models, func(v modelVersions, _ string) uint64 { return v.newest() })
}

// Required returns the oldest version of a model on which requests may begin, 0 if any may.
func (n *Named) Required(model string, now time.Time) uint64 {
	return n.models[model].after(n.limit, now).required
}

// Namings returns what another process has to know of the versions, with those of a model in order.
func (n *Named) Namings(now time.Time) []Naming {
	var namings []Naming
	for _, model := range slices.Sorted(maps.Keys(n.models)) {
		v := n.models[model].after(n.limit, now)
		if v.required > 0 {
			namings = append(namings, Naming{Model: model, Version: v.required, Required: true})
		}
		for _, p := range v.pending {
			namings = append(namings, Naming{Model: model, Version: p.version, Age: now.Sub(p.at)})
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
		changed := old.after(next.limit, now)
		if naming.Required {
			changed = changed.require(naming.Version)
		} else {
			changed = changed.record(naming.Version, now.Add(-naming.Age))
		}
		if next.limit == 0 {
			changed.pending = changed.pending[max(0, len(changed.pending)-1):]
		}
		if changed.required == old.required && slices.Equal(changed.pending, old.pending) {
			continue
		}
		if naming.Version > old.newest() {
			change.Named = append(change.Named, naming)
		}
		if changed.required > old.required {
			change.Required = append(change.Required, Naming{Model: naming.Model, Version: changed.required, Required: true})
		}
		models := maps.Clone(next.models)
		if models == nil {
			models = map[string]modelVersions{}
		}
		models[naming.Model] = changed
		next = &Named{limit: next.limit, models: models}
	}
	return next, change
}

func (v modelVersions) newest() uint64 {
	if len(v.pending) == 0 {
		return v.required
	}
	return v.pending[len(v.pending)-1].version
}

// after returns the versions at a time at which the limits of some may have passed.
func (v modelVersions) after(limit time.Duration, now time.Time) modelVersions {
	if limit == 0 {
		return v
	}
	for i, p := range slices.Backward(v.pending) {
		if now.Sub(p.at) >= limit {
			return modelVersions{required: p.version, pending: v.pending[i+1:]}
		}
	}
	return v
}

// require returns the versions after word that one is past its limit.
func (v modelVersions) require(version uint64) modelVersions {
	if version <= v.required {
		return v
	}
	newer := slices.IndexFunc(v.pending, func(p namedVersion) bool { return p.version > version })
	if newer < 0 {
		newer = len(v.pending)
	}
	return modelVersions{required: version, pending: v.pending[newer:]}
}

// record returns the versions after word that one was named at a time. The slice of v is not changed.
func (v modelVersions) record(version uint64, at time.Time) modelVersions {
	if version <= v.required {
		return v
	}
	known := slices.ContainsFunc(v.pending, func(p namedVersion) bool {
		return p.version >= version && at.Sub(p.at) > -minGain
	})
	if known {
		return v
	}
	pending := make([]namedVersion, 0, len(v.pending)+1)
	for _, p := range v.pending {
		if p.version < version && p.at.Before(at) {
			pending = append(pending, p)
		}
	}
	pending = append(pending, namedVersion{version, at})
	for _, p := range v.pending {
		if p.version > version {
			pending = append(pending, p)
		}
	}
	for i := 1; i+1 < len(pending); {
		if pending[i+1].at.Sub(pending[i-1].at) < resolution {
			pending = slices.Delete(pending, i, i+1)
		} else {
			i++
		}
	}
	return modelVersions{required: v.required, pending: pending}
}
