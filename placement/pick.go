package placement

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Request is what a decision needs to know of a request.
type Request struct {
	Zone  string
	Model string
	// Wanted is the newest named version of the model's weights.
	Wanted uint64
	// Isolated names the account whose cache is kept apart, or is empty.
	Isolated string
	// Parts of the prompt in order; the last one is the request's own.
	Parts  []Part
	Tokens int
	// Exclude lists instances that had the request before.
	Exclude map[string]bool
	// CacheTokens is the memory of one engine, 0 for a plain service.
	CacheTokens int
	// Nodes is the number of nodes that send to the same instances.
	Nodes int
}

// Salt keeps the cache of weight versions and of isolated accounts apart.
func (q *Request) Salt(version uint64) string {
	salt := "v" + strconv.FormatUint(version, 10)
	if q.Isolated != "" {
		salt += "/" + q.Isolated
	}
	return salt
}

// shared returns the parts without the request's own.
func (q *Request) shared() []Part {
	if len(q.Parts) == 0 {
		return nil
	}
	return q.Parts[:len(q.Parts)-1]
}

// Candidate is one instance at the time of a decision.
type Candidate struct {
	Instance *upstreams.Instance
	// Requests, PrefillTokens and HeldTokens are those of this node.
	Requests, PrefillTokens, HeldTokens int
	// PeerPrefillTokens and PeerHeldTokens are those that other nodes told.
	Load                       Load
	FailureShare               float64
	Ejected, Avoided, Replaced bool
	SameZone                   bool
	Version                    uint64
	CachedTokens               int
}

// Filter tells whether a candidate may get a request.
type Filter func(q *Request, c *Candidate) bool

// required filters hold always.
var required = []Filter{isStaying, isNotTried, isSameIncarnation}

// preferred filters are dropped from the last to the first while they leave no candidate.
var preferred = []Filter{isHealthy, hasWantedVersion, hasRoom}

func isStaying(_ *Request, c *Candidate) bool         { return !c.Instance.Draining }
func isNotTried(q *Request, c *Candidate) bool        { return !q.Exclude[c.Instance.ID] }
func isSameIncarnation(_ *Request, c *Candidate) bool { return !c.Replaced }
func isHealthy(_ *Request, c *Candidate) bool         { return !c.Ejected }
func hasRoom(_ *Request, c *Candidate) bool           { return !c.Avoided }

func hasWantedVersion(q *Request, c *Candidate) bool { return c.Version >= q.Wanted }

// Pick returns the best candidate, nil if none may get the request.
func Pick(q *Request, candidates []Candidate) *Candidate {
	allowed := keep(q, candidates, required)
	for used := len(preferred); used >= 0; used-- {
		if left := keep(q, allowed, preferred[:used]); len(left) > 0 {
			return cheapest(q, left)
		}
	}
	return nil
}

func keep(q *Request, candidates []Candidate, filters []Filter) []Candidate {
	var kept []Candidate
next:
	for i := range candidates {
		for _, filter := range filters {
			if !filter(q, &candidates[i]) {
				continue next
			}
		}
		kept = append(kept, candidates[i])
	}
	return kept
}

func cheapest(q *Request, candidates []Candidate) *Candidate {
	cost := serviceCost
	if q.CacheTokens > 0 {
		cost = engineCost
	}
	best, bestCost := -1, 0.0
	for i := range candidates {
		if c := cost(q, &candidates[i]); best < 0 || c < bestCost {
			best, bestCost = i, c
		}
	}
	return &candidates[best]
}

const (
	// zoneCost is the cost of a send to another zone in requests.
	zoneCost = 0.3
	// failureCost is the cost of an instance that fails all, in requests.
	failureCost = 8
)

// serviceCost counts the requests at a plain service. Ties are broken by a hash, so that nodes don't choose alike.
func serviceCost(q *Request, c *Candidate) float64 {
	requests := float64(max(c.Requests, c.Load.Running+c.Load.Waiting))
	if !c.SameZone {
		requests += zoneCost
	}
	return requests + failureCost*c.FailureShare
}

const (
	// homeShare is the part of a prompt's shared tokens that its home engine is taken to hold when this node did not
	// send them there itself.
	homeShare = 0.7
	// overfullCost is the cost of a token beyond the memory of an engine, in tokens to read: it waits for a run to end.
	overfullCost = 4
	// zoneTokens is the cost of a send to another zone, in tokens to read.
	zoneTokens = 100
	// requestTokens is the cost of one more running request, whose steps slow down all others.
	requestTokens = 60
	// failureTokens is the cost of an instance that fails all.
	failureTokens = 40_000
	// homes is the number of engines that keep a prompt.
	homes = 2
)

// engineCost estimates the tokens that are read before the request's first token.
func engineCost(q *Request, c *Candidate) float64 {
	nodes := float64(max(1, q.Nodes))
	held := float64(c.HeldTokens) * nodes
	cost := float64(c.PrefillTokens)*nodes + float64(Uncached(q, c))
	cost += overfullCost * max(0, held+float64(q.Tokens)-float64(q.CacheTokens))
	cost += requestTokens*float64(max(c.Requests, c.Load.Running)) + failureTokens*c.FailureShare
	if !c.SameZone {
		cost += zoneTokens
	}
	return cost
}

// Uncached returns the tokens that the engine is expected to read.
func Uncached(q *Request, c *Candidate) int {
	return q.Tokens - c.CachedTokens
}

// homeRank orders engines for a prompt in the same way on all nodes: by rendezvous hashing of its longest shared part.
func homeRank(part, instance string) uint64 {
	return xxhash.Sum64String(part + "\x00" + instance)
}

// ApplyHomes credits the home engines of the prompt with the tokens that other nodes have sent there.
func ApplyHomes(q *Request, candidates []Candidate) {
	shared := q.shared()
	if len(shared) == 0 {
		return
	}
	tokens := 0
	for _, part := range shared {
		tokens += part.Tokens
	}
	credit := int(homeShare * float64(tokens))
	document := shared[len(shared)-1].ID
	var top [homes]int
	found := 0
	for i := range candidates {
		if candidates[i].Ejected || candidates[i].Instance.Draining {
			continue
		}
		rank := homeRank(document, candidates[i].Instance.ID)
		at := found
		for at > 0 && rank > homeRank(document, candidates[top[at-1]].Instance.ID) {
			at--
		}
		if at >= homes {
			continue
		}
		copy(top[at+1:], top[at:homes-1])
		top[at] = i
		found = min(found+1, homes)
	}
	for place, i := range top[:found] {
		candidates[i].CachedTokens = max(candidates[i].CachedTokens, credit/(place+1))
	}
}
