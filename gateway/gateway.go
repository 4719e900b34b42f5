// Package gateway accepts requests from callers, forwards them to upstream instances and relays the answers.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/bytebudget"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/quarantine"
	"github.com/wasabishunt/wasabishunt/serving/coldstart"
	"github.com/wasabishunt/wasabishunt/serving/evacuation"
	"github.com/wasabishunt/wasabishunt/serving/fairshare"
	"github.com/wasabishunt/wasabishunt/serving/retrybudget"
	"github.com/wasabishunt/wasabishunt/supervise"
	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreamlimit"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Attributes are the properties of a request that its headers state.
type Attributes struct {
	ID string
	// Deadline is how long the caller waits, 0 if the request does not state it.
	Deadline time.Duration
	Key      string
	// LastEventID is the event after which a resumed stream continues.
	LastEventID string
	// Generation is set for requests to model engines.
	Generation *Generation
}

// Generation describes the prompt of a request to a model engine.
type Generation struct {
	Model        string
	PromptTokens int
	OutputTokens int
	Parts        []placement.Part
}

// Outbound holds the values that this node adds to the headers of a request to an upstream.
type Outbound struct {
	// TimeLeft is the time until the request must be answered.
	TimeLeft    time.Duration
	Instance    string
	Account     string
	LastEventID string
	// The fields from Salt on are empty for plain services.
	Salt    string
	Version uint64
	// Urgency is the priority of the request at the engine; 0 is the highest.
	Urgency int
	// Fetch and Save name a store for each part of the prompt, "" for none.
	Fetch, Save []string
	// FetchUntil is the time on the engines' clock, in ms, after which the engine stops fetching and computes the prompt
	// itself; 0 for no limit.
	FetchUntil int64
}

// Answer is the head of an upstream's response.
type Answer struct {
	RequestID string
	// NotRun is set when the upstream states that it did not run the request.
	NotRun bool
	// Replaced is set when the answer comes from another incarnation of the instance or from another weight version.
	Replaced bool
	Signed   bool
	Load     *placement.Load
	// TimePercent is how long work takes at the instance at this moment, in percent of the usual time; 0 if it is not stated.
	TimePercent int
	Version     uint64
	// Idle is how long the upstream promises to keep an idle connection open.
	Idle time.Duration
	// Leaving is set when the instance is about to stop.
	Leaving bool
	// PauseFor is how long the instance takes no requests from this node.
	PauseFor time.Duration
	// RateLimit is what the instance says of the requests that it takes from all nodes together.
	RateLimit RateLimit
}

// RateLimit is the number of requests a second that an instance takes from all nodes together, if it names one.
type RateLimit struct {
	Named     bool
	PerSecond float64
	// Malformed is set if the instance named something that is no limit.
	Malformed bool
}

// Dialect translates between HTTP headers and the types of this package.
type Dialect interface {
	Attributes(r *http.Request) (Attributes, error)
	// Request fills the headers of the request to the upstream from those of the caller.
	Request(in http.Header, out Outbound) http.Header
	Answer(r *http.Response) Answer
}

// Sets provides the published set and the weight versions that operators have named.
type Sets interface {
	Set() *trafficset.Set
	// Confirmed returns a channel that is closed once the set was the newest one at some time since the start of the
	// process.
	Confirmed() <-chan struct{}
	// Outdated reports whether a newer set must be in force by now.
	Outdated() bool
	// WantedVersion returns the newest weight version that operators have named for a model.
	WantedVersion(model string) uint64
	// RequiredVersion returns the oldest weight version of a model on which requests may begin, 0 if any may.
	RequiredVersion(model string) uint64
}

// Stores decides which parts of prompts engines fetch from and save to KV cache stores.
type Stores interface {
	// Known is closed once the contents of all stores have been reported since the start of the process.
	Known() <-chan struct{}
	// FetchDeadline returns the time on the engines' clock at which a fetch must have ended, in ms; 0 for no limit.
	FetchDeadline(limit time.Duration) int64
	// Locate returns where the leading parts are stored completely, one entry for each part. It ignores stores that need more
	// than maxFetch to deliver a part.
	Locate(salt string, shared []placement.Part, maxFetch time.Duration, links placement.LinkView) []placement.StoredPart
	// Save returns a store for each part that the engine must save, "" for none.
	Save(salt string, parts []placement.Part, zone string, links placement.LinkView) ([]string, map[string]time.Duration)
}

// Options of a Gateway.
type Options struct {
	AvailabilityZone string
	Dialect          Dialect
	Sets             Sets
	Directory        *upstreams.Directory
	Tracker          *placement.Tracker
	Pool             *upstreamconn.Pool
	Budget           *retrybudget.Budget
	Stores           Stores
	// Quarantine holds the parts of prompts that crash instances; nil if there is none.
	Quarantine *quarantine.List
	// Trials grants the trials of suspected parts; nil if this node shares the list with no other one.
	Trials *quarantine.Trials
	// Limiter keeps the limits that instances name; nil if they name none.
	Limiter *upstreamlimit.Limiter
	// Evacuations returns the list of evacuated zones, nil if there is none; nil if zones are never evacuated.
	Evacuations func() *evacuation.List
	// Cold knows which instances are cold; nil if none are. It needs a Limiter.
	Cold *coldstart.Guard
	// Shares holds the upstream time of accounts; nil if accounts are not limited to shares.
	Shares *fairshare.Ledger
	// AnswerBytes limits an answer that is not a stream, EventBytes a single event of a stream.
	AnswerBytes int64
	EventBytes  int
	// Memory bounds the bytes of bodies and answers in memory; nil means defaultMemory.
	Memory *bytebudget.Budget
	// Nodes returns the number of nodes that send to the same upstreams.
	Nodes   func() int
	Log     *zap.Logger
	Metrics gometrics.Registry
}

// Gateway is the handler of callers' requests.
type Gateway struct {
	options Options
	started time.Time
	// closing is set once answers must close the callers' connections.
	closing atomic.Bool
	// finishBy is when a stop cuts requests in progress, nil until requests must end by then.
	finishBy atomic.Pointer[time.Time]
	// running ends with EndRequests.
	running    context.Context
	endRunning context.CancelCauseFunc
	// queueLimits tracks how much queue capacity must stay free for prompts of other sizes and routes.
	queueLimits *placement.QueueLimitEstimator
	// active counts requests in progress.
	active  atomic.Int64
	crashes *crashDetector
	metrics meters
}

// New returns a Gateway.
func New(options Options) *Gateway {
	if options.AnswerBytes == 0 {
		options.AnswerBytes = defaultAnswerBytes
	}
	if options.Memory == nil {
		options.Memory = bytebudget.New(defaultMemory)
	}
	if options.Trials == nil {
		options.Trials = quarantine.NewTrials(quarantine.TrialsOptions{})
	}
	if options.EventBytes == 0 {
		options.EventBytes = defaultEventBytes
	}
	g := &Gateway{options: options, started: time.Now(), queueLimits: placement.NewQueueLimitEstimator(), metrics: newMeters(options.Metrics)}
	g.running, g.endRunning = context.WithCancelCause(context.Background())
	g.crashes = newCrashDetector(options, &g.metrics)
	_ = options.Metrics.Register("gateway.held_bytes", gometrics.NewFunctionalGauge(options.Memory.Used))
	options.Tracker.NotifyLeaving(g.applyLeaving)
	return g
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int { return int(g.active.Load()) }

const (
	// upstreamRetryAfter is the retry advice when no upstream can take a request. The instance list is read twice in that
	// time.
	upstreamRetryAfter = 400 * time.Millisecond
	// defaultBodyBytes limits request bodies if the set has no limit.
	defaultBodyBytes = 4 << 20
	// defaultDeadline applies to requests that state no deadline.
	defaultDeadline = 30 * time.Second
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.metrics.requests.Inc(1)
	c := &call{gateway: g, writer: w, request: r, started: time.Now(), exclude: map[string]bool{}}
	if g.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	var err error
	if panicked := supervise.Call(g.options.Log, "request", func() { err = c.serve() }); panicked != nil {
		err = panicked
	}
	c.finish(err)
}

// call is one request in progress.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	started time.Time

	set        *trafficset.Set
	attributes Attributes
	account    *trafficset.Account
	route      *trafficset.Route
	service    *trafficset.Service
	body       []byte
	// bodyRead is set once the whole body was read.
	bodyRead bool
	// memory holds the bytes of the body and of a buffered answer.
	memory *bytebudget.Holder
	// parts are the keys of the shared parts of the prompt.
	parts []uint64
	// tried are the doubtful parts for which the next send is a trial.
	tried []uint64
	// answerBy is the earlier of the caller's deadline and the end of the route's timeout.
	answerBy time.Time
	// deadline is when the caller stops waiting.
	deadline time.Time

	// sends is the number of times the request was sent to an upstream, sentAt when the last send began.
	sends  int
	sentAt time.Time
	// counted is set once the request has been counted by the retry budget.
	counted  bool
	exclude  map[string]bool
	answered bool
	// bound is set if an earlier send of the request has begun to answer its caller.
	bound  atomic.Bool
	status int
	// relayed counts the writes of complete stream events to the caller; lastEvent is the id of the newest such event.
	relayed   int
	lastEvent string
	// partialEvent is set while the newest bytes of a stream are the beginning of an event that was never complete.
	partialEvent bool
	instance     string
	// cached and fetched are the estimated numbers of prompt tokens in the engine's cache and fetched from stores.
	cached  int
	fetched int
	// recomputed is the estimated number of tokens of shared parts that the engine computes again; expectedFirstEvent is the
	// estimated time to the first event.
	recomputed         int
	expectedFirstEvent time.Duration
	firstByte          time.Duration
	// speedPercent is the estimated time of work at the instance relative to the usual time, 0 if estimates are not used.
	speedPercent int
	// earlierMayHaveRun is set once an earlier send ended with an unknown outcome, or ran and failed.
	earlierMayHaveRun bool
	// mover is that of the last repeatable send.
	mover *mover
	// moved is set once this node ended a send for a move.
	moved bool
	// mayHaveRun is set while a send is in progress, and stays set unless the upstream states that it did not run.
	mayHaveRun bool
	charge     shareCharge
	// prompt is the send in progress.
	prompt *promptSend
	// slow is why the connection of a caller that reads too slowly is ended, nil for others.
	slow atomic.Pointer[string]
}

func (c *call) serve() error {
	attributes, invalid := c.gateway.options.Dialect.Attributes(c.request)
	c.attributes = attributes
	if err := c.awaitSet(); err != nil {
		return err
	}
	if invalid != nil {
		return invalid
	}
	if err := c.resolve(); err != nil {
		return err
	}
	if c.attributes.Generation != nil {
		c.parts = quarantine.Keys(c.attributes.Generation.Parts)
	}
	c.setDeadlines()
	c.memory = c.gateway.options.Memory.Holder(c.memoryOwner())
	defer c.memory.Close()
	if err := c.readBody(); err != nil {
		return err
	}
	if err := c.checkStop(); err != nil {
		return err
	}
	c.awaitStores()
	ctx, cancel := context.WithDeadlineCause(c.request.Context(), c.answerBy, errNoTimeLeft)
	defer cancel()
	ctx, release := c.gateway.endWithStop(ctx)
	defer release()
	return c.forward(ctx)
}

// errNoTimeLeft is the cause of a context that ended at the request's answerBy time.
var errNoTimeLeft = failure.New(failure.DeadlineExceeded, failure.Unknown, "no time is left for the request")

// resolve looks up the route, the account and the service of the request.
func (c *call) resolve() error {
	c.route = c.set.Route(c.request.Host, c.request.URL.Path)
	if c.route == nil {
		return failure.New(failure.NotFound, failure.NotRun, "no route for %s%s", c.request.Host, c.request.URL.Path)
	}
	if !c.route.Public && c.set.RequiresKeys() {
		if c.account = c.set.Account(c.attributes.Key); c.account == nil {
			return failure.New(failure.Unauthorized, failure.NotRun, "the API key is not known")
		}
	}
	c.service = c.set.Service(c.route.Target(rand.Float64()))
	return nil
}

// callerDeadline returns how long the caller waits.
func (c *call) callerDeadline() time.Duration {
	if c.attributes.Deadline == 0 {
		return defaultDeadline
	}
	return c.attributes.Deadline
}

func (c *call) setDeadlines() {
	deadline := c.callerDeadline()
	c.deadline = c.started.Add(deadline)
	c.answerBy = c.started.Add(min(deadline, c.route.Timeout))
}
