package routing

// choose returns a candidate with the least cost. Candidates within Near of it count as equal and one of them is taken
// at random, so that entries with the same view do not all choose the same upstream.
func (r *Router) choose(candidates []candidate) *candidate {
	least := candidates[0].cost.total()
	for _, c := range candidates[1:] {
		least = min(least, c.cost.total())
	}
	var chosen *candidate
	equal := 0
	for i := range candidates {
		if candidates[i].cost.total() > least+r.settings.Near {
			continue
		}
		equal++
		if r.random.IntN(equal) == 0 {
			chosen = &candidates[i]
		}
	}
	return chosen
}
