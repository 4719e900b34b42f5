// Package sched schedules the work of one upstream in prefill chunks: first by rank with floors, then by weighted fair
// sharing of tokens between client accounts, then by deadline. It starts no goroutine and takes no lock; its caller passes
// the time and serializes all calls.
package sched

import (
	"time"

	"github.com/wasabishunt/wasabishunt/objectset"
)

// Item is one request waiting for its prefill.
type Item struct {
	ID      string
	Account string
	Rank    string
	// Deadline is the latest useful time of the first token; zero means none.
	Deadline time.Time
	// PromptTokens is the number of prompt tokens to compute on this upstream, without cached and fetched ones.
	PromptTokens int64
	// Long marks the recomputation of a long prefix, which has a separate prefill budget.
	Long bool
}

// Grant permits one prefill chunk. The first chunk of an item also takes a run slot.
type Grant struct {
	Item   Item
	Tokens int64
	// First is true for the chunk that starts the run.
	First bool
	// Last is true for the chunk that completes the prefill.
	Last bool
	// Priority is the order in which an engine with priorities should compute the chunk, 0 first. It is the order of the
	// rank, or that of the most urgent rank for a chunk granted by a floor, which strict priorities would starve otherwise.
	Priority int
	// Rule is the rule by which the item was chosen.
	Rule string
}

// Reasons returns the explanation of the decision for `wasabishunt explain`.
func (g Grant) Reasons() []string {
	return []string{"sched: rank " + g.Item.Rank + " chosen by " + g.Rule}
}

// Removed is an item that left the queue without a first token.
type Removed struct {
	Item Item
	// Started is true if a prefill chunk was granted, so the request must not be reported as not_run.
	Started bool
	// Reason is one of the Removed constants.
	Reason string
}

// Reasons for the removal of an item.
const (
	RemovedExpired     = "deadline passed"
	RemovedUnreachable = "deadline out of reach"
	RemovedDisplaced   = "displaced by more urgent work in a full queue"
)

// Rules by which items are chosen.
const (
	ruleOrder  = "order of ranks"
	ruleFloor  = "floor of the rank"
	ruleBudget = "budget for long prefixes spent"
)

// Settings of a Queue.
type Settings struct {
	// ChunkTokens is the scheduling quantum in prompt tokens; default 512.
	ChunkTokens int64
	// MaxQueued bounds waiting requests; default 1024.
	MaxQueued int
	// MaxRunning bounds the number of run slots on the engine; default 32.
	MaxRunning int
	// MaxOutstanding bounds the prompt tokens granted and not yet computed; default ChunkTokens.
	// A single chunk is always granted when nothing is outstanding.
	MaxOutstanding int64
	// WholePrompts grants each prompt as a single chunk, for engines that cannot prefill in parts; default false.
	WholePrompts bool
	// EnginePriorities states that the engine computes granted prompts in the order of Grant.Priority; default false.
	// Granted prompts of less urgent priorities then do not count towards MaxOutstanding for more urgent ones.
	EnginePriorities bool
	// LongShare is the share of prefill that long prefixes may use while short work waits, 0 to 1; default 0.5.
	LongShare float64
	// AccountBurst is the service in tokens that an account of weight 1 which has used less than its share may receive
	// before other accounts; default 6144.
	AccountBurst int64
	// PreemptLag is how far in tokens an account must be behind another account to interrupt its prompt; default 4096.
	PreemptLag int64
	// FloorBurst is the floor service in tokens that a rank may accumulate; default 8192. While the rank uses it, more
	// urgent work still gets two of three chunks if the floors allow.
	FloorBurst int64
	// FloorDebt bounds the service from idle capacity, in tokens, that a rank must make up for before it earns floor service
	// again; default 2048. With FloorBurst as the bound, a rank with a floor of 5 in 100 that had used idle capacity got
	// no service for the first 20 s of a following flood of urgent work.
	FloorDebt int64
	// Headroom is the share of run slots kept free for urgent ranks and small callers, 0 to 1; default 0.125.
	Headroom float64
	// Off disables mechanisms, for comparison runs only; default none.
	Off Off
}

// Off lists the mechanisms that a comparison run disables.
type Off struct {
	Ranks      bool
	Floors     bool
	FairShare  bool
	Deadlines  bool
	DropLate   bool // Requests that cannot meet their deadline are not dropped.
	LongBudget bool
	Headroom   bool
	Rescue     bool
	ShareLeft  bool // Estimates ignore that more urgent work keeps arriving.
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		ChunkTokens:    512,
		MaxQueued:      1024,
		MaxRunning:     32,
		MaxOutstanding: 512,
		LongShare:      0.5,
		AccountBurst:   6144,
		PreemptLag:     4096,
		FloorBurst:     8192,
		FloorDebt:      2048,
		Headroom:       0.125,
	}
}

func (s Settings) withDefaults() Settings {
	d := Defaults()
	if s.ChunkTokens <= 0 {
		s.ChunkTokens = d.ChunkTokens
	}
	if s.MaxQueued <= 0 {
		s.MaxQueued = d.MaxQueued
	}
	if s.MaxRunning <= 0 {
		s.MaxRunning = d.MaxRunning
	}
	if s.MaxOutstanding <= 0 {
		s.MaxOutstanding = s.ChunkTokens
	}
	if s.LongShare <= 0 || s.LongShare >= 1 {
		s.LongShare = d.LongShare
	}
	if s.AccountBurst <= 0 {
		s.AccountBurst = d.AccountBurst
	}
	if s.PreemptLag <= 0 {
		s.PreemptLag = d.PreemptLag
	}
	if s.FloorBurst <= 0 {
		s.FloorBurst = d.FloorBurst
	}
	if s.FloorDebt <= 0 {
		s.FloorDebt = d.FloorDebt
	}
	if s.Headroom <= 0 {
		s.Headroom = d.Headroom
	}
	return s
}

// Config is the part of an object set that a Queue uses. Unknown ranks are treated as the least urgent one; unknown accounts
// have weight 1.
type Config struct {
	Ranks []objectset.Rank
	// Weights holds the weights of client accounts by name.
	Weights map[string]float64
}

// ConfigOf returns the Config of an object set.
func ConfigOf(set *objectset.Set) Config {
	weights := make(map[string]float64, len(set.Accounts))
	for _, account := range set.Accounts {
		weights[account.Name] = account.Weight
	}
	return Config{Ranks: set.Ranks, Weights: weights}
}
