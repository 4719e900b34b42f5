package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/routing"
)

// run is one deployment in one case under one policy.
type run struct {
	sim
	deployment *Deployment
	slots      int
	policy     Policy
	agents     []*agent
	byName     map[string]*agent
	stores     []*store
	entries    []*entry
	index      *routing.Index
	// orders maps a rank's name to its order; 0 is the most urgent.
	orders map[string]int
	// version is the published weight version.
	version uint64
	// loading counts, by model, the engines that are loading weights.
	loading map[string]int
	// computed holds the pieces that any engine has computed, to count recomputation.
	computed map[piece.Name]bool
	result   *Result
	lastID   uint64
}

// request is one arrival in progress.
type request struct {
	*arrival
	id       string
	version  uint64
	names    []piece.Name
	deadline time.Time
	entry    *entry
	attempts int
	exclude  []string
	work     *work
	ended    bool
	// planned is the number of prompt tokens that the last plan computes, served the tokens computed for the request so far.
	planned, served int64
}

// Run measures one deployment in one case under one policy.
func Run(d *Deployment, c *Case, p Policy, seed uint64) *Result {
	r := &run{
		deployment: d, slots: cmp.Or(c.Slots, maxRunning), policy: p, byName: map[string]*agent{}, computed: map[piece.Name]bool{},
		orders: map[string]int{}, loading: map[string]int{}, version: 1, result: newResult(d, c, p),
	}
	for _, rank := range d.Ranks {
		r.orders[rank.Name] = rank.Order
	}
	r.build(seed)
	for _, a := range generate(d, c, seed) {
		r.schedule(a.arrivesAt, func() { r.arrive(&a) })
	}
	if c.Prepare != nil {
		c.Prepare(r)
	}
	r.sim.run(horizon + time.Minute)
	r.finish()
	return r.result
}

func (r *run) build(seed uint64) {
	for i := range 2 {
		r.stores = append(r.stores, newStore(r, i))
	}
	byModel := map[string][]routing.Upstream{}
	for _, model := range slices.Sorted(mapKeys(r.deployment.Engines)) {
		for range r.deployment.Engines[model] {
			a := newAgent(r, len(r.agents), model)
			r.agents = append(r.agents, a)
			r.byName[a.name] = a
			byModel[model] = append(byModel[model], routing.Upstream{
				Name: a.name, Zone: zone(len(r.agents)), PrefillRate: configuredRate, DecodeRate: configuredDecode, State: controlclient.Live,
			})
		}
	}
	r.index = routing.NewIndex(byModel, nil)
	for i := range entryCount {
		r.entries = append(r.entries, newEntry(r, i, rand.New(rand.NewPCG(seed, uint64(i)+500))))
	}
}

func mapKeys(m map[string]int) func(func(string) bool) {
	return func(yield func(string) bool) {
		for _, key := range lo.Keys(m) {
			if !yield(key) {
				return
			}
		}
	}
}

func zone(i int) string { return fmt.Sprintf("zone%d", i%3) }

func (r *run) arrive(a *arrival) {
	r.lastID++
	q := &request{
		arrival: a, id: fmt.Sprint(r.lastID), version: r.version, deadline: r.time().Add(a.kind.Deadline),
		entry: r.entries[r.lastID%entryCount],
	}
	q.names = a.names(r.version, r.lastID)
	r.result.recordArrival(q)
	q.entry.budget.RecordRequest()
	q.entry.submit(q)
}

func (r *run) ranks() []objectset.Rank { return r.deployment.Ranks }

func (r *run) slowLinks(factor float64) {
	for _, s := range r.stores {
		s.bandwidth *= factor
	}
}

// throttle reduces the prefill rate of the first n engines by a factor, as thermal throttling does.
func (r *run) throttle(n int, factor float64) {
	for _, a := range r.agents[:n] {
		a.hardware.prefill *= factor
	}
}

// failFast makes the first n engines refuse all new work at once, which makes them look idle, or accept work again.
func (r *run) failFast(n int, on bool) {
	for _, a := range r.agents[:n] {
		a.refusing = on
	}
}

// swapWeights publishes a new weight version; agents load it as load slots become free.
func (r *run) swapWeights() {
	r.version++
	for _, a := range r.agents {
		a.loadVersion(r.version)
	}
}

func (r *run) finish() {
	for _, s := range r.stores {
		r.result.linkBytes += s.bytesMoved
		r.result.linkBusy += s.busy
	}
}

// reuseClass names a class of prefixes with the same reuse pattern.
func (q *request) reuseClass() string {
	return strings.Join([]string{accountName(q.account), q.kind.Name}, "/")
}
