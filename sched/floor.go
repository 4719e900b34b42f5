package sched

// floorBurst bounds the floor service that a rank may catch up at once, in chunks. A larger burst would let a less
// urgent rank hold up urgent work for longer than a few chunks.
const floorBurst = 2

// owedFloor is true when a rank has earned a whole chunk of its floor.
func (q *Queue) owedFloor(r *rankQueue) bool {
	return r.Floor > 0 && r.credit >= float64(q.settings.ChunkTokens) && !q.settings.Off.Floors
}

// creditFloors gives each waiting rank its floor's share of the tokens just served and takes the tokens from the rank
// served. A rank without waiting work earns nothing: a floor is kept for work, it is not saved up.
func (q *Queue) creditFloors(served *rankQueue, tokens int64) {
	limit := float64(floorBurst * q.settings.ChunkTokens)
	for _, rank := range q.ranks {
		if rank == served {
			rank.credit = debit(rank.credit, float64(tokens)*(1-rank.Floor), limit)
			continue
		}
		if rank.backlogged() {
			rank.credit = min(limit, rank.credit+float64(tokens)*rank.Floor)
		}
	}
}

// debit takes served tokens from a credit. Service that was earned is charged whole, however large the prompt;
// service from idle capacity makes no more debt than the limit.
func debit(credit, tokens, limit float64) float64 {
	after := credit - tokens
	if credit >= 0 {
		return after
	}
	return max(after, min(credit, -limit))
}
