package speed

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// answerTimes makes the nodes observe the times of a plain service's answers, which differ by request.
func (s *simulation) answerTimes(usual time.Duration) {
	s.observe = func(n *simNode, k int, now time.Time) {
		n.table.Observe(n.instances[k], AnswerTime, time.Duration(float64(usual)*s.actual(k, now)*s.noise(0.5)), time.Millisecond, now)
	}
}

// Guards against a slow instance that gets its equal share, against one that gets nothing any more, and against one that is not used again
// after it has recovered. Load: 400 requests/s to 12 plain instances without figures, one of which takes 3 times as long; 10 nodes.
func TestSlowPlainInstance(t *testing.T) {
	s := newSimulation(10, 12, true)
	recovered := s.now.Add(20 * time.Second)
	s.requestsPerS = 400
	s.actual = func(k int, now time.Time) float64 {
		if k == 0 && now.Before(recovered) {
			return 3
		}
		return 1
	}
	s.answerTimes(40 * time.Millisecond)
	s.run(5 * time.Second)
	s.share(0)
	s.run(15 * time.Second)
	slow := s.share(0)
	s.run(3 * time.Second)
	s.share(0)
	s.run(5 * time.Second)
	after := s.share(0)
	t.Logf("share of the slow instance: %.2f of an equal one, %.2f from 3 s after its recovery", slow, after)
	require.Less(t, slow, 0.35)
	require.Greater(t, slow, 0.005, "it is tried again")
	require.Greater(t, after, 0.6)
}

// Guards against a node with a slow link that takes all instances for slow, and that makes the others believe it.
func TestNodeWithASlowLink(t *testing.T) {
	s := newSimulation(10, 12, true)
	s.requestsPerS, s.actual = 400, func(int, time.Time) float64 { return 1 }
	s.observe = func(n *simNode, k int, now time.Time) {
		took := 40 * s.noise(0.5)
		if n == s.nodes[0] {
			took += 200
		}
		n.table.Observe(n.instances[k], AnswerTime, time.Duration(took*float64(time.Millisecond)), time.Millisecond, now)
	}
	s.run(10 * time.Second)
	for _, n := range s.nodes {
		for _, i := range n.instances {
			require.InDelta(t, 1, i.Estimate(s.now), 0.45, "%s at %s", i.name, n.name)
		}
	}
}

// figuresAndFirstEvents makes the nodes observe stated figures and first events.
func (s *simulation) figuresAndFirstEvents(stated func(k int, now time.Time) int) {
	s.observe = func(n *simNode, k int, now time.Time) {
		n.table.ObserveFigure(n.instances[k], stated(k, now), now)
		n.table.Observe(n.instances[k], FirstEvent, time.Duration(float64(80*time.Millisecond)*s.actual(k, now)*s.noise(0.4)), 80*time.Millisecond, now)
	}
}

// Guards against an instance that attracts requests with a false figure, and against one that gets none because of it. Load: 190 requests/s
// to 12 engines; one states 100 and takes 3 times as long, another states 400 and works as usual; 10 nodes.
func TestFalseFigures(t *testing.T) {
	s := newSimulation(10, 12, false)
	s.requestsPerS = 190
	s.actual = func(k int, _ time.Time) float64 { return 1 + 2*float64(max(0, 1-k)) }
	s.figuresAndFirstEvents(func(k int, _ time.Time) int {
		if k == 1 {
			return 400
		}
		return 100
	})
	s.run(30 * time.Second)
	s.share(0)
	s.run(30 * time.Second)
	sent := append([]int(nil), s.sent...)
	slow := s.share(0)
	copy(s.sent, sent)
	usual := s.share(1)
	t.Logf("the slow one gets %.2f of an equal share, the one that calls itself slow %.2f", slow, usual)
	require.Less(t, slow, 0.5)
	require.Greater(t, usual, 0.5)
	contradicted := 0
	for _, n := range s.nodes {
		for _, change := range n.table.DrainChanges(s.now) {
			if change.What == Contradicted {
				contradicted++
				require.Contains(t, []string{"i0", "i1"}, change.Instance, "honest figures count")
			}
		}
	}
	require.GreaterOrEqual(t, contradicted, 10)
}

// Guards against honest figures that noise makes look false, so that slow moments are no longer seen. Load: as in
// TestSlowMomentsOfEngines, for two minutes.
func TestHonestFiguresAreNotContradicted(t *testing.T) {
	s := newSimulation(30, 52, false)
	s.requestsPerS, s.actual = 190, slowMoments(0.15, 600*time.Millisecond, 2.5)
	s.figuresAndFirstEvents(func(k int, now time.Time) int { return int(math.Round(100 * s.actual(k, now))) })
	s.run(2 * time.Minute)
	contradicted := 0
	for _, n := range s.nodes {
		for _, i := range n.instances {
			if i.contradicted {
				contradicted++
			}
		}
	}
	t.Logf("%d of %d figures are contradicted", contradicted, 30*52)
	require.Less(t, contradicted, 30*52/50)
}

// Guards against nodes that send all requests of the age of their news to one instance. Load: 800 requests/s to 52 engines of very different
// speeds, by 30 nodes.
func TestNoHerd(t *testing.T) {
	s := newSimulation(30, 52, false)
	s.requestsPerS, s.actual = 800, func(k int, _ time.Time) float64 { return 1 + float64(k)/20 }
	s.run(5 * time.Second)
	most := s.mostShare()
	t.Logf("at most %.2f of the requests of 0.2 s to one engine", most)
	// An engine is in the samples of 8 in 52 requests; the rest is chance, with 160 requests in 0.2 s.
	require.Less(t, most, float64(simSample)/52+0.12)
}

// Guards against estimates that stay after the last observation: all nodes must try a slow instance again.
func TestEstimatesReturnToUsual(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(false)
	i := table.Instance(1, "i", "s")
	table.ObserveFigure(i, 250, now)
	require.InDelta(t, 2.1, i.Estimate(now), 0.1)
	require.InDelta(t, 1.8, i.Estimate(now.Add(300*time.Millisecond)), 0.1)
	require.InDelta(t, 1.2, i.Estimate(now.Add(900*time.Millisecond)), 0.1)
	require.Equal(t, 1.0, i.Estimate(now.Add(1200*time.Millisecond)))
	table.ObserveFigure(i, 100, now.Add(10*time.Millisecond))
	require.InDelta(t, 1, i.Estimate(now.Add(10*time.Millisecond)), 1e-9, "the newest figure counts")
	require.Equal(t, 1.0, (*Instance)(nil).Estimate(now))
}

// Guards against observations that count for services that neither state figures nor require estimates, and against reports of them.
func TestNoEstimatesUnlessStatedOrRequired(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(false)
	i := table.Instance(1, "i", "s")
	for n := range 1000 {
		now = now.Add(time.Millisecond)
		table.Observe(i, Kind(n%int(kinds)), time.Duration(n+1)*time.Second, time.Millisecond, now)
	}
	require.Zero(t, table.Apply("n", true, []Reading{{Key: 1, Percent: 300, Samples: 50}}, Sent{}, now))
	require.Equal(t, 1.0, i.Estimate(now))
	readings, _ := table.Report(now)
	require.Empty(t, readings)
	require.Empty(t, table.Digest(now))
	require.Empty(t, table.DrainChanges(now))
	table.ObserveFigure(i, 250, now)
	require.Greater(t, i.Estimate(now), 2.0)
	late := now.Add(FigureValidity + time.Second)
	require.Equal(t, 1.0, i.Estimate(late))
	require.Len(t, table.DrainChanges(late), 2, "the figures began and ended")
	require.Empty(t, table.Digest(late))
}

// Guards against datagrams that grow with the number of slow instances, and against readings that hide the newest observations.
func TestReportsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(false)
	for k := range 2600 {
		table.ObserveFigure(table.Instance(uint32(k+1), "i", "s"), 250, now.Add(time.Duration(k)*time.Millisecond/4))
	}
	now = now.Add(650 * time.Millisecond)
	readings, _ := table.Report(now)
	require.Len(t, readings, maxReadings)
	for _, r := range readings {
		require.Less(t, r.Age, 30*time.Millisecond, "the newest ones are sent")
	}
	readings, _ = table.Report(now.Add(2 * time.Second))
	require.Empty(t, readings, "old ones are not")
}
