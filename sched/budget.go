package sched

// longBudget limits the prefill of long prefixes to a share while short work waits.
type longBudget struct {
	share float64
	// credit is the prefill in tokens that long prefixes may use now; limit bounds it both ways.
	credit float64
	limit  float64
}

func (b *longBudget) allows() bool { return b.credit >= 0 }

// charge counts computed tokens. Credit is bounded to one chunk, because a calm hour must not allow a burst, and so is
// debt from an idle engine, because it must not lock long prefixes out later.
func (b *longBudget) charge(long bool, tokens int64) {
	n := float64(tokens)
	if long {
		b.credit = debit(b.credit, n*(1-b.share), b.limit)
		return
	}
	b.credit = min(b.limit, b.credit+n*b.share)
}
