// Package versionlimit tells which versions of a thing are too old to be used. A version is used for some time after a newer one has been announced;
// every version has a time limit of its own, which newer ones do not replace. The package has no clock: time is an argument.
package versionlimit

import (
	"iter"
	"slices"
	"time"
)

// Versions holds the announced versions of one thing. It is immutable; the zero value has no version. A version that was announced no earlier than a
// higher one is left out, as the higher one requires more.
type Versions struct {
	// required is the newest version known to be past its limit.
	required uint64
	// pending has the newer versions, oldest first.
	pending []announced
}

type announced struct {
	version uint64
	at      time.Time
}

const (
	// Resolution is the shortest time between the oldest and the newest of three successive versions that are all kept. It bounds their number; the
	// limit of one that is left out ends at most this much later.
	Resolution = 250 * time.Millisecond
	// minGain is the least time by which word of an earlier announcement of a known version counts.
	minGain = 20 * time.Millisecond
)

// Newest returns the newest version, 0 if there is none.
func (v Versions) Newest() uint64 {
	if len(v.pending) == 0 {
		return v.required
	}
	return v.pending[len(v.pending)-1].version
}

// Required returns the oldest version that may be used, as of the last call of After; 0 if any may.
func (v Versions) Required() uint64 { return v.required }

// Pending returns the versions whose limit has not passed, oldest first, and when they were announced.
func (v Versions) Pending() iter.Seq2[uint64, time.Time] {
	return func(yield func(uint64, time.Time) bool) {
		for _, p := range v.pending {
			if !yield(p.version, p.at) {
				return
			}
		}
	}
}

// Equal reports whether two values hold the same.
func (v Versions) Equal(other Versions) bool {
	return v.required == other.required && slices.Equal(v.pending, other.pending)
}

// After returns the versions at a time at which the limits of some may have passed.
func (v Versions) After(limit time.Duration, now time.Time) Versions {
	for i, p := range slices.Backward(v.pending) {
		if now.Sub(p.at) >= limit {
			return Versions{required: p.version, pending: v.pending[i+1:]}
		}
	}
	return v
}

// Require returns the versions after word that one is past its limit.
func (v Versions) Require(version uint64) Versions {
	if version <= v.required {
		return v
	}
	newer := slices.IndexFunc(v.pending, func(p announced) bool { return p.version > version })
	if newer < 0 {
		newer = len(v.pending)
	}
	return Versions{required: version, pending: v.pending[newer:]}
}

// OnlyNewest returns the newest version alone, for a thing without a limit.
func (v Versions) OnlyNewest() Versions {
	v.pending = v.pending[max(0, len(v.pending)-1):]
	return v
}

// Record returns the versions after word that one was announced at a time.
func (v Versions) Record(version uint64, at time.Time) Versions {
	if version <= v.required {
		return v
	}
	known := slices.ContainsFunc(v.pending, func(p announced) bool {
		return p.version >= version && at.Sub(p.at) > -minGain
	})
	if known {
		return v
	}
	pending := make([]announced, 0, len(v.pending)+1)
	for _, p := range v.pending {
		if p.version < version && p.at.Before(at) {
			pending = append(pending, p)
		}
	}
	pending = append(pending, announced{version, at})
	for _, p := range v.pending {
		if p.version > version {
			pending = append(pending, p)
		}
	}
	for i := 1; i+1 < len(pending); {
		if pending[i+1].at.Sub(pending[i-1].at) < Resolution {
			pending = slices.Delete(pending, i, i+1)
		} else {
			i++
		}
	}
	return Versions{required: v.required, pending: pending}
}
