package placement

import (
	"time"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Request describes a request for the choice of an instance.
type Request struct {
	Zone  string
	Model string
	// RequiredVersion is the oldest version of the model's weights that may be used, 0 if any may.
	RequiredVersion uint64
	// Isolated names the account whose cache is kept apart, or is empty.
	Isolated string
	// SharedCache names the cache that the accounts share that are not isolated; see trafficset.Set.SharedCache.
	SharedCache string
	// Parts of the prompt in order; the last one belongs to this request alone.
	Parts  []Part
	Tokens int
	// Seed differs between requests: it selects the sample of engines that this one considers.
	Seed    string
	Urgency Urgency
	// Exclude lists instances that were already sent the request.
	Exclude map[string]bool
	// CacheTokens is the cache size of one engine, 0 for a plain service.
	CacheTokens int
	// Stored lists the stores that hold shared parts completely, for engines with the weights of StoredVersion. An
	// entry without an address is a gap; the last entry is never one.
	Stored        []StoredPart
	StoredVersion uint64
	// Held lists the engines that are expected to hold shared parts, and is set by MarkHeld. TokenTransfer is the
	// time of one token over an engine's link, 0 if engines don't fetch from each other.
	Held          []StoredPart
	TokenTransfer time.Duration
	// Evacuated holds the availability zones whose instances get no requests.
	Evacuated map[string]bool
	// Target and GapTarget are the times to the first event and between events within which an answer is on time; 0 for none.
	Target, GapTarget time.Duration
	// Uneven is set by Tracker.Candidates if the instances of the service are known to differ in speed.
	Uneven bool
}

// StoredPart is a part of a prompt in a store.
type StoredPart struct {
	Address, AvailabilityZone string
	Tokens                    int
	// Transfer is the transfer time within the zone; see OtherZoneTransfer. Wait is the known queue of the store's
	// link.
	Transfer, Wait time.Duration
}

// shared returns the parts without the last one, which belongs to this request alone.
func (q *Request) shared() []Part {
	if len(q.Parts) == 0 {
		return nil
	}
	return q.Parts[:len(q.Parts)-1]
}

// LinkView describes the links of stores.
type LinkView interface {
	// Backlog is the time until a new transfer would begin.
	Backlog(address string) time.Duration
	// Slowness is the time of a transfer relative to the time at the link's published bandwidth.
	Slowness(address string) float64
}

// Candidate is one instance at the time of a decision.
type Candidate struct {
	Instance *upstreams.Instance
	// Requests, PrefillTokens and HeldTokens count the work in progress from this node, and from the others as last
	// reported.
	Requests, PrefillTokens, HeldTokens int
	// LongTokens is the part of PrefillTokens that belongs to long prompts. OtherPool is set if the engine belongs to the pool for prompts of the
	// other length.
	LongTokens int
	OtherPool  bool
	// AheadTokens is the part of PrefillTokens that the engine reads before the request. MemoryShare is the share of
	// the requests waiting for memory that get memory before it.
	AheadTokens int
	MemoryShare float64
	// ReadRate is in prompt tokens per ms.
	ReadRate                   float64
	Load                       Load
	FailureShare               float64
	Ejected, Avoided, Replaced bool
	SameZone                   bool
	// Evacuated is set if the instance's zone is evacuated.
	Evacuated bool
	// PauseLeft is how long the instance still takes no requests from this node.
	PauseLeft time.Duration
	Version   uint64
	// CachedParts and CachedTokens count the leading parts of the prompt that the engine is expected to hold.
	CachedParts, CachedTokens int
	// ReadParts counts those of CachedParts that the engine has read already, and UsedTokens the tokens of those that
	// running requests use.
	ReadParts, UsedTokens int
	// homePosition is the position of the engine among the homes of the prompt, from 1; 0 if it is none.
	homePosition int
	// Slowness is the expected time of work at the instance relative to the usual time of its service, 0 if it is not used.
	Slowness float64
}

// Pick returns the best candidate, nil if none may get the request.
func Pick(q *Request, candidates []Candidate) *Candidate {
	var considered []Candidate
	for _, i := range selectionOf(q, candidates).consider(q) {
		considered = append(considered, candidates[i])
	}
	if len(considered) == 0 {
		return nil
	}
	best := cheapest(q, len(considered), func(i int) int { return considered[i].HeldTokens }, func(i int) *Candidate { return &considered[i] })
	return &considered[best]
}

const (
	// zoneCostRequests is the cost of a send to another zone, in requests.
	zoneCostRequests = 0.3
	// failureCostRequests is the cost of an instance whose sends all fail, in requests.
	failureCostRequests = 8
)

// serviceCost is the cost of an instance of a plain service, in requests.
func serviceCost(q *Request, c *Candidate) float64 {
	requests := float64(max(c.Requests, c.Load.Running+c.Load.Waiting))
	// The request itself takes longer too at a slow instance.
	requests += (c.slowness() - 1) * (requests + 1)
	if !c.SameZone {
		requests += zoneCostRequests
	}
	return requests + failureCostRequests*c.FailureShare
}

const (
	// memoryWaitPerCapacityMs is the wait of a request at an engine whose requests need twice its memory; it grows in
	// proportion to the excess.
	memoryWaitPerCapacityMs = 2500
	// zoneCostMs is the cost of a send to another zone.
	zoneCostMs = 2
	// requestCostMs is the cost of one more running request, whose steps slow down all others.
	requestCostMs = 1.5
	// failureCostMs is the cost of an instance whose sends all fail.
	failureCostMs = 800
	// recomputeFactor is the cost of reading shared tokens again, relative to reading new ones.
	recomputeFactor = 2
	// transferFactor is the cost of transfer time relative to the same engine time.
	transferFactor = 0.5
	// homeBonusMs is the advantage of the first home of a prompt; the second has half of it.
	homeBonusMs = 40
	// homeCount is the number of homes of a prompt.
	homeCount = 2
	// OtherZoneTransfer is the time of a transfer between zones relative to one within a zone.
	OtherZoneTransfer = 2
	// firstTokenMs is the time from a read prompt to the first event at an idle engine, including the network.
	firstTokenMs = 30
)

// MarkHeld finds, for each shared part, an engine that is expected to have read it and all parts before it. Engines that
// still read it cannot be fetched from.
func MarkHeld(q *Request, candidates []Candidate) {
	q.Held = nil
	parts := q.partsToFetch()
	for i := range candidates {
		q.addHeld(&candidates[i], parts)
	}
}

// partsToFetch returns the shared parts that engines may fetch from each other.
func (q *Request) partsToFetch() []Part {
	if q.TokenTransfer <= 0 || q.StoredVersion == 0 {
		return nil
	}
	return q.shared()
}

// fetchableParts returns the number of leading parts that others may fetch from an engine.
func (c *Candidate) fetchableParts(q *Request, parts []Part) int {
	if c.Ejected || c.Replaced || c.Evacuated || c.Instance.Draining || c.Instance.Updating || c.Version != q.StoredVersion {
		return 0
	}
	return min(c.ReadParts, len(parts))
}

// addHeld makes an engine the source of those parts for which there is none yet.
func (q *Request) addHeld(c *Candidate, parts []Part) {
	for k := len(q.Held); k < c.fetchableParts(q, parts); k++ {
		q.Held = append(q.Held, StoredPart{
			Address: c.Instance.Address, AvailabilityZone: c.Instance.AvailabilityZone, Tokens: parts[k].Tokens,
			Transfer: time.Duration(parts[k].Tokens) * q.TokenTransfer,
		})
	}
}

// Source returns the store or engine from which an engine may fetch a shared part; the address is empty if there is
// none. A store is preferred: its contents are known, while an engine may have evicted the part since.
func (q *Request) Source(part int, c *Candidate) StoredPart {
	if q.StoredVersion == 0 || c.Version != q.StoredVersion {
		return StoredPart{}
	}
	if part < len(q.Stored) && q.Stored[part].Address != "" {
		return q.Stored[part]
	}
	if part < len(q.Held) && q.Held[part].Address != c.Instance.Address {
		return q.Held[part]
	}
	return StoredPart{}
}

// PrefillPlan is the work of an engine before the first event of a request.
type PrefillPlan struct {
	// Tokens is the number of tokens expected to be read, SharedTokens the number of those that belong to shared parts.
	Tokens, SharedTokens int
	// Transfers holds the transfer times from stores, by address; EngineTransfer is the time of transfers from
	// engines. The engine does not read the tokens transferred.
	Transfers      map[string]time.Duration
	EngineTransfer time.Duration
}

// PlanPrefill returns the work that a request needs at an engine.
func PlanPrefill(q *Request, c *Candidate) PrefillPlan {
	r := PrefillPlan{Tokens: q.Tokens - c.CachedTokens}
	parts := q.shared()
	gap := 0
	for i := c.CachedParts; i < len(parts); i++ {
		source := q.Source(i, c)
		if source.Address == "" {
			gap += parts[i].Tokens
			continue
		}
		// Many prompts share a part before the last: the engine is expected to hold it.
		r.Tokens -= source.Tokens + gap
		gap = 0
		transfer := source.Transfer
		if source.AvailabilityZone != c.Instance.AvailabilityZone {
			transfer *= OtherZoneTransfer
		}
		if i >= len(q.Stored) || q.Stored[i].Address == "" {
			r.EngineTransfer += transfer
			continue
		}
		if r.Transfers == nil {
			r.Transfers = map[string]time.Duration{}
		}
		r.Transfers[source.Address] += transfer
	}
	r.Tokens, r.SharedTokens = max(0, r.Tokens), gap
	return r
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// transferMs returns the time until all transferred parts have arrived.
func transferMs(q *Request, r *PrefillPlan) float64 {
	longest := r.EngineTransfer
	for address, transfer := range r.Transfers {
		for i := range q.Stored {
			if q.Stored[i].Address == address {
				transfer += q.Stored[i].Wait
				break
			}
		}
		longest = max(longest, transfer)
	}
	return toMs(longest)
}

// engineCost is the estimated time to the first event plus the cost to other requests.
func engineCost(q *Request, c *Candidate) float64 {
	r := PlanPrefill(q, c)
	rate := c.readRate()
	cost := (float64(c.AheadTokens+r.Tokens)+(recomputeFactor-1)*float64(r.SharedTokens))/rate + memoryWaitMs(q, c.HeldTokens+q.newTokens(c)) + transferFactor*transferMs(q, &r)
	cost += requestCostMs*float64(max(c.Requests, c.Load.Running)) + failureCostMs*c.FailureShare + slownessCostMs*(c.slowness()-1)
	if !c.SameZone {
		cost += zoneCostMs
	}
	cost += poolCost(q, c)
	if c.homePosition > 0 && (len(r.Transfers) > 0 || r.EngineTransfer > 0 || r.SharedTokens > 0) {
		cost -= homeBonusMs / float64(c.homePosition)
	}
	return cost
}
