package routing

// choose returns a random one of the candidates whose cost is within TieMargin of the least cost, so that entries with the
// same information do not all choose the same upstream.
func (r *Router) choose(candidates []candidate) *candidate {
	least := candidates[0].cost.total()
	for _, c := range candidates[1:] {
		least = min(least, c.cost.total())
	}
	var chosen *candidate
	equal := 0
	for i := range candidates {
		if candidates[i].cost.total() > least+r.settings.TieMargin {
			continue
		}
		equal++
		if r.random.IntN(equal) == 0 {
			chosen = &candidates[i]
		}
	}
	return chosen
}
