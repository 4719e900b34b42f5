package placement

import (
	"time"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// pauses holds until when instances take no requests from this node. They are kept apart from the states of instances,
// because a state is dropped when one list misses its instance.
type pauses map[upstreams.Key]time.Time

// Pause records that an instance takes no requests from this node for a duration. A shorter pause does not end a longer
// one. It reports whether the instance took requests before.
func (t *Tracker) Pause(instance *upstreams.Instance, duration time.Duration, now time.Time) (began bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, until := range t.pauses {
		if !now.Before(until) {
			delete(t.pauses, key)
		}
	}
	key := instance.Key()
	old, paused := t.pauses[key]
	if until := now.Add(duration); until.After(old) {
		t.pauses[key] = until
	}
	return !paused
}

// PauseLeft returns how long an instance still takes no requests from this node.
func (t *Tracker) PauseLeft(instance *upstreams.Instance, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pauses.left(instance, now)
}

func (p pauses) left(instance *upstreams.Instance, now time.Time) time.Duration {
	return max(0, p[instance.Key()].Sub(now))
}

// ShortestPause returns the time until one of the candidates that could get the request otherwise takes requests again. It
// returns 0 if there is none, or if one takes requests now. Instances that were already sent the request count as well.
func ShortestPause(q *Request, candidates []Candidate) time.Duration {
	return selectionOf(q, candidates).shortestPause(func(i int) time.Duration { return candidates[i].PauseLeft })
}

func (s *selection) shortestPause(pauseLeft func(position int) time.Duration) (shortest time.Duration) {
	for i, m := range s.marks {
		if m&(isDraining|isEvacuated|isReplaced|isOutdated) != 0 {
			continue
		}
		left := pauseLeft(i)
		if left == 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}
