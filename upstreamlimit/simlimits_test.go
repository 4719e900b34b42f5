package upstreamlimit

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

// Guards against nodes that together exceed a limit, or use a small part of it, though nothing disturbs them.
func TestLimitIsKeptAndUsed(t *testing.T) {
	eachSize(t, func(t *testing.T, nodes int, limit float64) {
		s := newSim(1, nodes, limit)
		s.demandThriceTheLimit()
		s.run(time.Second)
		s.named = s.now
		s.run(6 * time.Second)
		before := s.arrived
		s.run(26 * time.Second)
		s.requireLimitKept(t)
		if used := float64(s.arrived-before) / 20; limit >= 1 {
			require.Greater(t, used, 0.7*limit, "requests a second")
			require.Less(t, used, 1.1*limit+0.5, "requests a second")
		}
	})
}

// Guards against a limit that is exceeded while questions and replies are lost or late.
func TestLimitIsKeptWithLateAndLostNews(t *testing.T) {
	for seed := range uint64(3) {
		eachSize(t, func(t *testing.T, nodes int, limit float64) {
			s := newSim(seed, nodes, limit)
			s.lost, s.delay = 0.2, time.Second
			s.demandThriceTheLimit()
			s.named = 0
			s.run(20 * time.Second)
			s.requireLimitKept(t)
		})
	}
}

// Guards against a limit that is exceeded while nodes leave and return one after another, the owners among them.
func TestLimitIsKeptWhileNodesRestart(t *testing.T) {
	for seed := range uint64(3) {
		eachSize(t, func(t *testing.T, nodes int, limit float64) {
			s := newSim(seed, nodes, limit)
			s.demandThriceTheLimit()
			s.named = 0
			for at := time.Second; at < 25*time.Second; at += s.between(300*time.Millisecond, 3*time.Second) {
				first, _ := Owners(engine, s.names())
				victim := s.nodes[s.random.IntN(nodes)]
				if s.random.IntN(2) == 0 {
					victim = s.node(first)
				}
				s.run(at)
				if victim != nil && !victim.down {
					s.restart(victim, s.between(200*time.Millisecond, 4*time.Second))
				}
			}
			s.run(30 * time.Second)
			s.requireLimitKept(t)
		})
	}
}

// Guards against two sides that hold each other for dead, both in contact with the instance, and use its whole limit each.
func TestLimitIsKeptByTwoSides(t *testing.T) {
	eachSize(t, func(t *testing.T, nodes int, limit float64) {
		s := newSim(1, nodes, limit)
		s.demandThriceTheLimit()
		s.named = 0
		s.run(5 * time.Second)
		s.parted = true
		s.run(12 * time.Second)
		// The leader drops the nodes of the other side from the list, whose nodes keep the old one.
		names := lo.FilterMap(s.nodes, func(n *simNode, _ int) (string, bool) { return n.name, s.isFirstSide(n) })
		for _, n := range s.nodes {
			if s.isFirstSide(n) {
				n.core.SetNodes(names, s.time())
			}
		}
		s.run(30 * time.Second)
		s.parted = false
		for _, n := range s.nodes {
			n.core.SetNodes(s.names(), s.time())
		}
		s.run(40 * time.Second)
		s.requireLimitKept(t)
	})
}

// Guards against two sides that use the whole limit each after they are in contact again: the lists of the nodes change one after another.
func TestLimitIsKeptOnceTwoSidesMeetAgain(t *testing.T) {
	for seed := range uint64(3) {
		eachSize(t, func(t *testing.T, nodes int, limit float64) {
			s := newSim(seed, nodes, limit)
			s.demandThriceTheLimit()
			s.named = 0
			for range 3 {
				s.run(s.now + 5*time.Second)
				s.parted = true
				s.run(s.now + 3*time.Second)
				names := lo.FilterMap(s.nodes, func(n *simNode, _ int) (string, bool) { return n.name, s.isFirstSide(n) })
				for _, n := range s.nodes {
					if s.isFirstSide(n) {
						n.core.SetNodes(names, s.time())
					}
				}
				s.run(s.now + s.between(time.Second, 6*time.Second))
				s.parted = false
				s.after(s.between(0, time.Second), s.spreadList)
			}
			s.run(s.now + 5*time.Second)
			s.requireLimitKept(t)
		})
	}
}

// Guards against an owner that is stopped, is replaced meanwhile, and goes on as if it had been the owner all the time.
func TestLimitIsKeptWhileOwnersAreStopped(t *testing.T) {
	for seed := range uint64(3) {
		eachSize(t, func(t *testing.T, nodes int, limit float64) {
			s := newSim(seed, nodes, limit)
			s.demandThriceTheLimit()
			s.named = 0
			for s.now < 25*time.Second {
				s.run(s.now + s.between(time.Second, 4*time.Second))
				first, _ := Owners(engine, s.names())
				n := s.node(first)
				n.down = true
				s.after(500*time.Millisecond, s.spreadList)
				s.run(s.now + s.between(200*time.Millisecond, 6*time.Second))
				n.down = false
				n.core.Confirm(s.time())
				n.excusedUntil = s.now + contactWindow
				s.after(s.between(0, time.Second), s.spreadList)
			}
			s.run(s.now + 5*time.Second)
			s.requireLimitKept(t)
		})
	}
}

// Guards against nodes that join one after another, each of which hands out the whole limit beside the owner before, which has not heard of it yet.
func TestLimitIsKeptWhileOwnersChange(t *testing.T) {
	const joinTime = 700 * time.Millisecond
	for seed := range uint64(3) {
		eachSize(t, func(t *testing.T, nodes int, limit float64) {
			s := newSim(seed, nodes, limit)
			// Each node that joins is the first owner from then on.
			slices.SortFunc(s.nodes, func(a, b *simNode) int { return cmp.Compare(ownerScore(engine, a.name), ownerScore(engine, b.name)) })
			members := (nodes + 1) / 2
			names := func() []string { return lo.Map(s.nodes[:members], func(n *simNode, _ int) string { return n.name }) }
			for _, n := range s.nodes {
				n.core.SetNodes(names(), s.time().Add(-time.Minute))
				s.demand(n, max(0.5, 3*limit/float64(nodes)))
			}
			s.named = 0
			s.run(5 * time.Second)
			for ; members < nodes && s.now < 30*time.Second; s.run(s.now + joinTime) {
				members++
				s.spread(names())
			}
			s.run(s.now + 5*time.Second)
			s.requireLimitKept(t)
		})
	}
}

// Guards against answers to earlier requests that name the limit before, and raise it again for all nodes.
func TestLoweredLimitIsKept(t *testing.T) {
	for seed := range uint64(3) {
		eachSize(t, func(t *testing.T, nodes int, limit float64) {
			s := newSim(seed, nodes, 4*limit+20)
			s.service = 4 * time.Second
			for _, n := range s.nodes {
				s.demand(n, max(0.5, 2*s.limit/float64(nodes)))
			}
			s.named = 0
			s.run(10 * time.Second)
			s.limit, s.counted = limit, nil
			for _, n := range s.nodes {
				n.knows = false
			}
			s.run(25 * time.Second)
			s.requireLimitKept(t)
		})
	}
}

// Guards against urgent requests that get no permit because the others take all of them, and against a reserve that leaves the limit unused.
func TestUrgentRequestsGetPermits(t *testing.T) {
	const calm, end = 10 * time.Second, 70 * time.Second
	for _, nodes := range []int{1, 3, 8, 28, 98} {
		for _, limit := range []float64{1, 1.7, 5, 20, 500} {
			t.Run(fmt.Sprintf("%d-nodes-%v", nodes, limit), func(t *testing.T) {
				t.Parallel()
				s := newSim(1, nodes, limit)
				wanted, sent := 0, 0
				for _, n := range s.nodes {
					s.demandOf(n, 2.7*limit/float64(nodes), true, func(bool) {})
					s.demandOf(n, 0.3*limit/float64(nodes), false, func(isSent bool) {
						if s.now > calm && isSent {
							sent++
						}
						if s.now > calm && !isSent {
							wanted++
						}
					})
				}
				s.named = 0
				s.run(calm)
				before := s.arrived
				s.run(end)
				s.requireLimitKept(t)
				require.Greater(t, float64(sent), 0.8*float64(wanted), "urgent requests sent")
				require.Greater(t, float64(s.arrived-before)/(end-calm).Seconds(), 0.9*limit, "requests a second")
			})
		}
	}
}

// Guards against a limit that stays low after it was raised.
func TestRaisedLimitIsUsed(t *testing.T) {
	eachSize(t, func(t *testing.T, nodes int, limit float64) {
		s := newSim(1, nodes, limit)
		for _, n := range s.nodes {
			s.demand(n, max(0.5, 3*(limit+20)/float64(nodes)))
		}
		s.named = 0
		s.run(10 * time.Second)
		s.limit += 20
		// One request in 4 s is let through at a limit of 0.
		s.run(20 * time.Second)
		before := s.arrived
		s.run(30 * time.Second)
		require.Greater(t, float64(s.arrived-before)/10, 0.7*s.limit, "requests a second")
		s.requireLimitKept(t)
	})
}

// Guards against an instance that gets no requests any more after its limit, even one of 0, has ended.
func TestInstanceIsUsedAgainAfterItsLimit(t *testing.T) {
	eachSize(t, func(t *testing.T, nodes int, limit float64) {
		s := newSim(1, nodes, limit)
		for _, n := range s.nodes {
			s.demand(n, max(1, 3*limit/float64(nodes)))
		}
		s.named = 0
		s.run(10 * time.Second)
		s.named = -1
		// One node learns of the end with a permit of probeRate, the others by its word or when they ask next.
		s.run(20 * time.Second)
		before := s.arrived
		s.run(25 * time.Second)
		wanted := 5 * max(1, 3*limit/float64(nodes)) * float64(nodes)
		require.GreaterOrEqual(t, float64(s.arrived-before), 0.4*wanted, "requests in 5 s")
	})
}
