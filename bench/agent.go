package bench

import (
	"fmt"
	"time"

	"github.com/wasabishunt/wasabishunt/admission"
	"github.com/wasabishunt/wasabishunt/cachevalue"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/ratemeter"
	"github.com/wasabishunt/wasabishunt/routing"
	"github.com/wasabishunt/wasabishunt/sched"
)

// agent is the agent of one engine together with the engine's time model.
type agent struct {
	run      *run
	name     string
	model    string
	hardware hardware
	queue    *sched.Queue
	meter    *ratemeter.Meter
	cost     *sched.StepCost
	cache    *cachevalue.Tier
	returns  *cachevalue.ReturnPolicy
	flights  *fetchplan.Flights
	work     map[string]*work
	order    []*work // Work in order of arrival; iteration over the map would make runs differ.
	// waiters holds, by the id of the request that computes a prefix, the requests that wait for it.
	waiters         map[string][]*work
	decoding        []*work
	prompts         []prompt   // Granted and not yet computed.
	awaitingVersion []*request // Requests for a version that is not loaded yet.
	loaded          uint64
	// loadEndsAt is when the weight load in progress ends; zero while the agent waits for a load slot.
	loadEndsAt time.Duration
	stepping   bool
	// stepLimit is the most prefill of the step in progress, in tokens.
	stepLimit int64
	frozen    bool
	failed    bool
	// refusing makes the engine fail all new work at once; work in progress continues.
	refusing bool
	// runTime is the moving average of the time from the end of a request's first prefill chunk to the end of its answer.
	runTime time.Duration
	// freezes counts freezes; a step that began before the last freeze is discarded.
	freezes int
}

// work is a request at an agent.
type work struct {
	*request
	plan    fetchplan.Plan
	pending int // Pieces being fetched or computed by another request.
	// unfetched counts the tokens of pieces whose fetch failed; they are computed.
	unfetched   int64
	started     time.Duration
	lastTokenAt time.Duration
	remaining   int64
	removed     bool
}

func newAgent(r *run, i int, model string) *agent {
	settings := sched.Defaults()
	settings.MaxRunning = r.slots
	settings.WholePrompts = r.policy.WholePrompts
	settings.EnginePriorities = r.policy.EnginePriorities
	if r.policy.MaxOutstanding > 0 {
		settings.MaxOutstanding = r.policy.MaxOutstanding
	}
	settings.Off = r.policy.Sched
	a := &agent{
		run: r, name: fmt.Sprintf("engine%02d", i), model: model, hardware: hardwareOf(i), meter: sched.NewMeter(configuredRate),
		cost:  sched.NewStepCost(configuredRate, configuredDecode),
		queue: sched.New(settings, sched.Config{Ranks: r.ranks()}), returns: cachevalue.New(cachevalue.Defaults()),
		flights: fetchplan.NewFlights(), work: map[string]*work{}, waiters: map[string][]*work{}, loaded: 1, runTime: 3 * time.Second,
	}
	a.cache = cachevalue.NewTier(cachevalue.TierSettings{Capacity: engineCachePieces * pieceBytes, Sample: engineCachePieces, NoShares: true}, cachevalue.LRU{})
	return a
}

func versionName(version uint64) string { return fmt.Sprint("v", version) }

func (a *agent) report() routing.Report {
	load := a.queue.Load()
	return routing.Report{
		Epoch: 1, QueuedTokens: load.QueuedTokens, QueuedAhead: a.queue.AheadByRank(), Running: int64(load.Running),
		PrefillRate: a.meter.Rate(), Versions: []string{versionName(a.loaded)},
	}
}

func (a *agent) receive(q *request) {
	if a.failed || a.refusing {
		a.refuse(q, failure.UpstreamFailed)
		return
	}
	if q.version > a.loaded {
		a.queueForVersion(q)
		return
	}
	w := &work{request: q, remaining: q.output}
	w.plan = a.planFor(w)
	q.planned = w.plan.ComputeTokens
	decision := a.admit(w)
	if decision.Refusal != nil {
		a.queue.RecordRefused(q.kind.Rank, w.plan.ComputeTokens)
		a.refuse(q, decision.Refusal.Kind)
		return
	}
	q.work = w
	a.work[q.id] = w
	a.order = append(a.order, w)
	a.recordUses(q)
	a.beginPlan(w)
	q.entry.handleAccepted(a, a.report())
	a.startStep()
}

// recordUses reports the use of a request's pieces to the value policies.
func (a *agent) recordUses(q *request) {
	now := a.run.time()
	for _, name := range q.names {
		a.returns.RecordUse(name, q.reuseClass(), now)
		for _, s := range a.run.stores {
			s.recordUse(name, q.reuseClass(), now)
		}
	}
}

func (a *agent) refuse(q *request, kind failure.Kind) { q.entry.handleRefusal(q, a, kind, a.report()) }

func (a *agent) admit(w *work) admission.Decision {
	settings := admission.Defaults()
	settings.Off = a.run.policy.NoAdmission
	now := a.run.time()
	request := admission.Request{
		Account: accountName(w.account), Rank: w.kind.Rank, Deadline: w.deadline, PromptTokens: w.plan.ComputeTokens, Fetch: w.plan.Ready,
	}
	ahead := a.queue.AheadOf(w.kind.Rank, request.Account, w.plan.ComputeTokens)
	return admission.Decide(settings, request, admission.State{Now: now, Ahead: ahead, PrefillRate: a.meter.Rate(), RunTime: a.runTime})
}

func (a *agent) planFor(w *work) fetchplan.Plan {
	now := a.run.time()
	settings := fetchplan.Defaults()
	settings.Off = a.run.policy.Fetch
	ahead := a.queue.AheadOf(w.kind.Rank, accountName(w.account), w.prompt)
	request := fetchplan.Request{
		Pieces: w.names, CachedPieces: a.cachedPieces(w.names), PromptTokens: w.prompt, PieceBytes: pieceBytes,
		PrefillRate: a.meter.Rate(), PrefillWait: admission.Estimate(admission.Request{}, admission.State{Ahead: ahead, PrefillRate: a.meter.Rate()}),
	}
	for _, s := range a.run.stores {
		request.Sources = append(request.Sources, s.source(w.names, a.run.orders[w.kind.Rank]))
	}
	return fetchplan.Decide(settings, request, a.flights, now)
}

// cachedPieces returns the length of the cached prefix in pieces and marks these pieces as used.
func (a *agent) cachedPieces(names []piece.Name) int {
	for i, name := range names {
		if !a.cache.Touch(name, a.run.time()) {
			return i
		}
	}
	return len(names)
}

// beginPlan starts the fetches of a plan and registers for computations in progress; with neither it queues the prefill.
func (a *agent) beginPlan(w *work) {
	a.flights.Begin(w.id, w.names, w.plan, a.run.time())
	for i, step := range w.plan.Steps {
		switch step.Action {
		case fetchplan.Fetch:
			w.pending++
			a.run.storeNamed(step.Source).fetch(w.names[i], a.run.orders[w.kind.Rank], func(ok bool) { a.fetched(w, i, ok) })
		case fetchplan.Wait:
			if owner, ok := a.flights.Owner(w.names[i], a.run.time()); ok && a.work[owner] != nil && len(w.plan.Steps) > 0 {
				a.waiters[owner] = append(a.waiters[owner], w)
				w.pending++
			}
		}
	}
	a.enqueueReady(w)
}

func (a *agent) fetched(w *work, i int, ok bool) {
	if w.removed {
		return
	}
	w.pending--
	if ok {
		a.cachePiece(w, w.names[i])
	} else {
		w.unfetched += piece.TokensPerPiece
	}
	a.enqueueReady(w)
	a.startStep()
}

// enqueueReady queues the prefill once no fetch or computation is pending.
func (a *agent) enqueueReady(w *work) {
	if w.pending > 0 || w.removed {
		return
	}
	item := sched.Item{
		ID: w.id, Account: accountName(w.account), Rank: w.kind.Rank, Deadline: w.deadline,
		PromptTokens: w.plan.ComputeTokens + w.unfetched, Long: w.plan.Long,
	}
	if err := a.queue.Push(item, a.run.time()); err != nil {
		a.remove(w)
		a.refuse(w.request, failure.Of(err).Kind)
	}
}

// cachePiece puts a piece into the engine's cache and exports the evicted pieces.
func (a *agent) cachePiece(w *work, name piece.Name) {
	evicted, _ := a.cache.Put(a.entryOf(w, name), a.run.time())
	for _, entry := range evicted {
		a.export(entry)
	}
}

func (a *agent) entryOf(w *work, name piece.Name) cachevalue.Entry {
	recompute := time.Duration(piece.TokensPerPiece / a.meter.Rate() * float64(time.Second))
	return cachevalue.Entry{
		Name: name, Account: accountName(w.account), Class: w.reuseClass(), Bytes: pieceBytes, Recompute: recompute, LastUse: a.run.time(),
	}
}

// remove drops a request that ended or failed and replans the requests that wait for its prefix.
func (a *agent) remove(w *work) {
	w.removed = true
	delete(a.work, w.id)
	a.replanWaiters(w)
}

func (a *agent) replanWaiters(w *work) {
	a.flights.End(w.id, w.names)
	waiting := a.waiters[w.id]
	delete(a.waiters, w.id)
	for _, other := range waiting {
		a.replan(other)
	}
}

// replan makes a new plan for a request whose awaited computation ended; its deadline and its position in order stay.
func (a *agent) replan(w *work) {
	if w.removed {
		return
	}
	w.pending--
	if w.pending > 0 {
		return
	}
	w.unfetched = 0
	w.plan = a.planFor(w)
	a.beginPlan(w)
}
