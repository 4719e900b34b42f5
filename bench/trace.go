package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/piece"
)

// Kind is one kind of work of a deployment.
type Kind struct {
	Name  string
	Model string
	Rank  string
	// Worth is the weight of a request answered on time.
	Worth float64
	// Deadline is the time limit of the first token.
	Deadline time.Duration
	// Rate is the requests per second by day, over all accounts.
	Rate float64
	// Night multiplies the rate in the night part of the trace.
	Night float64
	// Prompt and Spread give the prompt length in tokens: uniform in Prompt..Prompt+Spread.
	Prompt, Spread int64
	Output         int64
	// Turns is the number of requests of a conversation; each adds Growth tokens to its prompt. 1 is a single request.
	Turns  int
	Growth int64
	// Gap is the median time between turns.
	Gap time.Duration
	// Rulebook is the length in tokens of a prefix that all requests of an account share.
	Rulebook int64
}

// Deployment is a set of engines and the kinds of work they serve.
type Deployment struct {
	Name  string
	Kinds []*Kind
	Ranks []objectset.Rank
	// Engines is the number of engines by model.
	Engines map[string]int
	// Low and Urgent name the least and the most urgent kind, which the flood cases use.
	Low, Urgent string
}

// horizon is the length of a trace; its part from nightStart on is night.
const (
	horizon    = 300 * time.Second
	nightStart = 210 * time.Second
	// warmup is excluded from all measurements.
	warmup       = 30 * time.Second
	accountCount = 10
	// The first largeAccounts accounts each send largeFactor times as much as a small one.
	largeAccounts = 3
	largeFactor   = 4.0
)

// arrival is one request of a trace.
type arrival struct {
	arrivesAt time.Duration
	kind      *Kind
	account   int
	prompt    int64
	output    int64
	// prefix identifies the token sequence; shared is the number of prompt tokens in common with requests of the same prefix.
	prefix uint64
	shared int64
	// extra marks requests that the case adds, such as those of a flood.
	extra bool
}

func accountName(i int) string { return fmt.Sprintf("account%d", i) }

func accountShare(i int) float64 {
	total := largeAccounts*largeFactor + accountCount - largeAccounts
	if i < largeAccounts {
		return largeFactor / total
	}
	return 1 / total
}

// generate returns the arrivals of a deployment in a case. Every case includes the arrivals of the calm case.
func generate(d *Deployment, c *Case, seed uint64) []arrival {
	var all []arrival
	for n, kind := range d.Kinds {
		for account := range accountCount {
			stream := uint64(n*accountCount + account)
			base := rand.New(rand.NewPCG(seed, stream))
			all = append(all, drawArrivals(base, kind, account, 1, dayAndNight(kind))...)
			if c.Extra == nil {
				continue
			}
			extra := func(t time.Duration) float64 { return c.Extra(d, kind, account, t) }
			more := drawArrivals(rand.New(rand.NewPCG(seed, stream+1000)), kind, account, peakFactor(extra), extra)
			for i := range more {
				more[i].extra = true
			}
			all = append(all, more...)
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.arrivesAt - b.arrivesAt) })
	return all
}

func dayAndNight(kind *Kind) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= nightStart {
			return kind.Night
		}
		return 1
	}
}

func peakFactor(factor func(time.Duration) float64) float64 {
	highest := 0.0
	for t := time.Duration(0); t < horizon; t += time.Second {
		highest = max(highest, factor(t))
	}
	return highest
}

// drawArrivals draws the requests of one kind and account as a Poisson process whose rate is scaled by the factor.
// highest must be at least the largest factor: arrivals are drawn at that rate and then thinned out.
func drawArrivals(random *rand.Rand, kind *Kind, account int, highest float64, factor func(time.Duration) float64) []arrival {
	var list []arrival
	highest = max(highest, kind.Night)
	rate := kind.Rate * accountShare(account) / float64(max(1, kind.Turns)) * highest
	if rate <= 0 {
		return nil
	}
	for at := interarrivalTime(random, rate); at < horizon; at += interarrivalTime(random, rate) {
		if random.Float64()*highest < factor(at) {
			list = append(list, conversation(random, kind, account, at)...)
		}
	}
	return list
}

func interarrivalTime(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

func conversation(random *rand.Rand, kind *Kind, account int, at time.Duration) []arrival {
	a := arrival{arrivesAt: at, kind: kind, account: account, prefix: random.Uint64()}
	a.prompt = kind.Prompt + random.Int64N(kind.Spread+1)
	a.shared = a.prompt
	if kind.Rulebook > 0 {
		a.prefix = mix64(uint64(account), 77)
		a.shared = kind.Rulebook
		a.prompt += kind.Rulebook
	}
	var turns []arrival
	for range max(1, kind.Turns) {
		a.output = max(1, int64(float64(kind.Output)*(0.5+random.Float64())))
		gap := float64(kind.Gap) * math.Exp(0.4*random.NormFloat64())
		next := a.arrivesAt + time.Duration(gap)
		if a.arrivesAt < horizon {
			turns = append(turns, a)
		}
		a.arrivesAt = next
		a.prompt += kind.Growth
		a.shared = a.prompt
	}
	return turns
}

// names returns the piece names of a request under a weight version. Pieces with tokens that no other request shares get
// unique names.
func (a *arrival) names(version, unique uint64) []piece.Name {
	names := make([]piece.Name, a.prompt/piece.TokensPerPiece)
	for i := range names {
		id := a.prefix
		if int64(i+1)*piece.TokensPerPiece > a.shared {
			id = mix64(a.prefix, unique)
		}
		names[i] = nameOf(id, uint64(i), version)
	}
	return names
}
