package quarantine

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/upstreamlimit"
)

// running returns the engines that are up.
func (s *simulation) running() []*simEngine {
	return slices.DeleteFunc(slices.Clone(s.engines), func(e *simEngine) bool { return !e.up })
}

// attempt lets a node send a request to a random engine, or refuse it; a refused caller comes back.
func (s *simulation) attempt(r *simRequest) {
	s.on(r.node, func() { s.tryToSend(r) })
}

func (s *simulation) tryToSend(r *simRequest) {
	up := s.running()
	if r.sends >= 2 || r.node.starting || s.now-r.sentAt > simDeadline {
		return
	}
	if len(up) == 0 {
		s.after(s.uniform(100*time.Millisecond, 400*time.Millisecond), func() { s.attempt(r) })
		return
	}
	verdict, ok := r.node.list.Check(r.parts, s.time())
	if len(verdict.Doubtful) > 0 {
		s.askForTrials(r, verdict, slices.Sorted(slices.Values(verdict.Trials)))
		return
	}
	if !ok {
		s.refuse(r, verdict)
		return
	}
	s.sendTo(r, up)
}

// refuse lets the caller of a refused request come back.
func (s *simulation) refuse(r *simRequest, verdict Verdict) {
	s.countRefusal(r, verdict.Part)
	s.after(s.uniform(100*time.Millisecond, 400*time.Millisecond), func() { s.attempt(r) })
}

// askForTrials asks the owners of trials one after the other, and sends the request if all grant the trial.
func (s *simulation) askForTrials(r *simRequest, verdict Verdict, keys []uint64) {
	if len(keys) == 0 {
		s.on(r.node, func() {
			up := s.running()
			if again, ok := r.node.list.Check(r.parts, s.time(), verdict.Doubtful...); !ok || len(up) == 0 {
				s.refuse(r, again)
				return
			}
			s.sendTo(r, up)
		})
		return
	}
	names := lo.Map(s.nodes, func(n *simNode, _ int) string { return n.name })
	first, _ := upstreamlimit.Owners(uint32(keys[0]), names)
	owner, _ := lo.Find(s.nodes, func(n *simNode) bool { return n.name == first })
	s.afterTransfer(func() {
		s.on(owner, func() {
			wait := owner.trials.Grant(keys[0], s.time())
			s.afterTransfer(func() {
				if wait > 0 {
					s.on(r.node, func() { s.refuse(r, verdict) })
					return
				}
				s.askForTrials(r, verdict, keys[1:])
			})
		})
	})
}

// afterTransfer does something after a message between two nodes, which may be sent again after a loss.
func (s *simulation) afterTransfer(do func()) {
	delay := s.uniform(time.Millisecond, 5*time.Millisecond)
	if s.random.Float64() < s.loss {
		delay += simResendDelay
	}
	s.after(delay, do)
}

// sendTo sends a request to one of some engines.
func (s *simulation) sendTo(r *simRequest, up []*simEngine) {
	r.sends++
	if r.deadly {
		s.deadlySends = append(s.deadlySends, simSend{s.now, s.now >= r.node.inTouchFrom})
	}
	engine := up[s.random.IntN(len(up))]
	r.engine, r.started = engine, false
	engine.running[r] = true
	s.after(s.uniform(100*time.Millisecond, 900*time.Millisecond), func() { s.begin(r, engine) })
}

func (s *simulation) countRefusal(r *simRequest, part uint64) {
	if r.refused {
		return
	}
	r.refused = true
	switch part {
	case Hash(simShared):
		s.refused[simShared]++
	case Hash(simDeadly):
		s.refused[simDeadly]++
	default:
		s.refused[simDocument]++
	}
}

// begin lets an engine begin the answer to a request.
func (s *simulation) begin(r *simRequest, engine *simEngine) {
	if !engine.running[r] || r.engine != engine {
		return
	}
	if r.deadly {
		s.deadlyCrashes = append(s.deadlyCrashes, s.now)
		s.crash(engine)
		return
	}
	r.started = true
	if r.stream != nil && r.sends == 1 && !r.refused {
		r.stream.begun = append(r.stream.begun, r.sentAt)
	}
	s.served[int(r.sentAt/time.Second)]++
	s.after(time.Millisecond, func() {
		s.on(r.node, func() { r.node.list.RecordAnswer(r.parts, s.time()) })
	})
	s.after(s.uniform(300*time.Millisecond, 2*time.Second), func() {
		if r.engine == engine {
			delete(engine.running, r)
		}
	})
}
