package routing

import "time"

// maxSent bounds the sends remembered for one upstream; further ones are merged into the newest.
const maxSent = 64

// sentWork is the work sent to one upstream that no report includes yet, oldest first.
type sentWork struct {
	sends []send
	sum   int64
}

type send struct {
	at     time.Time
	tokens int64
}

func (s *sentWork) add(tokens int64, now time.Time) {
	s.sum += tokens
	if len(s.sends) < maxSent {
		s.sends = append(s.sends, send{now, tokens})
		return
	}
	last := &s.sends[len(s.sends)-1]
	last.at = now
	last.tokens += tokens
}

// dropBefore forgets sends up to the given time.
func (s *sentWork) dropBefore(limit time.Time) {
	n := 0
	for n < len(s.sends) && !s.sends[n].at.After(limit) {
		s.sum -= s.sends[n].tokens
		n++
	}
	if n > 0 {
		s.sends = append(s.sends[:0], s.sends[n:]...)
	}
}

func (s *sentWork) total(limit time.Time) int64 {
	s.dropBefore(limit)
	return s.sum
}
