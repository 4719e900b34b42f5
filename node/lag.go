package node

import (
	"slices"
	"time"
)

// maxPendingVersions limits the versions for which the time of their first announcement is kept.
const maxPendingVersions = 64

// versionLag tracks how long this node has known of published sets that are newer than the one in force.
type versionLag struct {
	// inForce is the newest version that this node has taken in.
	inForce uint64
	// pending has the newer versions in order, without those beyond maxPendingVersions.
	pending []announcedVersion
}

// announcedVersion is a version of the set, and when a core member first named it or a newer one.
type announcedVersion struct {
	version uint64
	at      time.Time
}

// announce records that a core member has a version.
func (l *versionLag) announce(version uint64, now time.Time) {
	if version <= l.inForce {
		return
	}
	if k := len(l.pending); k == 0 || l.pending[k-1].version < version && k < maxPendingVersions {
		l.pending = append(l.pending, announcedVersion{version, now})
	}
}

// advance records that a version was taken in. It returns how long the node was behind.
func (l *versionLag) advance(version uint64, now time.Time) time.Duration {
	behindFor := time.Duration(0)
	if since := l.behindSince(); !since.IsZero() {
		behindFor = now.Sub(since)
	}
	l.inForce = max(l.inForce, version)
	l.pending = slices.DeleteFunc(l.pending, func(a announcedVersion) bool { return a.version <= l.inForce })
	return behindFor
}

// behindSince returns when a core member first named a version that is newer than the one in force, the zero time if none did.
func (l *versionLag) behindSince() time.Time {
	if len(l.pending) == 0 {
		return time.Time{}
	}
	return l.pending[0].at
}
