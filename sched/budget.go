package sched

// longBudget limits long prefixes to a share of the prefill while short work waits.
type longBudget struct {
	share float64
	// credit is the prefill in tokens that long prefixes may use now; it is negative while they are in debt. limit bounds the
	// credit, and the debt from the use of idle capacity.
	credit float64
	limit  float64
}

func (b *longBudget) allows() bool { return b.credit >= 0 }

// charge counts granted tokens. Credit is bounded to one chunk, so that a quiet period does not permit a later burst of long
// prefixes. Debt from idle capacity is bounded to one chunk as well, so that it does not block long prefixes later.
func (b *longBudget) charge(long bool, tokens int64) {
	n := float64(tokens)
	if long {
		b.credit = debit(b.credit, n*(1-b.share), b.limit)
		return
	}
	b.credit = min(b.limit, b.credit+n*b.share)
}
