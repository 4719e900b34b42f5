package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

const (
	simRequestRate = 39.0
	// simDown is how long an engine is down after a crash.
	simDown = 3 * time.Second
	// simReportInterval is the interval of a node's reports; simRepeat reports apart, a node repeats an unchanged state.
	simReportInterval = 50 * time.Millisecond
	simRepeat         = 8
	// simMinDelay and simMaxDelay bound the time from a report to its arrival at the other nodes.
	simMinDelay = 100 * time.Millisecond
	simMaxDelay = 200 * time.Millisecond
	// simDeadline is how long a caller comes back after refusals.
	simDeadline = 2 * time.Second
	// simResendDelay is the time after which a lost packet of a question between nodes is sent again.
	simResendDelay = 200 * time.Millisecond
	// contactWindow is the users' contact-window-ms.
	contactWindow = 3 * time.Second
)

// The parts of a prompt: simShared and then either simDeadly or one of the documents.
const simDeadly, simShared, simDocument = "deadly", "shared", "document"

type simEvent struct {
	at    time.Duration
	order int
	do    func()
}

type simEvents []simEvent

func (e simEvents) Len() int      { return len(e) }
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e *simEvents) Push(x any) { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simNode struct {
	name    string
	list    *List
	trials  *Trials
	reports int
	told    uint64
	paused  bool
	// starting is set while a node takes no requests yet.
	starting bool
	// inTouchFrom is when the node has been in touch with the others for contactWindow, by the users' definition.
	inTouchFrom time.Duration
	// queue holds what arrives while the node is paused.
	queue []func()
}

type simRequest struct {
	node   *simNode
	parts  []uint64
	deadly bool
	sentAt time.Duration
	sends  int
	// refused is set if a node refused the request at least once.
	refused bool
	engine  *simEngine
	started bool
	// stream is set for the prompts of runStreams.
	stream *simStream
}

// simSend is a send of the deadly part to an engine.
type simSend struct {
	at time.Duration
	// inTouch is set if the sending node was in touch with the others.
	inTouch bool
}

type simEngine struct {
	id      string
	up      bool
	running map[*simRequest]bool
}

// simulation is a service of some engines behind nodes that exchange their lists.
type simulation struct {
	random  *rand.Rand
	epoch   time.Time
	now     time.Duration
	queue   simEvents
	order   int
	nodes   []*simNode
	engines []*simEngine
	// deadlyFrom is when requests with the deadly part begin, deadlyShare their share.
	deadlyFrom  time.Duration
	deadlyShare float64
	// turned is set if the deadly part is the most popular document until deadlyFrom.
	turned    bool
	documents int
	rate      float64
	loss      float64
	// lateness is added to the time from a report to its arrival.
	lateness time.Duration

	// deadlyCrashes are the times of crashes by the deadly part, deadlySends of its sends to engines.
	deadlyCrashes []time.Duration
	deadlySends   []simSend
	// offered and served count sound requests by second, refused the requests that were refused for a
	// part at least once.
	offered, served map[int]int
	refused         map[string]int
	bytes           int
}

func newSimulation(seed uint64, nodes, engines int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), epoch: time.Unix(1_000_000, 0), documents: 400, rate: simRequestRate, deadlyFrom: 4 * time.Second, loss: 0.05,
		offered: map[int]int{}, served: map[int]int{}, refused: map[string]int{},
	}
	for i := range nodes {
		name := fmt.Sprint("node-", i)
		n := &simNode{name: name, list: New(name), trials: NewTrials(TrialsOptions{Self: name})}
		s.nodes = append(s.nodes, n)
		s.after(s.uniform(0, simReportInterval), func() { s.report(n) })
	}
	for i := range engines {
		s.engines = append(s.engines, &simEngine{id: fmt.Sprint("engine-", i), up: true, running: map[*simRequest]bool{}})
	}
	s.after(0, func() {
		if s.rate > 0 {
			s.arrive()
		}
	})
	return s
}

func (s *simulation) uniform(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

func (s *simulation) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, simEvent{s.now + d, s.order, do})
}

func (s *simulation) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at < until {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	s.now = until
}

func (s *simulation) time() time.Time { return s.epoch.Add(s.now) }

// on runs an action at a node, or once it is resumed.
func (s *simulation) on(n *simNode, do func()) {
	if n.paused {
		n.queue = append(n.queue, do)
		return
	}
	do()
}

func (s *simulation) resume(n *simNode) {
	n.paused, n.inTouchFrom = false, s.now+contactWindow
	queue := n.queue
	n.queue = nil
	for _, do := range queue {
		do()
	}
}

// report sends the state of a node to all others.
func (s *simulation) report(n *simNode) {
	s.on(n, func() {
		own, _ := n.list.Revision(s.time())
		n.reports++
		if own != n.told || n.reports%simRepeat == 0 {
			n.told = own
			s.send(n, &nodepb.LoadReport{Suspects: n.list.Suspects(s.time())})
		}
		s.after(simReportInterval, func() { s.report(n) })
	})
}

func (s *simulation) send(from *simNode, report *nodepb.LoadReport) {
	if len(report.GetSuspects()) == 0 {
		return
	}
	data, err := proto.Marshal(report)
	if err != nil {
		panic(err)
	}
	s.bytes += len(data)
	for _, to := range s.nodes {
		if to == from || s.random.Float64() < s.loss {
			continue
		}
		s.after(s.lateness+s.uniform(simMinDelay, simMaxDelay), func() {
			s.on(to, func() {
				received := &nodepb.LoadReport{}
				if err := proto.Unmarshal(data, received); err != nil {
					panic(err)
				}
				to.list.Apply(received.GetSuspects(), s.time())
			})
		})
	}
}

// arrive lets one request come to a random node.
func (s *simulation) arrive() {
	s.after(time.Duration(s.random.ExpFloat64()/s.rate*float64(time.Second)), s.arrive)
	node := s.nodes[s.random.IntN(len(s.nodes))]
	if node.paused || node.starting {
		return
	}
	r := &simRequest{node: node, sentAt: s.now, deadly: s.now > s.deadlyFrom && s.random.Float64() < s.deadlyShare}
	// Squaring makes some documents popular and most of them rare.
	share := s.random.Float64()
	document := fmt.Sprint(simDocument, "-", int(share*share*float64(s.documents)))
	if r.deadly || s.turned && s.now < s.deadlyFrom && document == simDocument+"-0" {
		document = simDeadly
	}
	if !r.deadly {
		s.offered[int(s.now/time.Second)]++
	}
	r.parts = []uint64{Hash(simShared), Hash(document)}
	s.attempt(r)
}

// crash ends an engine with everything in progress there; nodes notice it within 50 ms.
func (s *simulation) crash(engine *simEngine) {
	if !engine.up {
		return
	}
	engine.up = false
	lost := map[*simNode][]*simRequest{}
	for r := range engine.running {
		if !r.started {
			lost[r.node] = append(lost[r.node], r)
		}
	}
	engine.running = map[*simRequest]bool{}
	for _, n := range s.nodes {
		requests := lost[n]
		if len(requests) == 0 {
			continue
		}
		slices.SortFunc(requests, func(a, b *simRequest) int { return int(a.sentAt - b.sentAt) })
		var parts []uint64
		for _, r := range requests {
			parts = append(parts, r.parts...)
		}
		s.after(s.uniform(time.Millisecond, 50*time.Millisecond), func() {
			s.on(n, func() {
				n.list.RecordCrash(engine.id, parts, s.time())
				for _, r := range requests {
					s.after(5*time.Millisecond, func() { s.attempt(r) })
				}
			})
		})
	}
	s.after(simDown, func() { engine.up = true })
}

// lateSends returns the number of sends of the deadly part by nodes in touch later than contactWindow after the fifth
// crash.
func (s *simulation) lateSends() (n int) {
	if len(s.deadlyCrashes) < 5 {
		return 0
	}
	for _, send := range s.deadlySends {
		if send.inTouch && send.at > s.deadlyCrashes[4]+contactWindow {
			n++
		}
	}
	return n
}

// servedShare returns the share of sound requests sent within a period that were served.
func (s *simulation) servedShare(from, until time.Duration) float64 {
	offered, served := 0, 0
	for second := int(from / time.Second); second < int(until/time.Second); second++ {
		offered, served = offered+s.offered[second], served+s.served[second]
	}
	return float64(served) / float64(offered)
}

func (s *simulation) offeredTotal() (n int) {
	for _, offered := range s.offered {
		n += offered
	}
	return n
}
