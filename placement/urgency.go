package placement

import "math"

const (
	// maxRank is the least urgent rank of an engine.
	maxRank = 9
	// sizeClasses is the number of ranks within one priority.
	sizeClasses = 3
	// shortPrompt and mediumPrompt are the largest prompts of the first two size classes, in tokens. An engine reads a
	// short one in the time of a few steps.
	shortPrompt  = 1500
	mediumPrompt = 6000
)

// Urgency orders requests at an engine: by priority, and short prompts before long ones within a priority. A short
// prompt that overtakes a long one delays it little; one that waits behind it misses its target.
type Urgency struct {
	// Priority 0 is the most urgent.
	Priority int
	// PromptTokens is 0 for requests to plain services.
	PromptTokens int
}

// IsShort reports whether engines read the prompt before the others of its priority.
func (u Urgency) IsShort() bool { return u.PromptTokens <= shortPrompt }

// isLong reports whether engines read the prompt after the others of its priority.
func (u Urgency) isLong() bool { return u.PromptTokens > mediumPrompt }

// size returns the size class of the prompt.
func (u Urgency) size() int {
	switch {
	case u.isLong():
		return 2
	case !u.IsShort():
		return 1
	}
	return 0
}

// Rank returns the rank at an engine; 0 is served first.
func (u Urgency) Rank() int { return min(maxRank, sizeClasses*u.Priority+u.size()) }

// priorityLevels is the number of distinct priorities; accounts and routes have three.
const priorityLevels = 3

// priorityHalfLifeTokens is the number of tokens after which an observation counts half.
const priorityHalfLifeTokens = 2_000_000

// priorities is the share of each priority in the tokens that engines have to read. Nodes report only the tokens of
// long prompts and of all prompts; this share approximates the priorities at a single engine.
type priorities struct{ tokens [priorityLevels]float64 }

func (p *priorities) record(u Urgency, tokens int) {
	fade := math.Exp2(-float64(tokens) / priorityHalfLifeTokens)
	for i := range p.tokens {
		p.tokens[i] *= fade
	}
	p.tokens[min(u.Priority, priorityLevels-1)] += float64(tokens)
}

// urgencyShares returns the share of the tokens that are more urgent than a priority, and of those that are at least as
// urgent.
func (p *priorities) urgencyShares(priority int) (before, upTo float64) {
	sum := 0.0
	for i, tokens := range p.tokens {
		if i < priority {
			before += tokens
		}
		if i <= priority {
			upTo += tokens
		}
		sum += tokens
	}
	if sum == 0 {
		return 1, 1
	}
	return before / sum, upTo / sum
}

// memoryShare returns the share of the waiting requests that get memory before a prompt; most waiting requests are
// long. For a long prompt it is 1: it would take memory from running requests, whose prompts are then read again.
func (p *priorities) memoryShare(u Urgency) float64 {
	if u.isLong() {
		return 1
	}
	before, _ := p.urgencyShares(min(u.Priority, priorityLevels-1))
	return before
}

// aheadTokens returns how many of the tokens at an engine are read before a prompt.
func (p *priorities) aheadTokens(u Urgency, all, long int) int {
	before, upTo := p.urgencyShares(min(u.Priority, priorityLevels-1))
	if u.isLong() {
		return int(upTo * float64(all))
	}
	return int(upTo*float64(all-long) + before*float64(long))
}
