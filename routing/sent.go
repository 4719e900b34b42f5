package routing

import "time"

// maxSent bounds the number of sends stored for one upstream; further ones are merged into the newest.
const maxSent = 64

// sentWork is the work sent to one upstream that no report includes yet, oldest first.
type sentWork []send

type send struct {
	sentAt time.Time
	tokens int64
	order  int
}

func (s *sentWork) add(next send) {
	if len(*s) < maxSent {
		*s = append(*s, next)
		return
	}
	last := &(*s)[len(*s)-1]
	last.sentAt = next.sentAt
	last.tokens += next.tokens
	last.order = min(last.order, next.order)
}

// dropUntil removes sends up to and including the given time.
func (s *sentWork) dropUntil(limit time.Time) {
	n := 0
	for n < len(*s) && !(*s)[n].sentAt.After(limit) {
		n++
	}
	if n > 0 {
		*s = append((*s)[:0], (*s)[n:]...)
	}
}

// total returns the tokens of work sent after limit that is at least as urgent as order; less urgent work does not delay a
// request.
func (s *sentWork) total(limit time.Time, order int) int64 {
	s.dropUntil(limit)
	sum := int64(0)
	for _, one := range *s {
		if one.order <= order {
			sum += one.tokens
		}
	}
	return sum
}
