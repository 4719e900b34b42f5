package sched

// owedFloor is true when a rank has earned a whole chunk of its floor. Chunks by floor are spread between chunks by order,
// so that a rank with saved credit does not hold up more urgent work for longer than one chunk at a time.
func (q *Queue) owedFloor(r *rankQueue) bool {
	return r.Floor > 0 && r.credit >= float64(q.settings.ChunkTokens) && q.sinceFloor >= q.pace && !q.settings.Off.Floors
}

// creditFloors gives each rank its floor's share of the tokens just served and takes the tokens from the rank served.
// Only ranks with waiting or refused work earn: a floor is kept for work, it is not saved up by idle ranks.
func (q *Queue) creditFloors(served *rankQueue, tokens int64) {
	limit := float64(q.settings.FloorBurst)
	for _, rank := range q.ranks {
		if rank == served {
			rank.credit = debit(rank.credit, float64(tokens)*(1-rank.Floor), float64(q.settings.FloorDebt))
			continue
		}
		earned := float64(tokens) * rank.Floor
		if rank.backlogged() || rank.unmet > 0 {
			rank.credit = min(limit, rank.credit+earned)
			rank.unmet = max(0, rank.unmet-earned)
		}
	}
}

// Refused notes prompt tokens that admission refused. A rank whose work is refused because other ranks fill the engine
// is entitled to its floor although none of its work waits.
func (q *Queue) Refused(rankName string, tokens int64) {
	q.unmet(q.rankOf(rankName), tokens)
}

// unmetBurst bounds remembered unmet demand, in floor bursts, so that it is forgotten soon after a flood.
const unmetBurst = 2

func (q *Queue) unmet(r *rankQueue, tokens int64) {
	r.unmet = min(unmetBurst*float64(q.settings.FloorBurst), r.unmet+float64(tokens))
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

// maxFloorPace is the greatest number of chunks by order between two by floor. In the bench, 2 keeps more urgent work on
// time than 1 and serves the floors alike.
const maxFloorPace = 2

// floorPace is the number of chunks by order between two by floor, less if the floors of the less urgent ranks add up to
// so much that pacing would keep them from their floors.
func (q *Queue) floorPace() int {
	sum := 0.0
	for _, rank := range q.ranks[1:] {
		sum += rank.Floor
	}
	if sum <= 0 {
		return maxFloorPace
	}
	return max(0, min(maxFloorPace, int(1/sum)-1))
}

// floorShare is the share of the prefill rate at which the rank's floor serves the tokens.
func (q *Queue) floorShare(r *rankQueue, tokens float64) float64 {
	if q.settings.Off.Floors {
		return 0
	}
	if r.Floor > 0 && tokens <= r.credit {
		return max(r.Floor, 1/float64(q.pace+1))
	}
	return r.Floor
}
