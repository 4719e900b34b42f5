package placement

import "time"

// Forecast is the expected time to the first event of a request at an engine.
type Forecast struct {
	// Wait is the time for the work ahead of the request, Service the time for its own prompt: reading, fetching and
	// waiting for the memory that it needs beyond what is free.
	Wait, Service time.Duration
	// Queue is the time for all queued work, whatever its rank.
	Queue time.Duration
	// Reused is the time that the engine does not need for this prompt because it holds or fetches parts of it: for reading
	// them, less the fetch, and for the memory that running requests hold already.
	Reused time.Duration
	// Read is the time in which the engine reads the prompt.
	Read time.Duration
}

// FirstEvent returns the time to the first event.
func (f Forecast) FirstEvent() time.Duration { return f.Wait + f.Service }

// EstimateFirstEvent estimates the time to the first event of a request at an engine.
func EstimateFirstEvent(q *Request, c *Candidate) Forecast {
	r := PlanPrefill(q, c)
	rate := c.readRate()
	held := c.heldAhead(q)
	wait := float64(c.AheadTokens)/rate + memoryWaitMs(q, held)
	all := firstTokenMs*c.slowness() + float64(c.AheadTokens+r.Tokens)/rate + memoryWaitMs(q, held+q.newTokens(c)) + transferMs(q, &r)
	reused := float64(q.Tokens-r.Tokens)/rate - transferMs(q, &r) + memoryWaitPerCapacityMs*float64(q.Tokens-q.newTokens(c))/float64(q.CacheTokens)
	return Forecast{
		Wait: fromMs(wait), Service: fromMs(all - wait), Queue: fromMs(float64(c.PrefillTokens)/rate + memoryWaitMs(q, c.HeldTokens)),
		Reused: fromMs(max(0, reused)), Read: fromMs(float64(r.Tokens) / rate),
	}
}

// heldAhead is the memory of the running requests and of those waiting requests that get memory before this one.
func (c *Candidate) heldAhead(q *Request) int {
	waiting := max(0, c.HeldTokens-q.CacheTokens)
	return c.HeldTokens - waiting + int(c.MemoryShare*float64(waiting))
}

// memoryMargin is the memory counted for a request relative to what it takes. It makes up for the requests that other
// nodes sent since their last report.
const memoryMargin = 1.3

// HeldTokens returns the memory to count for the request at an engine while it runs.
func (q *Request) HeldTokens(c *Candidate, outputTokens int) int {
	return int(memoryMargin * float64(q.newTokens(c)+outputTokens))
}

// newTokens is the memory that the prompt takes at an engine. Parts that running requests use take none: they are held
// for these requests already, and requests that share a part hold it once.
func (q *Request) newTokens(c *Candidate) int { return max(0, q.Tokens-c.UsedTokens) }

func fromMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// memoryWaitMs is the wait for memory at an engine that is to hold heldTokens.
func memoryWaitMs(q *Request, heldTokens int) float64 {
	excess := float64(heldTokens-q.CacheTokens) / float64(q.CacheTokens)
	return memoryWaitPerCapacityMs * max(0, excess)
}
