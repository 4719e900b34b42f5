// Package sched orders the work of one upstream: ranks with floors, then weighted fair shares of tokens over
// client accounts, then deadlines, granted in prefill chunks. It is pure: it starts no goroutine, takes no lock and
// gets the time from its caller, who serializes all calls.
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
	// PromptTokens are the prompt tokens that must be computed here, without cached and fetched ones.
	PromptTokens int64
	// Long marks the recomputation of a long prefix, which has its own prefill budget.
	Long bool
}

// Grant allows one prefill chunk. The first chunk of an item also gives it a run slot.
type Grant struct {
	Item   Item
	Tokens int64
	// First is true for the chunk that starts the run.
	First bool
	// Last is true for the chunk after which the run generates.
	Last bool
	// Priority is the order in which an engine with priorities should compute the chunk, 0 first: the order of the rank,
	// or that of the most urgent rank for a chunk by floor, because strict priorities would starve it.
	Priority int
	// Why names the rule that chose the item.
	Why string
}

// Reasons returns the decision for `wasabishunt explain`.
func (g Grant) Reasons() []string {
	return []string{"sched: rank " + g.Item.Rank + " chosen by " + g.Why}
}

// Removed is an item that left the queue without a first token.
type Removed struct {
	Item Item
	// Started is true if a prefill chunk was granted, so the request cannot be called not_run.
	Started bool
	// Why is one of the Removed... reasons.
	Why string
}

// Reasons for removal.
const (
	RemovedExpired     = "deadline passed"
	RemovedUnreachable = "deadline out of reach"
	RemovedDisplaced   = "displaced by more urgent work in a full queue"
)

// Reasons for a grant.
const (
	whyOrder  = "order of ranks"
	whyFloor  = "floor of the rank"
	whyBudget = "budget for long prefixes spent"
)

// Settings of a Queue.
type Settings struct {
	// ChunkTokens is the scheduling quantum in prompt tokens; default 512.
	ChunkTokens int64
	// MaxQueued bounds waiting requests; default 1024.
	MaxQueued int
	// MaxRunning bounds runs that hold a slot on the engine; default 32.
	MaxRunning int
	// MaxOutstanding bounds prompt tokens granted and not yet done; default ChunkTokens.
	// A single chunk is always granted when nothing is outstanding.
	MaxOutstanding int64
	// WholePrompts grants each prompt as a single chunk, for engines that cannot prefill in parts; default false.
	WholePrompts bool
	// EnginePriorities says that the engine itself computes granted prompts by Grant.Priority; default false. Granted
	// prompts of less urgent priorities then do not count towards MaxOutstanding for more urgent ones.
	EnginePriorities bool
	// LongShare is the share of prefill that long prefixes may take while short work waits, 0 to 1; default 0.5.
	LongShare float64
	// AccountBurst is the service in tokens that an account which asked for less than its share may receive before
	// others, for an account of weight 1; default 6144.
	AccountBurst int64
	// PreemptLag is how far in tokens an account must be behind another to interrupt its prompt; default 4096.
	PreemptLag int64
	// FloorBurst is the floor service in tokens that a rank may save up; default 8192. While it is used up, more urgent
	// work still gets two of three chunks if the floors allow.
	FloorBurst int64
	// FloorDebt is the service from idle capacity in tokens that a rank must make up for before it earns floor service
	// again; default 2048. With the burst as the limit, a rank with a floor of 5 in 100 got nothing for the first 20 s of a flood of
	// urgent work that followed its own.
	FloorDebt int64
	// Headroom is the share of run slots kept free for urgent ranks and small callers, 0 to 1; default 0.125.
	Headroom float64
	// Off switches mechanisms off, for comparison runs only; default none.
	Off Off
}

// Off names mechanisms that a comparison run switches off.
type Off struct {
	Ranks      bool
	Floors     bool
	FairShare  bool
	Deadlines  bool
	DropLate   bool
	LongBudget bool
	Headroom   bool
	Rescue     bool
	ShareLeft  bool
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

// Config is what a Queue takes from the object set. Unknown ranks count as the least urgent one, unknown accounts
// have weight 1.
type Config struct {
	Ranks []objectset.Rank
	// Weights of client accounts by name.
	Weights map[string]float64
}

// ConfigOf takes a Config from an object set.
func ConfigOf(set *objectset.Set) Config {
	weights := make(map[string]float64, len(set.Accounts))
	for _, account := range set.Accounts {
		weights[account.Name] = account.Weight
	}
	return Config{Ranks: set.Ranks, Weights: weights}
}
