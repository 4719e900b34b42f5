// Package routing selects an upstream for a request from a bounded set of candidates: filters remove unusable upstreams,
// scorers estimate the time to first token on the others, and a picker selects one. It has no side effects: time and
// randomness are passed in, and callers serialize access to Loads, Prefixes and RetryBudget.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
)

// Request describes a request to be routed.
type Request struct {
	Model         string
	WeightVersion string
	// Affinity is the consistent-hashing key: the name of the prompt's first piece, or of its first tokens.
	Affinity piece.Name
	// Pieces are the names of the prompt's complete pieces, in order.
	Pieces       []piece.Name
	PromptTokens int64
	// Rank is the name of the request's rank and Order its order; 0 is the most urgent.
	Rank  string
	Order int
	// Zone is the entry's availability zone.
	Zone string
	// Exclude lists upstreams that failed or refused this request.
	Exclude []string
}

// Settings of a Router.
type Settings struct {
	// AffinityChoices is the number of candidates chosen by hash of the affinity name; default 4.
	AffinityChoices int
	// RandomChoices is the number of candidates chosen at random; default 2.
	RandomChoices int
	// MaxExamined bounds the upstreams examined for a decision, usable or not; default 24.
	MaxExamined int
	// ZoneDelay is the cost of an upstream in another availability zone; default 3 ms, one round trip.
	ZoneDelay time.Duration
	// VersionDelay is the cost of an upstream that lacks the weight version; default 800 ms, the time to load one.
	VersionDelay time.Duration
	// ColdShare is the share, 0 to 1, of a prompt that is assumed to be cached at its first affinity choice if no upstream
	// is known to hold it; default 0.3. It makes entries without cache information choose the same upstream.
	ColdShare float64
	// TieMargin is the difference in estimated time up to which candidates count as equal; default 2 ms.
	TieMargin time.Duration
	// Off disables mechanisms, for comparison runs only; default none.
	Off Off
}

// Off lists the mechanisms that a comparison run disables.
type Off struct {
	Prefix   bool // No prompt counts as cached.
	Wait     bool // The wait for queued work and for a slot counts as 0.
	OwnSent  bool // Sent work that no report includes yet does not count.
	Penalty  bool // Failures add no cost and do not exclude an upstream.
	Measured bool // Configured rates replace the reported ones.
	ByRank   bool // Queued work of all ranks counts.
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		AffinityChoices: 4,
		RandomChoices:   2,
		MaxExamined:     24,
		ZoneDelay:       3 * time.Millisecond,
		VersionDelay:    800 * time.Millisecond,
		ColdShare:       0.3,
		TieMargin:       2 * time.Millisecond,
	}
}

// Snapshot is the input of a decision besides the request.
type Snapshot struct {
	Now      time.Time
	Index    *Index
	Loads    *Loads
	Prefixes *Prefixes
}

// Decision is the outcome for one request.
type Decision struct {
	Upstream Upstream
	// CachedTokens is the number of prompt tokens expected in the upstream's cache.
	CachedTokens int64
	// FirstToken is the estimated time to first token.
	FirstToken time.Duration
	// Examined is the number of upstreams examined, which determines the cost of the decision.
	Examined int
	scored   []candidate
	filtered []filteredOut
}

// Router selects upstreams. It uses random numbers only to break ties and to choose random candidates.
type Router struct {
	settings Settings
	random   *rand.Rand
	buffer   []candidate
}

// New returns a router.
func New(settings Settings, random *rand.Rand) *Router {
	return &Router{settings: settings, random: random}
}

// candidate is one upstream under consideration.
type candidate struct {
	entry *indexEntry
	// choice is the position among the affinity choices; -1 for a random choice.
	choice int
	load   Estimate
	cached int64
	cost   cost
}

// Pick returns the upstream with the least estimated time to first token among the candidates.
func (r *Router) Pick(request Request, snapshot Snapshot) (Decision, error) {
	model := snapshot.Index.models[request.Model]
	if model == nil {
		return Decision{}, failure.New(failure.NoUpstream, failure.NotRun, "no upstream serves model %s", request.Model)
	}
	d := Decision{}
	candidates := r.candidates(model, request, snapshot, &d)
	if len(candidates) == 0 {
		err := failure.New(failure.NoUpstream, failure.NotRun, "no usable upstream among %d examined%s", d.Examined, d.evacuatedNote())
		err.RetryAfter = time.Second
		return d, err
	}
	for i := range candidates {
		r.score(&candidates[i], request, snapshot)
	}
	best := r.choose(candidates)
	d.Upstream = best.entry.Upstream
	d.CachedTokens = best.cached
	d.FirstToken = best.cost.total()
	d.scored = append(d.scored, candidates...)
	return d, nil
}
