package fetchplan

import (
	"time"

	"github.com/wasabishunt/wasabishunt/piece"
)

// state follows the engine and the links through the pieces of one plan.
type state struct {
	settings Settings
	request  Request
	flights  *Flights
	now      time.Time
	// computed is when the engine has finished the recomputations planned so far.
	computed time.Duration
	// ready is when all pieces planned so far are in the cache; a later piece can be computed only then.
	ready time.Duration
	// links is when each source's link has finished the fetches planned so far.
	links []time.Duration
}

func newState(settings Settings, request Request, flights *Flights, now time.Time) *state {
	s := &state{settings: settings, request: request, flights: flights, now: now, computed: request.PrefillWait}
	s.links = make([]time.Duration, len(request.Sources))
	for i, source := range request.Sources {
		s.links[i] = source.Wait + source.Delay
	}
	return s
}

func (s *state) step(i int, name piece.Name) Step {
	recompute := s.recompute()
	source, fetch := s.bestSource(i)
	if ready, ok := s.inFlight(name); ok && ready <= recompute && (source < 0 || ready <= fetch) {
		s.ready = max(s.ready, ready)
		return Step{Action: Wait, Ready: ready, Other: recompute}
	}
	if source >= 0 && (fetch <= recompute || s.settings.Off.Compare) {
		s.links[source] += s.transfer(source)
		s.ready = max(s.ready, fetch)
		return Step{Action: Fetch, Source: s.request.Sources[source].Name, Ready: fetch, Other: recompute}
	}
	s.computed, s.ready = recompute, recompute
	return Step{Action: Recompute, Ready: recompute, Other: fetch}
}

// recompute is when the engine would have computed the next piece.
func (s *state) recompute() time.Duration {
	share := s.request.LongShare
	if share <= 0 || share > 1 {
		share = 1
	}
	return max(s.computed, s.ready) + seconds(piece.TokensPerPiece, s.request.PrefillRate*share)
}

// bestSource returns the source that would deliver the piece first, or -1.
func (s *state) bestSource(i int) (best int, ready time.Duration) {
	best = -1
	if s.settings.Off.Fetch {
		return best, 0
	}
	for n, source := range s.request.Sources {
		if i >= len(source.Has) || !source.Has[i] {
			continue
		}
		end := time.Duration(float64(s.links[n]+s.transfer(n)) * s.settings.FetchMargin)
		if best < 0 || end < ready {
			best, ready = n, end
		}
	}
	return best, ready
}

func (s *state) transfer(source int) time.Duration {
	return seconds(float64(s.request.PieceBytes), s.request.Sources[source].BytesPerSecond)
}

// inFlight returns when a computation in progress delivers the piece.
func (s *state) inFlight(name piece.Name) (time.Duration, bool) {
	if s.flights == nil || s.settings.Off.Wait {
		return 0, false
	}
	until, ok := s.flights.until(name, s.now)
	return max(0, until.Sub(s.now)), ok
}

// maxTime bounds times at rates near zero.
const maxTime = time.Hour

func seconds(amount, rate float64) time.Duration {
	if rate <= 0 || amount/rate >= maxTime.Seconds() {
		return maxTime
	}
	return time.Duration(amount / rate * float64(time.Second))
}
