package upstreamlimit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// contactWindow is the time after which a limit must be kept, knownAfter the time after which a node counts as knowing it.
	contactWindow = 3 * time.Second
	knownAfter    = 500 * time.Millisecond
	// window, factor and slack say how many requests an instance may get: factor times what its limit allows in the window, and slack.
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
)

// event is something that happens in the simulation at a time since its start.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simNode is a node of the simulation.
type simNode struct {
	name string
	core *Core
	// down is set while the node does not answer questions and sends nothing.
	down bool
	// list is the number of its list of nodes.
	list int
	// knowsAt is when the node first had an answer with the limit, and excusedUntil the end of its restart.
	knowsAt      time.Duration
	knows        bool
	excusedUntil time.Duration
}

// sim plays nodes that send requests to one instance with a limit.
type sim struct {
	random *rand.Rand
	queue  events
	now    time.Duration
	start  time.Time
	nodes  []*simNode
	limit  float64
	// named is since when the instance has its limit, negative while it has none.
	named time.Duration
	// parted is set for two sides, the first and the second half of the nodes, between which no question passes. The first one has the leader.
	parted bool
	// lost is the share of questions that are lost, delay the longest time of one way.
	lost  float64
	delay time.Duration
	// list is the number of the newest list of nodes.
	list int
	// service is the longest time until an answer.
	service time.Duration
	// counted are the arrivals of requests from nodes that know the limit, arrived all of them.
	counted []time.Duration
	arrived int
}

const simAskTimeout = 100 * time.Millisecond

func newSim(seed uint64, nodes int, limit float64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1_700_000_000, 0), limit: limit, named: -1, delay: 3 * time.Millisecond, service: 300 * time.Millisecond}
	for i := range nodes {
		n := &simNode{name: fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200)}
		n.core = NewCore(n.name)
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		n.core.SetNodes(s.names(), s.time().Add(-time.Minute))
	}
	s.confirm()
	return s
}

func (s *sim) time() time.Time                  { return s.start.Add(s.now) }
func (s *sim) after(d time.Duration, do func()) { heap.Push(&s.queue, event{s.now + d, do}) }
func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

// isFirstSide reports whether a node is on the side with the leader.
func (s *sim) isFirstSide(n *simNode) bool { return slices.Index(s.nodes, n) < (len(s.nodes)+1)/2 }

// confirm lets the leader reach the nodes each half a second.
func (s *sim) confirm() {
	for _, n := range s.nodes {
		if !n.down && (!s.parted || s.isFirstSide(n)) {
			n.core.Confirm(s.time())
		}
	}
	s.after(500*time.Millisecond, s.confirm)
}

func (s *sim) names() (list []string) {
	for _, n := range s.nodes {
		if !n.down {
			list = append(list, n.name)
		}
	}
	return list
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// demand lets a node want to send with exponential pauses.
func (s *sim) demand(n *simNode, perSecond float64) { s.demandOf(n, perSecond, false, func(bool) {}) }

// demandOf is demand for spare requests or others. It calls observe when a node wants to send and when it sends.
func (s *sim) demandOf(n *simNode, perSecond float64, spare bool, observe func(isSent bool)) {
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if !n.down {
			observe(false)
			s.step(n, n.core.Next(engine, spare, s.time()), 0, func() { observe(true) })
		}
		s.demandOf(n, perSecond, spare, observe)
	})
}

// demandThriceTheLimit lets all nodes together want three times the limit, and each of them a request in 2 s at least.
func (s *sim) demandThriceTheLimit() {
	for _, n := range s.nodes {
		s.demand(n, max(0.5, 3*s.limit/float64(len(s.nodes))))
	}
}

func (s *sim) node(name string) *simNode {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// step does what the core of a node decided for one request.
func (s *sim) step(n *simNode, step Step, asked int, sent func()) {
	switch {
	case step.Send:
		sent()
		s.send(n)
	case step.Owner == "" || asked > 1:
	case step.Owner == n.name:
		s.step(n, n.core.Replied(step.Question, n.core.Serve(step.Question, s.time()), s.time(), s.time()), asked+1, sent)
	default:
		s.ask(n, step, asked, sent)
	}
}

func (s *sim) ask(n *simNode, step Step, asked int, sent func()) {
	askedAt, core, done := s.time(), n.core, false
	owner := s.node(step.Owner)
	s.after(simAskTimeout, func() {
		if !done && n.core == core {
			done = true
			core.Failed(step.Owner, s.time())
			s.step(n, core.Next(engine, step.Question.Spare, s.time()), asked+1, sent)
		}
	})
	if s.random.Float64() < s.lost || s.parted && s.isFirstSide(n) != s.isFirstSide(owner) {
		return
	}
	s.after(s.between(time.Millisecond, s.delay), func() {
		if owner.down {
			return
		}
		reply := owner.core.Serve(step.Question, s.time())
		s.after(s.between(time.Millisecond, s.delay), func() {
			if !done && n.core == core && !n.down {
				done = true
				s.step(n, core.Replied(step.Question, reply, askedAt, s.time()), asked+1, sent)
			}
		})
	})
}

// send lets a request reach the instance, and its answer the node.
func (s *sim) send(n *simNode) {
	sentAt, core := s.time(), n.core
	s.after(s.between(time.Millisecond, 3*time.Millisecond), func() {
		s.arrived++
		// The engine may write the head of its answer when it takes the request.
		limited, named := s.named >= 0, s.limit
		if limited && s.now-s.named >= contactWindow && n.knows && s.now-n.knowsAt >= knownAfter && s.now >= n.excusedUntil {
			s.counted = append(s.counted, s.now)
		}
		s.after(s.between(time.Millisecond, s.service), func() {
			if n.core != core {
				return
			}
			if !limited {
				if core.NotNamed(engine, sentAt, s.time()) == Ended {
					s.tell(func(other *Core) { other.NotNamed(engine, sentAt, s.time()) })
				}
				return
			}
			if change := core.Named(engine, named, sentAt, s.time()); change != Unchanged {
				notice, _ := core.notices.Known(engine)
				s.tell(func(other *Core) { other.Told(engine, notice.PerSecond, notice.At, s.time()) })
			}
			if !n.knows && named == s.limit {
				n.knows, n.knowsAt = true, s.now
			}
		})
	})
}

// tell lets the nodes hear of a change, some of them late or not at all.
func (s *sim) tell(apply func(core *Core)) {
	for _, n := range s.nodes {
		if s.random.Float64() < 0.3 {
			continue
		}
		core := n.core
		s.after(s.between(20*time.Millisecond, time.Second), func() { apply(core) })
	}
}

// restart lets a node be away and come back with an empty core. The lists of the others change up to a second later.
func (s *sim) restart(n *simNode, away time.Duration) {
	n.down = true
	s.spreadList()
	s.after(away, func() {
		n.down, n.knows = false, false
		n.excusedUntil = s.now + contactWindow
		n.core = NewCore(n.name)
		s.spreadList()
	})
}

// spreadList lets the nodes learn of the list of the nodes that are up.
func (s *sim) spreadList() { s.spread(s.names()) }

// spread lets the nodes learn of a list, in the order of the lists.
func (s *sim) spread(names []string) {
	s.list++
	list := s.list
	for _, n := range s.nodes {
		s.after(s.between(100*time.Millisecond, time.Second), func() {
			if !n.down && list > n.list {
				n.list = list
				n.core.SetNodes(names, s.time())
			}
		})
	}
}

func (s *sim) requireLimitKept(t *testing.T) {
	t.Helper()
	first := 0
	for last, at := range s.counted {
		for at-s.counted[first] > window {
			first++
		}
		require.LessOrEqual(t, float64(last-first+1), factor*window.Seconds()*s.limit+slack, "at %v", at)
	}
}

var (
	simNodes  = []int{1, 3, 6, 28, 98, 300}
	simLimits = []float64{0, 0.2, 1, 1.7, 20, 500}
)

func eachSize(t *testing.T, play func(t *testing.T, nodes int, limit float64)) {
	for _, nodes := range simNodes {
		for _, limit := range simLimits {
			t.Run(fmt.Sprintf("%d-nodes-%v", nodes, limit), func(t *testing.T) {
				t.Parallel()
				play(t, nodes, limit)
			})
		}
	}
}
