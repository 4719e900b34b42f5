package sched

// earnedFloorChunk reports whether a rank has earned a complete chunk of floor service and may get it now. Chunks
// granted by floors are interleaved with chunks granted by the order of ranks, so that a rank with credit delays more
// urgent work by no more than one chunk at a time.
func (q *Queue) earnedFloorChunk(r *rankQueue) bool {
	return r.Floor > 0 && r.credit >= float64(q.settings.ChunkTokens) && q.sinceFloor >= q.pace && !q.settings.Off.Floors
}

// creditFloors credits each rank with its floor's share of the tokens just served and debits the served rank. Only
// ranks with waiting or refused work earn credit, so that idle ranks do not accumulate it.
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

// RecordRefused records prompt tokens that admission refused. A rank whose work is refused because other ranks fill the
// engine is entitled to its floor although none of its work is waiting.
func (q *Queue) RecordRefused(rankName string, tokens int64) {
	q.addUnmet(q.rankOf(rankName), tokens)
}

// maxUnmetBursts bounds the recorded unmet demand, in floor bursts, so that it expires soon after a flood.
const maxUnmetBursts = 2

// addUnmet records demand of a rank that was refused or dropped.
func (q *Queue) addUnmet(r *rankQueue, tokens int64) {
	r.unmet = min(maxUnmetBursts*float64(q.settings.FloorBurst), r.unmet+float64(tokens))
}

// debit subtracts served tokens from a credit. Earned service is charged in full, however large the prompt; service
// from idle capacity cannot raise the debt above the limit.
func debit(credit, tokens, limit float64) float64 {
	after := credit - tokens
	if credit >= 0 {
		return after
	}
	return max(after, min(credit, -limit))
}

// maxFloorPace is the largest number of chunks granted by the order of ranks between two granted by a floor. With 1,
// less of the urgent work is on time than with 2, while the floors are served equally well.
const maxFloorPace = 2

// floorPace returns the number of chunks granted by the order of ranks between two granted by a floor. It is below
// maxFloorPace if the floors of the less urgent ranks add up to so much that pacing would prevent them from being met.
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

// floorShare returns the share of the prefill rate at which the rank's floor serves the tokens.
func (q *Queue) floorShare(r *rankQueue, tokens float64) float64 {
	if q.settings.Off.Floors {
		return 0
	}
	if r.Floor > 0 && tokens <= r.credit {
		return max(r.Floor, 1/float64(q.pace+1))
	}
	return r.Floor
}
