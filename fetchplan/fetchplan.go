// Package fetchplan decides for each piece of a prompt that the engine lacks whether to fetch it from a store or
// another upstream, to recompute it, or to wait for a computation of the same prefix that is already in progress. The
// package is pure: callers pass in the time and serialize access to Flights.
package fetchplan

import (
	"fmt"
	"time"

	"github.com/wasabishunt/wasabishunt/piece"
)

// Action is what to do with one piece.
type Action string

// Actions.
const (
	Cached    Action = "cached"
	Fetch     Action = "fetch"
	Recompute Action = "recompute"
	Wait      Action = "wait"
)

// Source is a store or another upstream that may hold pieces.
type Source struct {
	Name string
	// Has reports for each piece of the request whether the source holds it.
	Has []bool
	// Wait is the time until the source's link starts a new transfer of the request's rank.
	Wait time.Duration
	// BytesPerSecond is the measured bandwidth of the link.
	BytesPerSecond float64
	// Delay is the round trip to the source.
	Delay time.Duration
}

// Request is the input of a plan.
type Request struct {
	Pieces []piece.Name
	// CachedPieces is the number of pieces, from the start of the prompt, that are in the engine's cache.
	CachedPieces int
	PromptTokens int64
	// PieceBytes is the size of one piece.
	PieceBytes int64
	// PrefillRate is the measured prefill rate in tokens per second.
	PrefillRate float64
	// PrefillWait is the time until the engine would start this request's prefill at its current load.
	PrefillWait time.Duration
	// LongShare is the share of the prefill rate that a long recomputation gets while other work waits; 1 if it is
	// not limited.
	LongShare float64
	Sources   []Source
}

// Settings of plans.
type Settings struct {
	// LongTokens is the number of recomputed prompt tokens from which a request counts as long; default 4000.
	LongTokens int64
	// FetchMargin multiplies fetch times, because a fetch may find its piece evicted; default 1.1.
	FetchMargin float64
	// Off disables mechanisms, for comparison runs only.
	Off Off
}

// Off lists mechanisms that a comparison run disables.
type Off struct {
	Fetch bool
	Wait  bool
	// Compare disables the comparison of times: whatever a source holds is fetched.
	Compare bool
}

// Defaults returns the default settings.
func Defaults() Settings { return Settings{LongTokens: 2 * piece.TokensPerPiece, FetchMargin: 1.1} }

// Step is the decision for one piece.
type Step struct {
	Action Action
	// Source is the name of the source to fetch from.
	Source string
	// Ready is when the piece is expected in the engine's cache, counted from the decision.
	Ready time.Duration
	// Alternative is when the best alternative would have been ready; 0 if there was none.
	Alternative time.Duration
}

// Plan is the decision for one request.
type Plan struct {
	Steps []Step
	// ComputeTokens is the number of tokens that this request must prefill, including the last partial piece.
	ComputeTokens int64
	// FetchedTokens are fetched from sources; WaitTokens come from computations in progress.
	FetchedTokens int64
	WaitTokens    int64
	CachedTokens  int64
	// Ready is when all fetched pieces and all computations in progress are expected, counted from the decision.
	Ready time.Duration
	// Long is true if the request recomputes a long prefix and must use the budget for long recomputations.
	Long bool
}

// Decide plans the pieces of a request in order. Fetches are sequential on each source's link, and so are
// recomputations on the engine; both proceed at the same time.
func Decide(settings Settings, request Request, flights *Flights, now time.Time) Plan {
	s := newState(settings, request, flights, now)
	plan := Plan{}
	for i, name := range request.Pieces {
		step := Step{Action: Cached}
		if i >= request.CachedPieces {
			step = s.step(i, name)
		}
		plan.add(step)
	}
	plan.ComputeTokens += request.PromptTokens - int64(len(request.Pieces))*piece.TokensPerPiece
	plan.Long = plan.ComputeTokens >= settings.LongTokens
	return plan
}

func (p *Plan) add(step Step) {
	p.Steps = append(p.Steps, step)
	switch step.Action {
	case Cached:
		p.CachedTokens += piece.TokensPerPiece
	case Recompute:
		p.ComputeTokens += piece.TokensPerPiece
	case Fetch:
		p.FetchedTokens += piece.TokensPerPiece
		p.Ready = max(p.Ready, step.Ready)
	case Wait:
		p.WaitTokens += piece.TokensPerPiece
		p.Ready = max(p.Ready, step.Ready)
	}
}

// Reasons returns the decision for `wasabishunt explain`, one line for each run of pieces with the same action.
func (p Plan) Reasons() []string {
	var reasons []string
	for i := 0; i < len(p.Steps); {
		j, first := i, p.Steps[i]
		for j < len(p.Steps) && p.Steps[j].Action == first.Action && p.Steps[j].Source == first.Source {
			j++
		}
		last := p.Steps[j-1]
		line := fmt.Sprintf("fetchplan: pieces %d-%d %s %s", i, j-1, first.Action, first.Source)
		if first.Action != Cached {
			line += fmt.Sprintf(", ready in %v, otherwise %v", last.Ready.Round(time.Millisecond), last.Alternative.Round(time.Millisecond))
		}
		reasons = append(reasons, line)
		i = j
	}
	return reasons
}
