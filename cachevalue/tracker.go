package cachevalue

import (
	"container/list"
	"time"

	"github.com/wasabishunt/wasabishunt/piece"
)

// tracker holds the last use of pieces, including evicted ones, so that long gaps are measured as well.
type tracker struct {
	maxPieces int
	byName    map[piece.Name]*list.Element
	uses      *list.List // Least recent first.
}

type lastUse struct {
	name  piece.Name
	class string
	at    time.Time
}

func newTracker(maxPieces int) tracker {
	return tracker{maxPieces: maxPieces, byName: map[piece.Name]*list.Element{}, uses: list.New()}
}

// record records a use and returns the previous one.
func (t *tracker) record(name piece.Name, class string, now time.Time) (last time.Time, found bool) {
	if e := t.byName[name]; e != nil {
		u := e.Value.(*lastUse)
		last = u.at
		u.at, u.class = now, class
		t.uses.MoveToBack(e)
		return last, true
	}
	t.byName[name] = t.uses.PushBack(&lastUse{name: name, class: class, at: now})
	return time.Time{}, false
}

// expire removes the least recent use if there are more than maxPieces or it is at least maxAge old, and returns its
// class.
func (t *tracker) expire(now time.Time, maxAge time.Duration) (class string, ok bool) {
	e := t.uses.Front()
	if e == nil {
		return "", false
	}
	u := e.Value.(*lastUse)
	if len(t.byName) <= t.maxPieces && now.Sub(u.at) < maxAge {
		return "", false
	}
	t.uses.Remove(e)
	delete(t.byName, u.name)
	return u.class, true
}
