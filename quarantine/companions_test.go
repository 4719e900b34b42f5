package quarantine

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// companionSeeds multiplies the number of seeds.
var companionSeeds = flag.Uint64("companion-seeds", 1, "multiplies the seeds of TestSoundPromptsBesideADeadlyCompanion")

// simStream is a stream of prompts with the same shared parts.
type simStream struct {
	parts []string
	// rate is the number of prompts per second.
	rate        float64
	from, until time.Duration
	// offered and begun are the times of the prompts, and of those whose first attempt was answered.
	offered, begun []time.Duration
}

// companionsFrom is when a part becomes deadly.
const companionsFrom = 2 * time.Second

// isDeadly reports whether the prompts of a stream have a part that crashes engines.
func (st *simStream) isDeadly(deadly string) bool {
	return st.until > companionsFrom && slices.Contains(st.parts, deadly)
}

// begunShare returns the share of the prompts from a time on whose first attempt was answered.
func (st *simStream) begunShare(from time.Duration) (share float64, offered int) {
	count := func(times []time.Duration) (n int) {
		for _, at := range times {
			if at >= from {
				n++
			}
		}
		return n
	}
	offered = count(st.offered)
	return float64(count(st.begun)) / float64(max(1, offered)), offered
}

// runStreams sends the prompts of some streams, each at random nodes.
func (s *simulation) runStreams(deadly string, streams []*simStream, until time.Duration) {
	s.rate = 0
	for _, st := range streams {
		var next func()
		next = func() {
			if s.now >= st.until {
				return
			}
			s.after(s.uniform(time.Duration(0.5/st.rate*float64(time.Second)), time.Duration(1.5/st.rate*float64(time.Second))), next)
			r := &simRequest{node: s.nodes[s.random.IntN(len(s.nodes))], sentAt: s.now, deadly: st.isDeadly(deadly), stream: st}
			for _, part := range st.parts {
				r.parts = append(r.parts, Hash(part))
			}
			st.offered = append(st.offered, s.now)
			s.attempt(r)
		}
		s.after(st.from, next)
	}
	s.run(until)
}

// companionCase is a deadly part that comes with sound ones, which other prompts have without it.
type companionCase struct {
	name    string
	deadly  string
	streams []*simStream
}

// companionCases returns new streams for each run. The rates are those of all nodes together.
func companionCases() []companionCase {
	const start, end = companionsFrom, 32 * time.Second
	always := func(rate float64, parts ...string) *simStream {
		return &simStream{parts: parts, rate: rate, from: start, until: end}
	}
	later := func(rate float64, parts ...string) *simStream {
		return &simStream{parts: parts, rate: rate, from: 12 * time.Second, until: end}
	}
	earlier := func(rate float64, parts ...string) *simStream {
		return &simStream{parts: parts, rate: rate, until: start}
	}
	return []companionCase{
		{"document before the deadly annex", "annex", []*simStream{always(7.5, "doc", "annex"), always(2.5, "doc")}},
		{"deadly document before the annex", "doc", []*simStream{always(7.5, "doc", "annex"), always(2.5, "annex")}},
		{"sound prompts come later", "annex", []*simStream{always(10, "doc", "annex"), later(10, "doc")}},
		{"rare sound prompts", "annex", []*simStream{always(5, "doc", "annex"), always(1, "doc")}},
		{"deadly prompts without the companion come later", "annex", []*simStream{always(10, "doc", "annex"), later(10, "annex"), later(5, "doc")}},
		{"many deadly prompts without the companion", "doc", []*simStream{always(10, "doc", "annex"), later(40, "doc"), later(5, "annex")}},
		{"three parts", "c", []*simStream{always(10, "a", "b", "c"), always(2, "a"), always(2, "a", "b"), later(5, "b")}},
		{"three parts, the first deadly", "a", []*simStream{always(10, "a", "b", "c"), always(2, "b"), later(4, "a", "b"), later(5, "c")}},
		{"five parts", "d", []*simStream{always(10, "a", "b", "c", "d", "e"), always(2, "a", "b"), later(2, "c"), later(2, "e")}},
		{"shared first part", "annex", []*simStream{always(10, "first", "doc", "annex"), always(3, "first"), always(3, "first", "doc")}},
		{"two companions at a time", "annex", []*simStream{
			always(6, "doc-1", "annex"), always(6, "doc-2", "annex"), always(3, "doc-1"), always(1, "doc-2"),
		}},
		{"companion that was answered before", "annex", []*simStream{earlier(10, "doc"), always(10, "doc", "annex"), always(2.5, "doc")}},
		{"deadly part that was answered before", "doc", []*simStream{earlier(10, "doc"), always(10, "doc", "annex"), always(2.5, "annex"), later(10, "doc")}},
		{"both were answered before", "annex", []*simStream{earlier(10, "doc", "annex"), always(10, "doc", "annex"), always(2.5, "doc"), later(10, "annex")}},
		{"deadly part that was answered before comes alone later", "doc", []*simStream{earlier(10, "doc"), always(10, "doc", "annex"), later(40, "doc")}},
		{"deadly part comes with fewer and fewer others", "e", []*simStream{
			always(10, "a", "b", "c", "d", "e"), later(5, "a", "b", "c", "e"), later(5, "a", "b", "e"), later(5, "a", "e"), later(5, "e"),
		}},
		{"heavy load", "annex", []*simStream{always(60, "doc", "annex"), always(40, "doc")}},
	}
}

// minBegunShare is the users' bound on the share of sound first attempts beside a deadly part; without one, all begin.
const minBegunShare = 0.5

// requireCompanionsBegin requires that each sound stream begins from twice contactWindow after the fifth crash on, or after the last one if there are
// fewer, and that few deadly prompts reach engines.
func requireCompanionsBegin(t *testing.T, s *simulation, c companionCase) {
	t.Helper()
	require.NotEmpty(t, s.deadlyCrashes)
	require.LessOrEqual(t, s.lateSends(), maxLateSends, "deadly prompts that are sent late")
	from := s.deadlyCrashes[min(len(s.deadlyCrashes), 5)-1] + 2*contactWindow
	for _, st := range c.streams {
		if share, offered := st.begunShare(from); !st.isDeadly(c.deadly) && offered >= 20 {
			t.Logf("%v: %.2f of %d", st.parts, share, offered)
			require.GreaterOrEqual(t, share, minBegunShare, "%v", st.parts)
		}
	}
}

// Guards against sound prompts that are refused because one of their parts came with a deadly part in each crash, and against deadly prompts that are
// sent to find out which of the parts it is.
func TestSoundPromptsBesideADeadlyCompanion(t *testing.T) {
	for _, fleet := range []struct {
		nodes, engines int
		late           time.Duration
		seeds          uint64
	}{{3, 12, 0, 5}, {30, 40, 0, 1}, {3, 12, 600 * time.Millisecond, 5}, {30, 40, 600 * time.Millisecond, 1}, {3, 12, 1500 * time.Millisecond, 5}, {30, 40, 1500 * time.Millisecond, 1}, {3, 12, 2500 * time.Millisecond, 5}} {
		for i, c := range companionCases() {
			for seed := range fleet.seeds * *companionSeeds {
				t.Run(fmt.Sprintf("%d nodes, %d engines, late by %v, %s, %d", fleet.nodes, fleet.engines, fleet.late, c.name, seed), func(t *testing.T) {
					t.Parallel()
					c := companionCases()[i]
					s := newSimulation(seed, fleet.nodes, fleet.engines)
					s.lateness = fleet.late
					s.runStreams(c.deadly, c.streams, 32*time.Second)
					t.Logf("%d crashes, %d late sends", len(s.deadlyCrashes), s.lateSends())
					requireCompanionsBegin(t, s, c)
				})
			}
		}
	}
}

// Guards against a part that is sent on because all engines that it crashed did so at the same moment, as in an outage.
func TestPartThatCrashesManyEnginesAtOnce(t *testing.T) {
	for _, nodes := range []int{3, 30} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(nodes, " nodes, ", seed), func(t *testing.T) {
				t.Parallel()
				batch := func(from time.Duration) *simStream {
					return &simStream{parts: []string{"annex"}, rate: 300, from: from, until: from + 100*time.Millisecond}
				}
				document := &simStream{parts: []string{"doc"}, rate: 10, from: companionsFrom, until: 20 * time.Second}
				c := companionCase{deadly: "annex", streams: []*simStream{batch(companionsFrom), batch(8 * time.Second), batch(14 * time.Second), document}}
				s := newSimulation(seed, nodes, 12)
				s.runStreams(c.deadly, c.streams, 22*time.Second)
				t.Logf("%d crashes, %d late sends", len(s.deadlyCrashes), s.lateSends())
				require.GreaterOrEqual(t, len(s.deadlyCrashes), 5)
				requireCompanionsBegin(t, s, c)
			})
		}
	}
}
