package bench

import (
	"fmt"

	"github.com/wasabishunt/wasabishunt/sched"
)

// floorYield is sched.Settings.FloorYield in runs with homes, in chunks.
const floorYield = 4

func engineName(i int) string { return fmt.Sprintf("engine%02d", i) }

// chooseHomes computes the homes of all ranks by model.
func (r *run) chooseHomes(models []string) {
	r.homes = map[string]sched.Homes{}
	first := 0
	for _, model := range models {
		names := make([]string, r.deployment.Engines[model])
		for i := range names {
			names[i] = engineName(first + i)
		}
		first += len(names)
		if r.policy.Homes {
			r.homes[model] = sched.HomesOf(r.ranksOf(), names)
		}
	}
}

func (r *run) configAt(name, model string) sched.Config {
	return r.homes[model].At(sched.Config{Ranks: r.ranksOf()}, name, r.deployment.Engines[model])
}

// homesFor returns the homes that a retry of a request goes to: those of its rank, and for the most urgent rank the homes
// of all others, which it avoids at first.
func (r *run) homesFor(q *request) []string {
	homes := r.homes[q.kind.Model]
	if r.orders[q.kind.Rank] > 0 {
		return homes[q.kind.Rank]
	}
	var all []string
	for _, rank := range r.ranksOf() {
		all = append(all, homes[rank.Name]...)
	}
	return all
}

// sentHome tells whether the next attempt of a refused request is its way to a home of its rank, which every request of the
// rank has beside the retry budget.
func (r *run) sentHome(q *request) bool {
	return q.tries == 1 && len(r.homes[q.kind.Model][q.kind.Rank]) > 0
}
