package upstreamlimit

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/serving/coldstart"
)

const (
	// coldEngines of coldAllEngines are those of the zone that returns. A request considers coldSample of them.
	coldEngines    = 14
	coldAllEngines = 58
	coldSample     = 8
	// coldFlood is the number of requests a second of all nodes: 1.7 times 570.
	coldFlood     = 1.7 * 570
	coldPerSecond = 12.0
	// coldBoundary is the number of requests that may reach a cold engine in any second.
	coldBoundary = 23
	// coldReturn is when the zone returns, and coldEnd the end of the simulation; the engines are cold all the time.
	coldReturn = 3 * time.Second
	coldEnd    = 9 * time.Second
)

var coldBound = coldstart.Bound{Overshoot: 1.5, Slack: 5}

// coldNode is a node of the simulation.
type coldNode struct {
	name string
	core *Core
	// learnsAt is when the node learns that the zone returned.
	learnsAt time.Duration
	// wakesAt is the end of the suspension of the node: what happens to it meanwhile happens then.
	wakesAt time.Duration
	list    int
	// side is the side of a partition on which the node is; side 0 has the leader.
	side int
	gone bool
	// unlisted is set while the leader does not hear of the node, which hears of the leader.
	unlisted bool
}

// coldSend is one request that reached an engine.
type coldSend struct{ sentAt, arrivedAt time.Duration }

// coldSim plays nodes that send requests to the engines of a zone that returns. Nodes take a cold engine for the cheapest one.
type coldSim struct {
	random *rand.Rand
	queue  events
	now    time.Duration
	start  time.Time
	nodes  []*coldNode
	// lost and repeated are the shares of messages that are lost or arrive twice, delay is the longest time of one way, and opening that of
	// the opening of a connection.
	lost, repeated float64
	delay, opening time.Duration
	lists          int
	parted         bool
	sends          [coldEngines][]coldSend
	// spareShare is the share of requests that leave a reserve.
	spareShare float64
	// wanted and sent count the requests that wanted a cold engine after coldReturn and a second, and those that reached one, without and
	// with reserve.
	wanted, sent [2]int
}

func newColdSim(seed uint64, nodes int) *coldSim {
	s := &coldSim{random: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1_700_000_000, 0), delay: 3 * time.Millisecond, opening: 3 * time.Millisecond, spareShare: 0.5}
	for i := range nodes {
		n := &coldNode{name: fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200), learnsAt: coldReturn}
		n.core = NewCore(n.name)
		n.core.cold.bound = coldBound
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		n.core.SetNodes(s.names(), s.at(-2*time.Minute))
		n.core.SetNodes(s.names(), s.at(-time.Minute))
		for ago := time.Minute; ago > 0; ago -= time.Second {
			n.core.Confirm(s.at(-ago))
		}
	}
	s.confirm()
	return s
}

func (s *coldSim) at(d time.Duration) time.Time { return s.start.Add(d) }
func (s *coldSim) time() time.Time              { return s.at(s.now) }

func (s *coldSim) after(d time.Duration, do func()) { heap.Push(&s.queue, event{s.now + d, do}) }

func (s *coldSim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)+1))
}

// on does something on a node, after its suspension.
func (s *coldSim) on(n *coldNode, do func()) {
	if n.wakesAt > s.now {
		s.after(n.wakesAt-s.now, func() { s.on(n, do) })
		return
	}
	if !n.gone {
		do()
	}
}

func (s *coldSim) names() (list []string) {
	for _, n := range s.nodes {
		if !n.gone && !n.unlisted {
			list = append(list, n.name)
		}
	}
	return list
}

func (s *coldSim) node(name string) *coldNode {
	i := slices.IndexFunc(s.nodes, func(n *coldNode) bool { return n.name == name })
	return s.nodes[i]
}

// confirm lets the leader reach the nodes each half a second.
func (s *coldSim) confirm() {
	for _, n := range s.nodes {
		if !s.parted || n.side == 0 {
			s.on(n, func() { n.core.Confirm(s.time()) })
		}
	}
	s.after(500*time.Millisecond, s.confirm)
}

// spread lets the nodes learn of the current list of nodes up to a second later.
func (s *coldSim) spread() {
	s.lists++
	list, names := s.lists, s.names()
	for _, n := range s.nodes {
		if s.parted && n.side != 0 {
			continue
		}
		s.after(s.between(50*time.Millisecond, time.Second), func() {
			s.on(n, func() {
				if list > n.list {
					n.list = list
					n.core.SetNodes(names, s.time())
				}
			})
		})
	}
}

func (s *coldSim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// demand lets a node want to send so many requests a second.
func (s *coldSim) demand(n *coldNode, perSecond float64) {
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.on(n, func() {
			if s.now >= n.learnsAt {
				spare := s.random.Float64() < s.spareShare
				s.count(&s.wanted, spare)
				s.place(n, spare, 0)
			}
		})
		s.demand(n, perSecond)
	})
}

func (s *coldSim) count(counts *[2]int, spare bool) {
	switch {
	case s.now < coldReturn+time.Second:
	case spare:
		counts[1]++
	default:
		counts[0]++
	}
}

// place chooses among a sample of the engines a cold one that is not paused. Without one, the request goes to a warm engine, which is not played.
func (s *coldSim) place(n *coldNode, spare bool, denials int) {
	waits := n.core.coldWaits(s.time())
	var choices []uint32
	for _, i := range s.random.Perm(coldAllEngines)[:coldSample] {
		wait := waits[uint32(i)]
		if i < coldEngines && (spare && wait.Spare == 0 || !spare && wait.Urgent == 0) {
			choices = append(choices, uint32(i))
		}
	}
	if len(choices) > 0 && denials < 4 {
		s.acquire(n, choices[0], spare, denials, false)
	}
}

func (s *coldSim) acquire(n *coldNode, hash uint32, spare bool, denials int, again bool) {
	s.step(n, n.core.NextCold(hash, coldPerSecond, spare, s.time()), hash, spare, denials, again, 0)
}

func (s *coldSim) step(n *coldNode, step Step, hash uint32, spare bool, denials int, again bool, asked int) {
	switch {
	case step.Send:
		s.after(s.between(0, s.opening), func() { s.on(n, func() { s.send(n, step, hash, spare, denials, again) }) })
	case step.Owner == "" || asked > 1:
		if !again {
			s.place(n, spare, denials+1)
		}
	case step.Owner == n.name:
		s.step(n, n.core.Replied(step.Question, n.core.Serve(step.Question, s.time()), s.time(), s.time()), hash, spare, denials, again, asked+1)
	default:
		s.ask(n, step, hash, spare, denials, again, asked)
	}
}

// send sends the request if its permit is still valid, and takes another one otherwise, once.
func (s *coldSim) send(n *coldNode, step Step, hash uint32, spare bool, denials int, again bool) {
	if !s.time().Before(step.Until) {
		if !again {
			s.acquire(n, hash, spare, denials, true)
		}
		return
	}
	s.count(&s.sent, spare)
	s.sends[hash] = append(s.sends[hash], coldSend{s.now, s.now + s.between(time.Millisecond, s.delay)})
}

func (s *coldSim) ask(n *coldNode, step Step, hash uint32, spare bool, denials int, again bool, asked int) {
	askedAt, done, owner := s.time(), false, s.node(step.Owner)
	s.after(askTimeout, func() {
		s.on(n, func() {
			if !done {
				done = true
				n.core.Failed(step.Owner, s.time())
				s.step(n, n.core.nextColdAgain(step.Question, s.time()), hash, spare, denials, again, asked+1)
			}
		})
	})
	if s.random.Float64() < s.lost || s.parted && n.side != owner.side {
		return
	}
	deliver := func() {
		s.after(s.between(time.Millisecond, s.delay), func() {
			s.on(owner, func() {
				reply := owner.core.Serve(step.Question, s.time())
				if s.random.Float64() < s.lost {
					return
				}
				s.after(s.between(time.Millisecond, s.delay), func() {
					s.on(n, func() {
						if !done {
							done = true
							s.step(n, n.core.Replied(step.Question, reply, askedAt, s.time()), hash, spare, denials, again, asked+1)
						}
					})
				})
			})
		})
	}
	deliver()
	if s.random.Float64() < s.repeated {
		deliver()
	}
}

// most returns the highest number of requests that were sent to and reached one engine within a second.
func (s *coldSim) most() int {
	most := 0
	for _, sends := range s.sends {
		slices.SortFunc(sends, func(a, b coldSend) int { return cmp.Compare(a.arrivedAt, b.arrivedAt) })
		for i, last := range sends {
			count := 0
			for j := i; j >= 0 && last.arrivedAt-sends[j].arrivedAt <= time.Second; j-- {
				if last.arrivedAt-sends[j].sentAt <= time.Second {
					count++
				}
			}
			most = max(most, count)
		}
	}
	return most
}

func (s *coldSim) flood() {
	for _, n := range s.nodes {
		s.demand(n, coldFlood/float64(len(s.nodes)))
	}
}

// suspendSome suspends a third of the nodes, which wake up together.
func (s *coldSim) suspendSome() {
	until := s.now + s.between(100*time.Millisecond, 4*time.Second)
	for _, n := range s.nodes {
		if s.random.IntN(3) == 0 {
			n.wakesAt = max(n.wakesAt, until)
		}
	}
}

// suspendOwner suspends the first owner of an engine.
func (s *coldSim) suspendOwner() {
	if first, _ := Owners(uint32(s.random.IntN(coldEngines)), s.names()); first != "" {
		n := s.node(first)
		n.wakesAt = max(n.wakesAt, s.now+s.between(100*time.Millisecond, 6*time.Second))
	}
}

// unlistOwners lets the link of the first owners of all engines to the leader fail in one direction, so that the list leaves them out for some time.
func (s *coldSim) unlistOwners() {
	var owners []*coldNode
	for engine := range uint32(coldEngines) {
		if first, _ := Owners(engine, s.names()); first != "" && !slices.Contains(owners, s.node(first)) {
			owners = append(owners, s.node(first))
		}
	}
	for _, n := range owners {
		n.unlisted = true
	}
	s.spread()
	s.after(s.between(time.Second, 4*time.Second), func() {
		for _, n := range owners {
			n.unlisted = false
		}
		s.spread()
	})
}

// part parts the nodes into three sides for some seconds. The lists change or not.
func (s *coldSim) part() {
	if s.parted {
		return
	}
	s.parted = true
	for _, n := range s.nodes {
		n.side = s.random.IntN(3)
	}
	s.after(s.between(500*time.Millisecond, 4*time.Second), func() {
		s.parted = false
		s.spread()
	})
}

// leave lets a node leave, and join lets one that has left return with an empty core. The list changes at once.
func (s *coldSim) leave() {
	s.nodes[s.random.IntN(len(s.nodes))].gone = true
	s.spread()
}

func (s *coldSim) join() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	n.gone, n.list = false, 0
	n.core = NewCore(n.name)
	n.core.cold.bound = coldBound
	s.spread()
}
