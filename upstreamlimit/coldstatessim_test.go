package upstreamlimit

import (
	"fmt"
	"time"

	"github.com/wasabishunt/wasabishunt/serving/coldstart"
	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

const (
	// statesLag is the age of the content of the instance list at its read, statesRead the time between two reads.
	statesLag  = 800 * time.Millisecond
	statesRead = 500 * time.Millisecond
	// statesZones is the number of zones of the nodes, each with a relay of reports.
	statesZones = 3
	// statesStream is how long a stream runs at most.
	statesStream = 2 * time.Second
	statesEnd    = 12 * time.Second
)

var statesLimit = trafficset.ColdLimit{PerSecond: coldPerSecond, Duration: 3 * time.Second}

// statesConn is the connection that a node keeps to an engine.
type statesConn struct {
	open, warm bool
	process    int
}

// statesNode is a node with its states of the engines.
type statesNode struct {
	*coldNode
	zone   int
	states coldstart.States
	// zoneState is what the node knows of the evacuation of the engines' zone.
	zoneState coldstart.Zone
	coldUntil [coldEngines]time.Time
	// confirmedAt is the last word of the leader.
	confirmedAt time.Time
	kept        [coldEngines]statesConn
	// avoided is until when the node sends nothing to an engine that refused a connection.
	avoided [coldEngines]time.Duration
}

// statesEngine is an engine with a sequence of processes.
type statesEngine struct {
	up        bool
	process   int
	startedAt time.Duration
	streams   []statesStreamOf
}

type statesStreamOf struct {
	node  *statesNode
	until time.Duration
}

// statesSim plays nodes that learn of restarts of engines from broken streams, refused connections, reports and the instance list, and take permits.
type statesSim struct {
	*coldSim
	members []*statesNode
	engines [coldEngines]statesEngine
	hashes  [coldEngines]uint32
	byHash  map[uint32]int
	// report is the longest time of a report on its way; lostReports and repeatedReports are the shares of those that are lost or arrive twice.
	report                       time.Duration
	lostReports, repeatedReports float64
	// avoid is how long a node avoids an engine that refused a connection.
	avoid time.Duration
	log   []string
}

func (s *statesSim) instance(n *statesNode, engine int) *upstreams.Instance {
	return &upstreams.Instance{ID: fmt.Sprint("e", engine), Born: 1, ColdUntil: n.coldUntil[engine]}
}

func newStatesSim(seed uint64, nodes int, kept float64) *statesSim {
	s := &statesSim{coldSim: newColdSim(seed, nodes), byHash: map[uint32]int{}, report: 100 * time.Millisecond}
	for i := range s.engines {
		s.engines[i] = statesEngine{up: true, startedAt: -time.Hour}
		s.hashes[i] = (&upstreams.Instance{ID: fmt.Sprint("e", i), Born: 1}).Key().Hash()
		s.byHash[s.hashes[i]] = i
	}
	for i, n := range s.nodes {
		member := &statesNode{coldNode: n, zone: i % statesZones, confirmedAt: s.time()}
		for engine := range member.kept {
			// Connections from before the simulation are to processes that run for long.
			open := s.random.Float64() < kept
			member.kept[engine] = statesConn{open: open, warm: open}
		}
		s.members = append(s.members, member)
		s.reports(member)
	}
	s.read()
	return s
}

func (s *statesSim) note(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%v ", s.now)+fmt.Sprintf(format, args...))
}

func (n *statesNode) list() coldstart.List {
	return coldstart.List{ContentAt: n.confirmedAt.Add(-upstreams.CopyMargin - statesLag)}
}

// read lets the leader read the list, and tell the nodes.
func (s *statesSim) read() {
	var left [coldEngines]time.Duration
	content := s.now - statesLag
	for i, e := range s.engines {
		if e.startedAt <= content {
			left[i] = max(0, e.startedAt+statesLimit.Duration-content)
		}
	}
	for _, n := range s.members {
		s.after(s.between(10*time.Millisecond, 300*time.Millisecond), func() {
			s.on(n.coldNode, func() {
				for i, d := range left {
					if until := s.time().Add(d + 150*time.Millisecond); d > 0 && until.Sub(n.coldUntil[i]) > 150*time.Millisecond {
						n.coldUntil[i] = until
					}
				}
				n.confirmedAt = s.time()
			})
		})
	}
	s.after(statesRead, s.read)
}

// message lets something arrive at a node, once, twice or never.
func (s *statesSim) message(n *statesNode, do func()) {
	if s.random.Float64() < s.lostReports {
		return
	}
	deliver := func() { s.after(s.between(time.Millisecond, s.report), func() { s.on(n.coldNode, do) }) }
	deliver()
	if s.random.Float64() < s.repeatedReports {
		deliver()
	}
}

// reports lets a node report to the relay of its zone, and the relay to all nodes.
func (s *statesSim) reports(n *statesNode) {
	s.after(s.between(25*time.Millisecond, 75*time.Millisecond), func() {
		s.on(n.coldNode, func() {
			for i := range s.engines {
				n.states.Forget(s.instance(n, i), n.list())
			}
			relay := s.members[n.zone]
			if n != relay {
				s.tell(relay, n.states.News(false, 96, s.time()), true)
				return
			}
			news := n.states.News(true, 96, s.time())
			for _, to := range s.members {
				if to != n {
					s.tell(to, news, false)
				}
			}
		})
		s.reports(n)
	})
}

func (s *statesSim) tell(to *statesNode, news []coldstart.News, zone bool) {
	if len(news) == 0 {
		return
	}
	s.message(to, func() {
		for _, heard := range news {
			at, engine := s.time().Add(-heard.Age), s.byHash[heard.Hash]
			if !to.list().ShowsWarmSince(s.instance(to, engine), at) {
				to.states.Heard(heard.Hash, at, s.time().Add(min(heard.Left, statesLimit.Duration)), zone, s.time())
			}
		}
	})
}

// restart ends the process of an engine, and starts the next one after a time.
func (s *statesSim) restart(engine int, outage time.Duration) {
	e := &s.engines[engine]
	if !e.up {
		return
	}
	s.note("engine %d ends for %v with %d streams", engine, outage, len(e.streams))
	e.up = false
	for _, stream := range e.streams {
		if stream.until > s.now {
			s.after(s.between(time.Millisecond, 20*time.Millisecond), func() {
				s.on(stream.node.coldNode, func() {
					stream.node.states.Sign(s.hashes[engine], statesLimit, s.time())
				})
			})
		}
	}
	e.streams = nil
	s.after(outage, func() { e.up, e.process, e.startedAt = true, e.process+1, s.now })
}

// demandOf lets a node want to send so many requests a second.
func (s *statesSim) demandOf(n *statesNode, perSecond float64) {
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		s.on(n.coldNode, func() { s.choose(n, s.random.Float64() < s.spareShare, 0) })
		s.demandOf(n, perSecond)
	})
}

// needsPermit reports whether a request of a node needs a permit, on the connection that it keeps or on a new one.
func (s *statesSim) needsPermit(n *statesNode, engine int, warm bool) bool {
	need, _ := n.states.Need(s.instance(n, engine), statesLimit, n.list(), n.zoneState, s.time())
	return need == coldstart.AllConnections || need == coldstart.NewConnections && !warm
}

func (s *statesSim) hasWarm(n *statesNode, engine int) bool {
	kept := n.kept[engine]
	return kept.open && kept.warm && s.engines[engine].up && kept.process == s.engines[engine].process
}

// choose chooses among a sample of the engines. One that started lately has no queue, and looks like the best to a node that does not pause it.
func (s *statesSim) choose(n *statesNode, spare bool, denials int) {
	if denials >= 4 || n.zoneState.Evacuated {
		return
	}
	waits := n.core.coldWaits(s.time())
	chosen, idle := -1, false
	for _, i := range s.random.Perm(coldAllEngines)[:coldSample] {
		if i >= coldEngines {
			if chosen < 0 {
				// A warm engine that is not played.
				chosen = i
			}
			continue
		}
		wait := waits[uint32(i)]
		paused := spare && wait.Spare > 0 || !spare && wait.Urgent > 0
		if s.now < n.avoided[i] || paused && s.needsPermit(n, i, s.hasWarm(n, i)) {
			continue
		}
		if started := s.engines[i].startedAt; chosen < 0 || !idle && started > 0 && s.now >= started {
			chosen, idle = i, started > 0 && s.now >= started
		}
	}
	if chosen < 0 || chosen >= coldEngines {
		return
	}
	if s.needsPermit(n, chosen, s.hasWarm(n, chosen)) {
		s.permit(n, chosen, spare, denials, func(until time.Time) { s.connect(n, chosen, spare, denials, until) })
		return
	}
	s.connect(n, chosen, spare, denials, time.Time{})
}

// permit takes a permit, and calls back with its end.
func (s *statesSim) permit(n *statesNode, engine int, spare bool, denials int, then func(until time.Time)) {
	s.next(n, n.core.NextCold(uint32(engine), coldPerSecond, spare, s.time()), spare, denials, 0, then)
}

func (s *statesSim) next(n *statesNode, step Step, spare bool, denials, asked int, then func(until time.Time)) {
	switch {
	case step.Send:
		then(step.Until)
	case step.Owner == "" || asked > 1:
		s.choose(n, spare, denials+1)
	case step.Owner == n.name:
		s.next(n, n.core.Replied(step.Question, n.core.Serve(step.Question, s.time()), s.time(), s.time()), spare, denials, asked+1, then)
	default:
		s.question(n, step, func(reply *Reply, askedAt time.Time) {
			if reply == nil {
				n.core.Failed(step.Owner, s.time())
				s.next(n, n.core.nextColdAgain(step.Question, s.time()), spare, denials, asked+1, then)
				return
			}
			s.next(n, n.core.Replied(step.Question, *reply, askedAt, s.time()), spare, denials, asked+1, then)
		})
	}
}

// question asks an owner, and calls back once, with nil if there is no answer in time.
func (s *statesSim) question(n *statesNode, step Step, then func(reply *Reply, askedAt time.Time)) {
	askedAt, done, owner := s.time(), false, s.node(step.Owner)
	end := func(reply *Reply) {
		s.on(n.coldNode, func() {
			if !done {
				done = true
				then(reply, askedAt)
			}
		})
	}
	s.after(askTimeout, func() { end(nil) })
	if s.random.Float64() < s.lost {
		return
	}
	deliver := func() {
		s.after(s.between(time.Millisecond, s.delay), func() {
			s.on(owner, func() {
				reply := owner.core.Serve(step.Question, s.time())
				if s.random.Float64() >= s.lost {
					s.after(s.between(time.Millisecond, s.delay), func() { end(&reply) })
				}
			})
		})
	}
	deliver()
	if s.random.Float64() < s.repeated {
		deliver()
	}
}

// connect takes the kept connection or opens one, as the gateway does, and sends the request.
func (s *statesSim) connect(n *statesNode, engine int, spare bool, denials int, until time.Time) {
	e, conn := &s.engines[engine], n.kept[engine]
	if conn.open && e.up && conn.process == e.process {
		s.release(n, engine, conn, spare, denials, until)
		return
	}
	n.kept[engine] = statesConn{}
	s.after(s.between(time.Millisecond, s.opening), func() {
		s.on(n.coldNode, func() {
			if !e.up {
				n.states.Sign(s.hashes[engine], statesLimit, s.time())
				n.avoided[engine] = s.now + s.avoid
				return
			}
			if conn.open {
				n.states.Sign(s.hashes[engine], statesLimit, s.time())
			}
			n.states.Reached(s.hashes[engine], s.time())
			opened := statesConn{open: true, process: e.process, warm: !s.needsPermit(n, engine, false)}
			s.release(n, engine, opened, spare, denials, until)
		})
	})
}

// release sends the request if it may be sent now, and takes another permit otherwise, once.
func (s *statesSim) release(n *statesNode, engine int, conn statesConn, spare bool, denials int, until time.Time) {
	n.kept[engine] = conn
	if s.time().Before(until) || !s.needsPermit(n, engine, conn.warm) {
		s.sendOn(n, engine, conn, !until.IsZero())
		return
	}
	s.permit(n, engine, spare, denials, func(until time.Time) {
		if s.time().Before(until) {
			s.sendOn(n, engine, conn, true)
		}
	})
}

func (s *statesSim) sendOn(n *statesNode, engine int, conn statesConn, permitted bool) {
	e := &s.engines[engine]
	if permitted {
		n.states.Sent(s.hashes[engine], s.time())
	}
	sent, arrival := s.now, s.between(time.Millisecond, s.delay)
	s.after(arrival, func() {
		if !e.up || e.process != conn.process {
			return
		}
		e.streams = append(e.streams, statesStreamOf{n, s.now + s.between(0, statesStream)})
		if s.now-e.startedAt < statesLimit.Duration {
			s.sends[engine] = append(s.sends[engine], coldSend{sent, s.now})
		}
	})
}

// evacuate evacuates the zone of the engines from the start until returnAt, of which the nodes learn up to a time later.
func (s *statesSim) evacuate(returnAt, late time.Duration) {
	for _, n := range s.members {
		n.zoneState.Evacuated = true
		s.after(returnAt+s.between(0, late), func() {
			s.on(n.coldNode, func() {
				if n.zoneState.Evacuated {
					n.zoneState = coldstart.Zone{ReturnedAt: s.time()}
				}
			})
		})
	}
	s.after(returnAt, func() {
		for i := range s.engines {
			s.engines[i].startedAt = s.now
		}
	})
}

// startAnew lets a node start anew after the return. Its first list of evacuations is empty, and its first instance list is an old one.
func (s *statesSim) startAnew(n *statesNode) {
	n.core = NewCore(n.name)
	n.core.cold.bound = coldBound
	n.core.SetNodes(s.names(), s.time())
	n.core.Confirm(s.time())
	n.states, n.kept = coldstart.States{}, [coldEngines]statesConn{}
	n.zoneState, n.coldUntil = coldstart.Zone{LearnedAt: s.time()}, [coldEngines]time.Time{}
	n.confirmedAt = s.time()
}

func (s *statesSim) floodOf() {
	for _, n := range s.members {
		s.demandOf(n, coldFlood/float64(len(s.members)))
	}
}
