package placement

import (
	"time"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Pauses are pauses of instances besides those recorded by Tracker.Pause.
type Pauses struct {
	// ByHash holds pauses by the hash of the instance's key.
	ByHash map[uint32]time.Duration
	// ByPosition holds pauses by the position of the instance in the list of instances.
	ByPosition map[int]time.Duration
}

// Choose returns the best of the instances for a request, and marks the sources of its prompt in the request. If no instance may get the
// request, it returns nil and the time until a paused instance takes requests again, see ShortestPause.
func (t *Tracker) Choose(list []*upstreams.Instance, now time.Time, q *Request, pauses Pauses) (best *Candidate, pauseLeft time.Duration) {
	candidates := t.Candidates(list, now, q)
	for i := range candidates {
		c := &candidates[i]
		c.PauseLeft = max(c.PauseLeft, pauses.ByPosition[i])
		if len(pauses.ByHash) > 0 {
			c.PauseLeft = max(c.PauseLeft, pauses.ByHash[c.Instance.Key().Hash()])
		}
	}
	if q.CacheTokens > 0 {
		MarkHomes(q, candidates)
		MarkHeld(q, candidates)
	}
	if best = Pick(q, candidates); best == nil {
		return nil, ShortestPause(q, candidates)
	}
	return best, 0
}

// CachedTokens returns how many tokens of a request's prompt an instance is expected to hold.
func (t *Tracker) CachedTokens(instance *upstreams.Instance, now time.Time, q *Request) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(instance.Key())
	return s.cache.prefix(keyParts(q.Salt(s.versions[q.Model]), q.Parts), now, &t.runTimes).tokens
}
