package fetchplan

import (
	"time"

	"github.com/wasabishunt/wasabishunt/piece"
)

// planState tracks when the engine and the links are free while the pieces of a plan are decided.
type planState struct {
	settings Settings
	request  Request
	flights  *Flights
	now      time.Time
	// engineFree is when the engine has finished the recomputations planned so far.
	engineFree time.Duration
	// allReady is when all pieces planned so far are in the cache; a later piece can be computed only then.
	allReady time.Duration
	// linkFree is when each source's link has finished the fetches planned so far.
	linkFree []time.Duration
}

func newState(settings Settings, request Request, flights *Flights, now time.Time) *planState {
	s := &planState{settings: settings, request: request, flights: flights, now: now, engineFree: request.PrefillWait}
	s.linkFree = make([]time.Duration, len(request.Sources))
	for i, source := range request.Sources {
		s.linkFree[i] = source.Wait + source.Delay
	}
	return s
}

func (s *planState) step(i int, name piece.Name) Step {
	recompute := s.recompute()
	source, fetch := s.bestSource(i)
	if ready, ok := s.readyInFlight(name); ok && ready <= recompute && (source < 0 || ready <= fetch) {
		s.allReady = max(s.allReady, ready)
		return Step{Action: Wait, Ready: ready, Alternative: recompute}
	}
	if source >= 0 && (fetch <= recompute || s.settings.Off.Compare) {
		s.linkFree[source] += s.transfer(source)
		s.allReady = max(s.allReady, fetch)
		return Step{Action: Fetch, Source: s.request.Sources[source].Name, Ready: fetch, Alternative: recompute}
	}
	s.engineFree, s.allReady = recompute, recompute
	return Step{Action: Recompute, Ready: recompute, Alternative: fetch}
}

// recompute returns when the engine would have computed the next piece.
func (s *planState) recompute() time.Duration {
	share := s.request.LongShare
	if share <= 0 || share > 1 {
		share = 1
	}
	return max(s.engineFree, s.allReady) + seconds(piece.TokensPerPiece, s.request.PrefillRate*share)
}

// bestSource returns the source that would deliver the piece first, or -1.
func (s *planState) bestSource(i int) (best int, ready time.Duration) {
	best = -1
	if s.settings.Off.Fetch {
		return best, 0
	}
	for n, source := range s.request.Sources {
		if i >= len(source.Has) || !source.Has[i] {
			continue
		}
		delivered := time.Duration(float64(s.linkFree[n]+s.transfer(n)) * s.settings.FetchMargin)
		if best < 0 || delivered < ready {
			best, ready = n, delivered
		}
	}
	return best, ready
}

func (s *planState) transfer(source int) time.Duration {
	return seconds(float64(s.request.PieceBytes), s.request.Sources[source].BytesPerSecond)
}

// readyInFlight returns when a computation in progress delivers the piece.
func (s *planState) readyInFlight(name piece.Name) (time.Duration, bool) {
	if s.flights == nil || s.settings.Off.Wait {
		return 0, false
	}
	readyAt, ok := s.flights.readyAt(name, s.now)
	return max(0, readyAt.Sub(s.now)), ok
}

// maxTime bounds times at rates near zero.
const maxTime = time.Hour

func seconds(amount, rate float64) time.Duration {
	if rate <= 0 || amount/rate >= maxTime.Seconds() {
		return maxTime
	}
	return time.Duration(amount / rate * float64(time.Second))
}
