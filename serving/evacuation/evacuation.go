// Package evacuation holds what a node knows of the availability zones whose upstreams get no requests. It has no clock: time is an argument.
package evacuation

import (
	"maps"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	// maxZoneBytes limits the name of a zone: each update to each node carries the names of all evacuated zones.
	maxZoneBytes = 128
	// endedLifetime is how long a list tells when an evacuation ended. It is far above the time for which a returning instance accepts fewer
	// requests.
	endedLifetime = 10 * time.Minute
)

// IsZoneName reports whether a string can be the name of an availability zone.
func IsZoneName(name string) bool {
	if name == "" || name == "." || name == ".." || len(name) > maxZoneBytes || !utf8.ValidString(name) || strings.Contains(name, "/") {
		return false
	}
	return strings.TrimSpace(name) == name && !strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) })
}

// List is one revision of the evacuated zones. It is immutable. A nil list is empty.
type List struct {
	revision uint64
	zones    map[string]bool
	// ended is when this node learned that the evacuation of a zone ended.
	ended map[string]time.Time
	// learnedAt is when this node received its first list, zero if no zone had ever been evacuated then.
	learnedAt time.Time
	// skippedAt is when this node last received a list after it had missed some in which any zone may have been evacuated.
	skippedAt time.Time
}

// Change is the difference between two lists.
type Change struct {
	// Zones are all evacuated zones; Started and Ended are the zones that the list before did not have or had in addition. All are in order.
	Zones, Started, Ended []string
}

// Accept returns the list with a received revision, and false if the revision is not above that of the list: the sender is behind.
func (l *List) Accept(revision uint64, zones []string, now time.Time) (next *List, change Change, ok bool) {
	if revision <= l.Revision() {
		return l, Change{}, false
	}
	next = &List{revision: revision, zones: make(map[string]bool, len(zones)), ended: map[string]time.Time{}}
	for _, zone := range zones {
		next.zones[zone] = true
		if !l.Contains(zone) {
			change.Started = append(change.Started, zone)
		}
	}
	if l == nil {
		next.learnedAt = now
	} else {
		next.learnedAt, next.skippedAt = l.learnedAt, l.skippedAt
		maps.Copy(next.ended, l.ended)
		for zone := range l.zones {
			if !next.zones[zone] {
				change.Ended = append(change.Ended, zone)
				next.ended[zone] = now
			}
		}
		// Each revision starts or ends one evacuation. If the differences explain all of them, no other zone was evacuated meanwhile.
		missed := revision - l.revision
		if missed > 1 && missed != uint64(len(change.Started)+len(change.Ended)) {
			next.skippedAt = now
		}
	}
	maps.DeleteFunc(next.ended, func(_ string, at time.Time) bool { return now.Sub(at) > endedLifetime })
	change.Zones = slices.Sorted(maps.Keys(next.zones))
	slices.Sort(change.Started)
	slices.Sort(change.Ended)
	return next, change, true
}

// Revision returns the revision, 0 for a list that was never received.
func (l *List) Revision() uint64 {
	if l == nil {
		return 0
	}
	return l.revision
}

// None returns the list before the first evacuation. Unlike a nil list it was received: a node that had it and next receives a revision above 1
// has missed a list.
func None() *List { return &List{} }

// LearnedAt returns when this node received its first list, zero if no zone had ever been evacuated then. The evacuation of any zone may have
// ended just before.
func (l *List) LearnedAt() time.Time {
	if l == nil {
		return time.Time{}
	}
	return l.learnedAt
}

// Contains reports whether a zone is evacuated.
func (l *List) Contains(zone string) bool { return l != nil && l.zones[zone] }

// Zones returns the evacuated zones, which must not be changed; nil or empty if there are none.
func (l *List) Zones() map[string]bool {
	if l == nil {
		return nil
	}
	return l.zones
}

// EndedAt returns when this node learned that the evacuation of a zone ended, zero if it did not learn of an end in the last minutes. A zone
// that is evacuated again keeps the time. After missed lists the evacuation of any zone may have ended.
func (l *List) EndedAt(zone string) time.Time {
	if l == nil {
		return time.Time{}
	}
	if at := l.ended[zone]; at.After(l.skippedAt) {
		return at
	}
	return l.skippedAt
}
