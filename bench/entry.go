package bench

import (
	"math/rand/v2"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/routing"
)

// entry is one entry process: it routes requests and updates its load estimates from the reports in responses.
type entry struct {
	run       *run
	zone      string
	router    *routing.Router
	loads     *routing.Loads
	prefixes  *routing.Prefixes
	budget    *routing.RetryBudget
	nextAgent int
}

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

func newEntry(r *run, i int, random *rand.Rand) *entry {
	settings := routing.Defaults()
	settings.Off = r.policy.Routing
	if r.policy.AffinityOnly {
		settings.AffinityChoices, settings.RandomChoices = 1, 0
	}
	return &entry{
		run: r, zone: zone(i), router: routing.New(settings, random), loads: routing.NewLoads(routing.LoadDefaults()),
		prefixes: routing.NewPrefixes(routing.PrefixDefaults()), budget: routing.NewRetryBudget(),
	}
}

func (e *entry) submit(q *request) {
	q.attempts++
	name, cached := e.pick(q)
	if name == "" {
		e.run.result.recordRefusal(q)
		return
	}
	e.loads.RecordSent(name, q.prompt-cached, e.run.orders[q.kind.Rank], e.run.time())
	a := e.run.byName[name]
	e.run.after(networkDelay, func() { a.receive(q) })
}

func (e *entry) pick(q *request) (name string, cached int64) {
	if e.run.policy.RoundRobin {
		return e.roundRobin(q), 0
	}
	affinity := nameOf(q.prefix, 0, q.version)
	if len(q.names) > 0 {
		affinity = q.names[0]
	}
	request := routing.Request{
		Model: q.kind.Model, WeightVersion: versionName(q.version), Affinity: affinity, Pieces: q.names, PromptTokens: q.prompt,
		Rank: q.kind.Rank, Order: e.run.orders[q.kind.Rank], Zone: e.zone, Exclude: q.exclude,
	}
	snapshot := routing.Snapshot{Now: e.run.time(), Index: e.run.index, Loads: e.loads, Prefixes: e.prefixes}
	d, err := e.router.Pick(request, snapshot)
	if err != nil {
		return "", 0
	}
	return d.Upstream.Name, d.CachedTokens
}

func (e *entry) roundRobin(q *request) string {
	for {
		e.nextAgent++
		if a := e.run.agents[e.nextAgent%len(e.run.agents)]; a.model == q.kind.Model {
			return a.name
		}
	}
}

// handleAccepted handles the response to a request that was queued.
func (e *entry) handleAccepted(a *agent, report routing.Report) {
	e.run.after(networkDelay, func() { e.loads.RecordReport(a.name, report, e.run.time()) })
}

// handleCompleted handles the end of an answer.
func (e *entry) handleCompleted(q *request, a *agent, report routing.Report) {
	e.run.after(networkDelay, func() {
		e.loads.RecordReport(a.name, report, e.run.time())
		e.loads.RecordSuccess(a.name)
		e.prefixes.RecordServed(a.name, report.Epoch, q.names, e.run.time())
	})
}

// handleRefusal handles a refusal and retries on another upstream within the retry budget.
func (e *entry) handleRefusal(q *request, a *agent, kind failure.Kind, report routing.Report) {
	e.run.after(networkDelay, func() {
		now := e.run.time()
		e.loads.RecordReport(a.name, report, now)
		if kind == failure.UpstreamFailed {
			e.loads.RecordFailure(a.name, now)
		}
		q.exclude = append(q.exclude, a.name)
		if q.attempts >= maxAttempts || e.run.policy.NoRetry || !now.Before(q.deadline) || !e.budget.TakeRetry(accountName(q.account)) {
			e.run.result.recordRefusal(q)
			return
		}
		e.submit(q)
	})
}
