package bench

import (
	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/routing"
	"github.com/wasabishunt/wasabishunt/sched"
)

// Policy is one combination of mechanisms.
type Policy struct {
	Name string
	// RoundRobin replaces routing by a round robin over the engines of the model.
	RoundRobin bool
	// AffinityOnly always takes the first affinity choice.
	AffinityOnly bool
	Routing      routing.Off
	Sched        sched.Off
	Fetch        fetchplan.Off
	NoAdmission  bool
	// LRU replaces the value policy of the stores; every evicted piece is exported.
	LRU      bool
	NoShares bool
	// TwoCopies exports valuable pieces to both stores.
	TwoCopies   bool
	NoPlacement bool
	NoRetry     bool
	// Disk models the memory and disk tiers of stores; otherwise all pieces are in memory.
	Disk bool
	// MemoryLRU replaces the value policy and the account shares of the memory tier.
	MemoryLRU bool
	// WholePrompts grants complete prompts, as the live agent does: an engine receives a prompt in one request.
	WholePrompts bool
	// EnginePriorities lets the engine order granted prompts, as the live agent does.
	EnginePriorities bool
	// MaxOutstanding bounds the prompt tokens granted to an engine in tokens; 0 means the default, one chunk.
	MaxOutstanding int64
	// NoStepLimit grants a full chunk in each step, also while requests decode.
	NoStepLimit bool
	// Step replaces the settings of the step limit; the zero value means the defaults.
	Step sched.StepSettings
}

var fifo = sched.Off{Ranks: true, Floors: true, FairShare: true, Deadlines: true, DropLate: true, LongBudget: true, Headroom: true, Rescue: true}

// Baselines returns the complete system first, then serving systems without its mechanisms.
func Baselines() []Policy {
	plain := Policy{Sched: fifo, NoAdmission: true, LRU: true, NoShares: true, NoStepLimit: true, Fetch: fetchplan.Off{Fetch: true, Wait: true}}
	roundRobin, leastLoad, affinity, stores := plain, plain, plain, plain
	roundRobin.Name, roundRobin.RoundRobin = "round robin, FIFO", true
	leastLoad.Name, leastLoad.Routing = "least load, FIFO", routing.Off{Prefix: true, ByRank: true, OwnSent: true, Penalty: true, Measured: true}
	affinity.Name, affinity.AffinityOnly = "affinity only, FIFO", true
	stores.Name, stores.Routing = "least load, FIFO, with stores", leastLoad.Routing
	stores.Fetch = fetchplan.Off{Wait: true, Compare: true}
	return []Policy{{Name: "wasabishunt"}, roundRobin, leastLoad, affinity, stores}
}

func (p Policy) step() sched.StepSettings {
	if p.Step == (sched.StepSettings{}) {
		return sched.StepDefaults()
	}
	return p.Step
}

// Ablations returns policies that each switch off or change one mechanism.
func Ablations() []Policy {
	return []Policy{
		{Name: "without floors", Sched: sched.Off{Floors: true}},
		{Name: "without fair share", Sched: sched.Off{FairShare: true}},
		{Name: "without deadline order", Sched: sched.Off{Deadlines: true}},
		{Name: "without dropping late work", Sched: sched.Off{DropLate: true}},
		{Name: "without long budget", Sched: sched.Off{LongBudget: true}},
		{Name: "without rescue", Sched: sched.Off{Rescue: true}},
		{Name: "without step limit", NoStepLimit: true},
		{Name: "without slot headroom", Sched: sched.Off{Headroom: true}},
		{Name: "without share left in estimates", Sched: sched.Off{ShareLeft: true}},
		{Name: "without admission", NoAdmission: true},
		{Name: "without prefix routing", Routing: routing.Off{Prefix: true}},
		{Name: "without wait scorer", Routing: routing.Off{Wait: true}},
		{Name: "without own sent work", Routing: routing.Off{OwnSent: true}},
		{Name: "without failure penalty", Routing: routing.Off{Penalty: true}},
		{Name: "without measured rates", Routing: routing.Off{Measured: true}},
		{Name: "without load by rank", Routing: routing.Off{ByRank: true}},
		{Name: "without stores", Fetch: fetchplan.Off{Fetch: true}},
		{Name: "without fetch comparison", Fetch: fetchplan.Off{Compare: true}},
		{Name: "without shared recompute", Fetch: fetchplan.Off{Wait: true}},
		{Name: "without cache value (LRU)", LRU: true},
		{Name: "without export choice", NoPlacement: true},
		{Name: "without cache shares", NoShares: true},
		{Name: "with second copies", TwoCopies: true},
		{Name: "with whole prompts", WholePrompts: true},
		{Name: "with whole prompts by priority", WholePrompts: true, EnginePriorities: true},
		{Name: "with whole prompts by priority, 4096 outstanding", WholePrompts: true, EnginePriorities: true, MaxOutstanding: 4096},
		{Name: "without retries", NoRetry: true},
	}
}
