package placement

const (
	// fullMemoryMs is the cost of taking all of the memory of one engine while all engines are full: as much as the wait at an
	// engine that is to hold twice its memory.
	fullMemoryMs = memoryWaitPerCapacityMs
	// maxPricedShare bounds the share of memory in use from which the price is derived, as estimates exceed the memory in a
	// flood.
	maxPricedShare = 1.2
)

// memoryPrice returns the cost in ms of each token of memory that a request takes at one of the engines, which hold so many tokens together.
//
// A flood of long prompts uses up the engines' memory while they still have time to read. A question about a document takes a
// quarter of the memory at an engine whose running requests use the document already, so such questions should meet. The price
// grows with the square of the share in use: while there is room, the first event decides.
func memoryPrice(q *Request, held, engines int) float64 {
	share := min(maxPricedShare, float64(held)/float64(engines*q.CacheTokens))
	return fullMemoryMs * share * share / float64(q.CacheTokens)
}
