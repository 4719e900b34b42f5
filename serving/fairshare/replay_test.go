package fairshare_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/serving/fairshare"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// The replayed load is that of docs/design/load-and-failback.md, part 4. Times are in ms.
const (
	engineCount  = 58
	engineMemory = 52_316
	readRate     = 50
	// eventMs is the time between two events of a stream, and outputTokens the number of events.
	eventMs, outputTokens = 46, 49
	stepMs                = 5
	replayMs              = 20_000
	burstFrom, burstUntil = 3_000, 17_000
	// sampled is the number of engines that a request considers, of which homes hold its document.
	sampled, homes = 8, 2
	nodeCount      = 6
	accountCount   = 24
	// largeAccounts send largeShare of all requests each. The first of them floods.
	largeAccounts = 3
	largeShare    = 0.15
	newsMs        = 50
	newsDelayMs   = 200
	hotShare      = 0.28
)

// route is a kind of requests.
type route struct {
	name              string
	perSecond, tokens float64
	target, limit     float64
	priority          int
	worth, worthLate  float64
	// document is the part of the prompt of a request about a key.
	document float64
}

var routes = []route{
	{"long", 109, 9190, 1500, 5000, 2, 1.2, 0.37, 0.65},
	{"short", 331, 827, 500, 15_000, 0, 2.8, 0.23, 0.3},
}

// sizes are the prompt sizes of a route, relative to its mean: the largest tenth, the next fifth and the rest.
var sizes = []struct{ share, factor float64 }{{0.1, 2}, {0.2, 1.2}, {0.7, 0.8}}

// request is one request of a caller.
type request struct {
	route, size, account int
	hot                  int
	tokens               int
	began, next          float64
	attempts             int
	node                 int
}

// job is a request at an engine.
type job struct {
	*request
	rank         int
	unread, held int
	firstAt      float64
	charged      float64
	admittedAt   float64
}

// engine reads the prompts that have memory in the order of their ranks.
type engine struct {
	waiting, running []*job
	held             int
	cached           map[string]bool
	// unread are the tokens to read by rank, and promised the memory of all jobs.
	unread   [10]int
	promised int
}

func jobOrder(a, b *job) int { return a.rank - b.rank }

// step runs an engine for stepMs and calls first for each job with its first event, and ended for each that ends.
func (e *engine) step(now float64, first, ended func(*job)) {
	e.waiting = slices.DeleteFunc(e.waiting, func(j *job) bool {
		if now-j.began > routes[j.route].limit {
			e.unread[j.rank] -= j.unread
			e.promised -= j.held
			ended(j)
			return true
		}
		return false
	})
	for len(e.waiting) > 0 && e.held+e.waiting[0].held <= engineMemory {
		e.held += e.waiting[0].held
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	budget := readRate * stepMs
	slices.SortStableFunc(e.running, jobOrder)
	for _, j := range e.running {
		if j.unread == 0 {
			continue
		}
		n := min(budget, j.unread)
		j.unread -= n
		e.unread[j.rank] -= n
		budget -= n
		if j.unread == 0 {
			j.firstAt = now + 30
			first(j)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(j *job) bool {
		if j.unread == 0 && now > j.firstAt+outputTokens*eventMs {
			e.held -= j.held
			e.promised -= j.held
			ended(j)
			return true
		}
		return false
	})
}

// tally counts requests and their outcomes.
type tally struct{ all, served, onTime float64 }

func (t *tally) fraction() float64 { return t.served / max(1, t.all) }

// outcome is the result of a replay.
type outcome struct {
	all      tally
	accounts [accountCount]tally
	routes   [2]tally
	sizes    [2][3]tally
	worth    float64
}

func (o *outcome) count(r *request, served, onTime bool) {
	for _, t := range []*tally{&o.all, &o.accounts[r.account], &o.routes[r.route], &o.sizes[r.route][r.size]} {
		t.all++
		if served {
			t.served++
		}
		if onTime {
			t.onTime++
		}
	}
	switch {
	case onTime:
		o.worth += routes[r.route].worth
	case served:
		o.worth += routes[r.route].worthLate
	}
}

func (o *outcome) log(t *testing.T, name string) {
	t.Logf("%s: worth %.0f, served %.3f, on time %.3f", name, o.worth, o.all.fraction(), o.all.onTime/o.all.all)
	for i, r := range routes {
		t.Logf("  %s: served %.3f, on time %.3f; sizes %.3f %.3f %.3f", r.name, o.routes[i].fraction(), o.routes[i].onTime/o.routes[i].all,
			o.sizes[i][0].fraction(), o.sizes[i][1].fraction(), o.sizes[i][2].fraction())
	}
	text := ""
	for i := range o.accounts {
		text += fmt.Sprintf(" %.2f", o.accounts[i].fraction())
	}
	t.Log("  accounts:" + text)
}

// delivery is a report on its way.
type delivery struct {
	at       float64
	node     string
	sequence uint64
	list     []*nodepb.AccountLoad
}

// simulate replays the load. flood multiplies the requests of the first account during the burst.
func simulate(seed uint64, shares bool, burst, flood float64) *outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	at := func(ms float64) time.Time { return start.Add(time.Duration(ms * float64(time.Millisecond))) }
	duration := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	engines := make([]*engine, engineCount)
	instances := make([]*upstreams.Instance, engineCount)
	for i := range engines {
		engines[i] = &engine{cached: map[string]bool{}}
		instances[i] = &upstreams.Instance{ID: fmt.Sprint("engine-", i)}
	}
	ledgers := make([]*fairshare.Ledger, nodeCount)
	estimators := make([]*placement.QueueLimitEstimator, nodeCount)
	for i := range ledgers {
		ledgers[i], estimators[i] = fairshare.New(), placement.NewQueueLimitEstimator()
	}
	out := &outcome{}
	var pending []*request
	var news []delivery
	var due [2]float64
	sequence, seeds := uint64(0), 0
	key := func(r *request) fairshare.Key { return fairshare.NewKey("engines", fmt.Sprint("account-", r.account)) }
	account := func(flood float64) int {
		draw := random.Float64() * (1 + (flood-1)*largeShare)
		if draw >= 1 {
			return 0
		}
		if draw < largeAccounts*largeShare {
			return int(draw / largeShare)
		}
		return largeAccounts + random.IntN(accountCount-largeAccounts)
	}
	send := func(now float64, r *request) (retry float64, refused bool) {
		kind := &routes[r.route]
		left := kind.limit - (now - r.began)
		if left <= 0 {
			return 0, true
		}
		urgency := placement.Urgency{Priority: kind.priority, PromptTokens: r.tokens}
		document := fmt.Sprint("document-", r.route, "-", r.hot)
		parts := []placement.Part{{ID: document, Tokens: int(kind.document * float64(r.tokens))}, {Tokens: r.tokens - int(kind.document*float64(r.tokens))}}
		seeds++
		q := &placement.Request{Seed: fmt.Sprint(seeds), Parts: parts, Tokens: r.tokens, CacheTokens: engineMemory, Urgency: urgency}
		candidates := make([]placement.Candidate, 0, sampled)
		for k := range sampled {
			i := random.IntN(engineCount)
			if k < homes {
				i = (r.route*7 + r.hot + k) % engineCount
			}
			e := engines[i]
			c := placement.Candidate{Instance: instances[i], ReadRate: readRate, Requests: len(e.running) + len(e.waiting), MemoryShare: 1}
			if r.route == 1 {
				c.MemoryShare = 0
			}
			c.HeldTokens = int(1.3 * float64(e.promised))
			for rank, tokens := range e.unread {
				c.PrefillTokens += tokens
				if rank <= urgency.Rank() {
					c.AheadTokens += tokens
				}
			}
			if e.cached[document] {
				c.CachedParts, c.CachedTokens = 1, parts[0].Tokens
			}
			candidates = append(candidates, c)
		}
		best := placement.Pick(q, candidates)
		f := placement.EstimateFirstEvent(q, best)
		requirements := placement.Requirements{
			Target: duration(kind.target), TimeLeft: duration(left), Short: urgency.IsShort(),
			Limits: estimators[r.node].Observe("engines", kind.name, urgency, duration(kind.target), f.Service, at(now)),
		}
		ledger := ledgers[r.node]
		if shares {
			requirements.Factor = ledger.Decide(key(r), f.Wait, requirements.Target, at(now)).Factor
		}
		admitted, retryAfter := placement.Admit(requirements, f)
		if !admitted {
			ledger.Refused(key(r), at(now))
			return float64(retryAfter.Milliseconds()), true
		}
		ledger.Admitted(key(r), f.Read, at(now))
		plan := placement.PlanPrefill(q, best)
		i := slices.Index(instances, best.Instance)
		engines[i].cached[document] = true
		j := &job{request: r, rank: urgency.Rank(), unread: max(1, plan.Tokens), held: r.tokens + outputTokens, charged: float64(f.Read.Milliseconds()), admittedAt: now}
		engines[i].unread[j.rank] += j.unread
		engines[i].promised += j.held
		engines[i].waiting = append(engines[i].waiting, j)
		slices.SortStableFunc(engines[i].waiting, jobOrder)
		return 0, false
	}
	for now := 0.0; now < replayMs+15_000; now += stepMs {
		rate, floodNow := 1.0, 1.0
		if now >= burstFrom && now < burstUntil {
			rate, floodNow = burst, flood
		}
		for i := range routes {
			if now >= replayMs {
				break
			}
			for due[i] += rate * (1 + (floodNow-1)*largeShare) * routes[i].perSecond * stepMs / 1000; due[i] >= 1; due[i]-- {
				r := &request{route: i, account: account(floodNow), began: now, next: now, node: random.IntN(nodeCount), hot: random.IntN(100_000) + 1}
				if random.Float64() < hotShare {
					r.hot = 0
				}
				draw := random.Float64()
				for draw > sizes[r.size].share && r.size < len(sizes)-1 {
					draw -= sizes[r.size].share
					r.size++
				}
				r.tokens = int(sizes[r.size].factor * routes[i].tokens)
				pending = append(pending, r)
			}
		}
		var later []*request
		for _, r := range pending {
			if r.next > now {
				later = append(later, r)
				continue
			}
			retry, refused := send(now, r)
			if !refused {
				continue
			}
			// Callers repeat refused requests early and often.
			r.attempts++
			if r.next = now + max(50, retry/2); r.attempts < 8 && r.next < r.began+routes[r.route].limit {
				later = append(later, r)
				continue
			}
			out.count(r, false, false)
		}
		pending = later
		for _, e := range engines {
			e.step(now, func(j *job) {
				took := j.firstAt - j.began
				out.count(j.request, true, took <= routes[j.route].target)
			}, func(j *job) {
				if j.unread > 0 {
					out.count(j.request, false, false)
					return
				}
				if rest := float64(j.held)/engineMemory*(now-j.admittedAt) - j.charged; rest > 0 {
					ledgers[j.node].Add(key(j.request), duration(rest), at(now))
				}
			})
		}
		if int(now)%newsMs == 0 {
			sequence++
			for i, ledger := range ledgers {
				if list := ledger.Report(sequence, at(now)); list != nil {
					news = append(news, delivery{now + newsDelayMs, fmt.Sprint("node-", i), sequence, list})
				}
			}
		}
		news = slices.DeleteFunc(news, func(d delivery) bool {
			if d.at > now {
				return false
			}
			for i, ledger := range ledgers {
				if name := fmt.Sprint("node-", i); name != d.node {
					ledger.ApplyReport(d.node, d.sequence, d.list, at(now))
				}
			}
			return true
		})
	}
	return out
}

func requireFloors(t *testing.T, o *outcome) {
	t.Helper()
	for i := range o.accounts {
		require.GreaterOrEqual(t, o.accounts[i].fraction(), 0.25*o.all.fraction(), "account %d", i)
	}
	for i := range routes {
		require.GreaterOrEqual(t, o.routes[i].fraction(), 0.25*o.all.fraction(), "route %s", routes[i].name)
		for size := range 2 {
			require.GreaterOrEqual(t, o.sizes[i][size].fraction(), 0.5*o.routes[i].fraction(), "route %s, size %d", routes[i].name, size)
		}
	}
	require.GreaterOrEqual(t, o.routes[1].fraction(), o.routes[0].fraction()-0.05, "the urgent route against the other")
}

// Guards against served fractions below the floors with the load of a deployment of 58 engines in a burst of 1.7 times its traffic, and
// against a flood of a large account that takes the engines from the small accounts.
func TestBurstOfCompetingAccounts(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		for _, flood := range []float64{1, 6} {
			t.Run(fmt.Sprintf("seed %d, flood %v", seed, flood), func(t *testing.T) {
				t.Parallel()
				before, after := simulate(seed, false, 1.7, flood), simulate(seed, true, 1.7, flood)
				before.log(t, "without shares")
				after.log(t, "with shares")
				requireFloors(t, after)
				gain := 0.0
				for i := largeAccounts; i < accountCount; i++ {
					require.GreaterOrEqual(t, after.accounts[i].fraction(), before.accounts[i].fraction()-0.03, "small account %d", i)
					gain += (after.accounts[i].fraction() - before.accounts[i].fraction()) / (accountCount - largeAccounts)
				}
				require.Greater(t, gain, 0.03, "small accounts are served before the large ones")
				require.Greater(t, after.worth, 0.98*before.worth)
			})
		}
	}
}
