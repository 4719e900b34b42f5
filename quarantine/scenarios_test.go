package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxLateSends is the users' limit on requests with a deadly part that reach engines later than contactWindow after
// the fifth crash.
const maxLateSends = 3

// Guards against a part that crashes one engine after the other, and against sound prompts that share its first part and
// are refused for it.
func TestPartThatCrashesEngines(t *testing.T) {
	for _, test := range []struct {
		share          float64
		nodes, engines int
		rate           float64
		length         time.Duration
	}{
		{0.05, 4, 12, simRequestRate, time.Minute},
		{0.05, 28, 12, simRequestRate, time.Minute},
		{0.1, 12, 12, simRequestRate, time.Minute},
		{0.3, 4, 12, simRequestRate, time.Minute},
		{0.3, 28, 12, simRequestRate, time.Minute},
		{0.9, 12, 12, simRequestRate, time.Minute},
		{0.05, 12, 12, simRequestRate, 5 * time.Minute},
		{0.3, 12, 12, simRequestRate, 5 * time.Minute},
		{0.05, 12, 100, 325, 20 * time.Second},
		{0.3, 12, 100, 325, 20 * time.Second},
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(test, seed), func(t *testing.T) {
				s := newSimulation(seed, test.nodes, test.engines)
				s.deadlyShare, s.rate = test.share, test.rate
				s.run(s.deadlyFrom + test.length)
				t.Logf("%d crashes, %d late sends, refused: %v", len(s.deadlyCrashes), s.lateSends(), s.refused)
				require.LessOrEqual(t, s.lateSends(), maxLateSends)
				require.Greater(t, s.servedShare(s.deadlyFrom+8*time.Second, s.deadlyFrom+test.length-3*time.Second), 0.95)
			})
		}
	}
}

// deadlyDay lets some seconds of a deadly part pass, and returns the simulation with the part blocked.
func deadlyDay(t *testing.T, seed uint64) *simulation {
	t.Helper()
	s := newSimulation(seed, 8, 12)
	s.deadlyShare = 0.3
	s.run(s.deadlyFrom + 6*time.Second)
	require.GreaterOrEqual(t, len(s.deadlyCrashes), 5)
	return s
}

// Guards against a node that sends the deadly part after its restart, because it has forgotten the block.
func TestRestartedNodesRefuse(t *testing.T) {
	for seed := range uint64(5) {
		s := deadlyDay(t, seed)
		sends := len(s.deadlySends)
		for i := range 20 {
			n := s.nodes[i%len(s.nodes)]
			// A node takes requests once it has the published set and the instance list.
			n.list, n.told, n.reports, n.starting = New(n.name), 0, 0, true
			s.run(s.now + time.Second)
			n.starting = false
			s.run(s.now + 2*time.Second)
		}
		require.LessOrEqual(t, len(s.deadlySends)-sends, maxLateSends)
	}
}

// Guards against a node that was paused and ends the block, extends it to sound parts, or sends the deadly part.
func TestPausedNodesChangeNothing(t *testing.T) {
	for seed := range uint64(5) {
		s := newSimulation(seed, 8, 12)
		s.deadlyShare = 0.3
		// The part was sound before, so that the paused nodes know of answers and hold their news back.
		s.run(s.deadlyFrom - time.Second)
		paused := s.nodes[:3]
		for _, n := range s.nodes {
			n.list.RecordAnswer([]uint64{Hash(simShared), Hash(simDeadly)}, s.time())
		}
		for i, n := range paused {
			s.after(time.Duration(i)*700*time.Millisecond, func() { n.paused = true })
			s.after(time.Duration(i)*time.Second+12*time.Second, func() { s.resume(n) })
		}
		s.run(s.deadlyFrom + time.Minute)
		require.LessOrEqual(t, s.lateSends(), maxLateSends)
		require.Greater(t, s.servedShare(s.deadlyFrom+8*time.Second, s.deadlyFrom+57*time.Second), 0.95)
		t.Logf("%d crashes, refused: %v", len(s.deadlyCrashes), s.refused)
	}
}

// Guards against sound parts that are refused because engines crash for other reasons.
func TestCrashesForOtherReasons(t *testing.T) {
	oneByOne := func(pause time.Duration) func(s *simulation) {
		return func(s *simulation) {
			for i, e := range s.engines {
				s.after(time.Duration(i)*pause, func() { s.crash(e) })
			}
		}
	}
	atOnce := func(share int) func(s *simulation) {
		return func(s *simulation) {
			for _, e := range s.engines[:len(s.engines)/share] {
				s.after(s.uniform(0, 200*time.Millisecond), func() { s.crash(e) })
			}
		}
	}
	for _, test := range []struct {
		name  string
		crash func(s *simulation)
		// maxRefused is the largest share of requests refused for their document. Where half of the engines or more are
		// down at a time, some documents get no answer between three crashes.
		maxRefused float64
	}{
		{"one by one", oneByOne(1500 * time.Millisecond), 0},
		{"one by one in a hurry", oneByOne(700 * time.Millisecond), 0.01},
		{"a zone at once", atOnce(3), 0},
		{"all at once", atOnce(1), 0.01},
		{"one again and again", func(s *simulation) {
			for i := range 4 {
				s.after(time.Duration(i)*4*time.Second, func() { s.crash(s.engines[0]) })
			}
		}, 0},
	} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(test.name, seed), func(t *testing.T) {
				s := newSimulation(seed, 8, 12)
				for i := range 3 {
					s.after(time.Duration(5+20*i)*time.Second, func() { test.crash(s) })
				}
				s.run(time.Minute)
				t.Logf("refused: %v", s.refused)
				require.Zero(t, s.refused[simShared])
				require.LessOrEqual(t, float64(s.refused[simDocument])/float64(s.offeredTotal()), test.maxRefused)
			})
		}
	}
}

// Guards against a part that stays allowed at nodes that lose half of all reports.
func TestLostReports(t *testing.T) {
	for seed := range uint64(5) {
		s := newSimulation(seed, 8, 12)
		s.deadlyShare, s.loss = 0.3, 0.5
		s.run(s.deadlyFrom + time.Minute)
		require.LessOrEqual(t, s.lateSends(), maxLateSends)
		require.Greater(t, s.servedShare(s.deadlyFrom+8*time.Second, s.deadlyFrom+57*time.Second), 0.95)
	}
}

// Guards against a part that is sent on because it was sound before: the most popular document turns deadly.
func TestSoundPartTurnsDeadly(t *testing.T) {
	for _, share := range []float64{0.05, 0.3, 0.6} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprint(share, seed), func(t *testing.T) {
				s := newSimulation(seed, 8, 12)
				s.deadlyShare, s.turned = share, true
				s.run(s.deadlyFrom + 40*time.Second)
				t.Logf("%d crashes, %d late sends, refused: %v", len(s.deadlyCrashes), s.lateSends(), s.refused)
				require.LessOrEqual(t, s.lateSends(), maxLateSends)
				require.Greater(t, s.servedShare(s.deadlyFrom+8*time.Second, s.deadlyFrom+37*time.Second), 0.95)
			})
		}
	}
}
