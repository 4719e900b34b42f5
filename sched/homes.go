package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabishunt/wasabishunt/objectset"
)

// Place says how the floor of a rank is kept at one upstream.
type Place int

const (
	// Spread keeps the rank's floor in time, for all of its prompts.
	Spread Place = iota
	// Home keeps the floor that the rank has at all upstreams of the model, so that a long prompt gets most of one engine.
	Home
	// Away keeps the floor for prompts of at most one chunk; longer ones are sent to the homes.
	Away
)

const (
	// maxHomeTarget is the greatest first token target of a rank with homes. Longer targets are met by a floor in time.
	maxHomeTarget = 10 * time.Second
	// leastHomes is the least floor of a rank in whole upstreams. A single home would fail with its upstream.
	leastHomes = 2
	// homeDetour is the additional load in chunks that a home reports to more urgent ranks, so that they use it only when
	// other upstreams have a longer wait.
	homeDetour = 3
)

// Homes lists the home upstreams of a model by rank.
type Homes map[string][]string

// HomesOf chooses the homes of each rank but the most urgent one among the upstreams of a model, by rendezvous hash. Every
// process computes the same from the object set. Ranks share an upstream only when there are too few.
func HomesOf(ranks []objectset.Rank, upstreams []string) Homes {
	ordered := slices.Clone(ranks)
	slices.SortStableFunc(ordered, func(a, b objectset.Rank) int { return cmp.Compare(a.Order, b.Order) })
	homes, taken := Homes{}, map[string]bool{}
	for i, rank := range ordered {
		if i == 0 || !hasHomes(rank, len(upstreams)) {
			continue
		}
		names := rendezvous(rank.Name, upstreams, taken)
		homes[rank.Name] = names[:int(math.Ceil(rank.Floor*float64(len(names))))]
		for _, name := range homes[rank.Name] {
			taken[name] = true
		}
	}
	return homes
}

func hasHomes(rank objectset.Rank, upstreams int) bool {
	target := time.Duration(rank.FirstTokenMs) * time.Millisecond
	return rank.Floor*float64(upstreams) >= leastHomes && target > 0 && target <= maxHomeTarget
}

// rendezvous orders the upstreams by their hash with the rank, those that are taken last.
func rendezvous(rank string, upstreams []string, taken map[string]bool) []string {
	names := slices.Clone(upstreams)
	slices.SortFunc(names, func(a, b string) int {
		if taken[a] != taken[b] {
			return map[bool]int{true: 1, false: -1}[taken[a]]
		}
		return cmp.Compare(xxhash.Sum64String(rank+"/"+b), xxhash.Sum64String(rank+"/"+a))
	})
	return names
}

// At returns the configuration of one of the upstreams of the model.
func (h Homes) At(config Config, upstream string, upstreams int) Config {
	config.Ranks = slices.Clone(config.Ranks)
	config.Places = map[string]Place{}
	for i, rank := range config.Ranks {
		homes, ok := h[rank.Name]
		switch {
		case ok && slices.Contains(homes, upstream):
			config.Places[rank.Name] = Home
			config.Ranks[i].Floor = rank.Floor * float64(upstreams) / float64(len(homes))
		case ok:
			config.Places[rank.Name] = Away
		}
	}
	return config
}

// keepsFloor tells whether the rank's floor holds here for a prompt.
func (q *Queue) keepsFloor(r *rankQueue, tokens float64) bool {
	return r.place != Away || tokens <= float64(q.settings.ChunkTokens)
}

// detour is the load in tokens that keeps a rank away from the homes of less urgent ones.
func (q *Queue) detour(r *rankQueue) float64 {
	for _, other := range q.ranks {
		if other.Order > r.Order && other.place == Home {
			return homeDetour * float64(q.settings.ChunkTokens)
		}
	}
	return 0
}

// yields tells whether a chunk by the floor of a rank is put off, because the most urgent request would lose the time that
// its rank's queue needs. A rank that has saved up a whole burst is not put off, so that its floor holds under any flood.
func (q *Queue) yields(r *rankQueue, first *entry, now time.Time) bool {
	if q.settings.FloorYield <= 0 || q.prefillRate <= 0 || r.credit >= float64(q.settings.FloorBurst) || q.slack(first, now) < 0 {
		return false
	}
	if first.item.Deadline.IsZero() {
		return false
	}
	left := first.item.Deadline.Sub(now) - q.prefillTime(first.rank.queuedTokens)
	return left < time.Duration(q.settings.FloorYield)*q.chunkTime()
}
