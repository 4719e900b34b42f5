package cachevalue

import (
	"container/list"
	"time"

	"github.com/wasabishunt/wasabishunt/piece"
)

// tracker remembers the last use of pieces, also of those that were evicted, so that long gaps are observed.
type tracker struct {
	limit  int
	byName map[piece.Name]*list.Element
	uses   *list.List // Least recent first.
}

type use struct {
	name  piece.Name
	class string
	at    time.Time
}

func newTracker(limit int) tracker {
	return tracker{limit: limit, byName: map[piece.Name]*list.Element{}, uses: list.New()}
}

// use notes a use and returns the one before.
func (t *tracker) use(name piece.Name, class string, now time.Time) (last time.Time, known bool) {
	if e := t.byName[name]; e != nil {
		u := e.Value.(*use)
		last = u.at
		u.at, u.class = now, class
		t.uses.MoveToBack(e)
		return last, true
	}
	t.byName[name] = t.uses.PushBack(&use{name: name, class: class, at: now})
	return time.Time{}, false
}

// forget drops the least recent use if there are too many or it is too old, and returns its class.
func (t *tracker) forget(now time.Time, limit time.Duration) (class string, ok bool) {
	e := t.uses.Front()
	if e == nil {
		return "", false
	}
	u := e.Value.(*use)
	if len(t.byName) <= t.limit && now.Sub(u.at) < limit {
		return "", false
	}
	t.uses.Remove(e)
	delete(t.byName, u.name)
	return u.class, true
}
