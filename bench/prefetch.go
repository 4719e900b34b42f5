package bench

import (
	"time"

	"github.com/wasabishunt/wasabishunt/cachevalue"
	"github.com/wasabishunt/wasabishunt/linksched"
)

// prefetchLead is how long before a known return its pieces are moved to the engine.
const prefetchLead = 5 * time.Second

// expect schedules the prefetch for a conversation whose next request is known.
func (a *agent) expect(w *work) {
	if w.returns == 0 || !a.run.policy.Prefetch {
		return
	}
	for _, name := range w.names {
		for _, s := range a.run.stores {
			s.tier.ExpectReturn(name, epoch.Add(w.returns))
		}
	}
	if w.returns > a.run.now {
		a.run.at(w.returns-prefetchLead, func() { a.prefetch(w) })
	}
}

// prefetch fetches the pieces that the engine no longer holds, as bulk transfers.
func (a *agent) prefetch(w *work) {
	var missing []cachevalue.Entry
	for _, name := range w.names {
		if !a.cache.Touch(name, a.run.time()) {
			entry := a.entryOf(w, name)
			entry.KnownReturn = epoch.Add(w.returns)
			missing = append(missing, entry)
		}
	}
	for _, entry := range cachevalue.Prefetch(missing, prefetchLead, a.run.time()) {
		a.prefetchPiece(w, entry)
	}
}

func (a *agent) prefetchPiece(w *work, entry cachevalue.Entry) {
	for _, s := range a.run.stores {
		if _, ok := s.tier.Get(entry.Name); !ok {
			continue
		}
		s.push(linksched.Transfer{Bytes: entry.Bytes, Bulk: true}, func(ok bool) {
			if ok {
				a.keep(w, entry.Name)
			}
		})
		return
	}
}
