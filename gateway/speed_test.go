package gateway

import (
	"crypto/rand"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// newID gives a request an id of its own, which selects the sample of instances.
func newID() func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("Id", rand.Text()) }
}

// slownessAt returns the estimate for an instance, 0 if estimates are not used.
func (s *system) slownessAt(id string) float64 {
	tracker, list := s.gateway.options.Tracker, s.gateway.options.Directory.View().OfService("s")
	for _, c := range tracker.Candidates(list, time.Now(), &placement.Request{}) {
		if c.Instance.ID == id {
			return c.Slowness
		}
	}
	return -1
}

// Guards against the figure of an answer that is not used, and against one of another incarnation that is.
func TestStatedTimeOfWorkIsUsed(t *testing.T) {
	s := newSystem(t, answers(200, "Time-Percent: 300\r\n"), answers(200, "Time-Percent: 100\r\n"), answers(200, "Time-Percent: 100\r\n"), answers(200, "Time-Percent: 100\r\n"))
	require.Zero(t, s.slownessAt("u0"))
	for range 12 {
		status, _, err := s.call("POST", "/once/", "", newID())
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	require.NotZero(t, s.slownessAt("u1"))
	require.Eventually(t, func() bool {
		_, _, err := s.call("POST", "/once/", "", newID())
		return err == nil && s.slownessAt("u0") > 1.5
	}, 5*time.Second, time.Millisecond, "the slow instance is tried")
	before := s.runsAt("u0")
	for range 20 {
		_, _, err := s.call("POST", "/once/", "", newID())
		require.NoError(t, err)
	}
	require.LessOrEqual(t, s.runsAt("u0")-before, 3)
}

// Guards against estimates for a service whose answers carry no figure.
func TestNoEstimatesWithoutFigures(t *testing.T) {
	s := newSystem(t, good, good)
	for range 30 {
		_, _, err := s.call("POST", "/stream/", "")
		require.NoError(t, err)
	}
	require.Zero(t, s.slownessAt("u0"))
	report := s.gateway.options.Tracker.Report(1)
	require.Empty(t, report.GetSpeeds())
}

// Guards against estimates that are missing where the settings require them: one of four plain instances takes much longer.
func TestRequiredEstimatesOfAPlainService(t *testing.T) {
	slow := func(conn net.Conn, r *http.Request, instance string) bool {
		time.Sleep(30 * time.Millisecond)
		return good(conn, r, instance)
	}
	s := newSystem(t, slow, good, good, good)
	s.gateway.options.Tracker.RequireSpeeds()
	first := s.instances()
	s.applyList(first, func(*upstreams.Instance) bool { return true })
	for range 100 {
		_, _, err := s.call("POST", "/once/", "", newID())
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		_, _, err := s.call("POST", "/once/", "", newID())
		return err == nil && s.slownessAt("u0") > 1.2
	}, 5*time.Second, time.Millisecond)
	require.Less(t, s.runsAt("u0"), len(s.startedRuns())/5)
}

// gaps records the gaps that a meter reports.
type gaps struct {
	enabled bool
	list    []time.Duration
}

func (g *gaps) ObservesGaps(time.Time) bool              { return g.enabled }
func (g *gaps) RecordGap(gap time.Duration, _ time.Time) { g.list = append(g.list, gap) }

// Guards against gaps that a slow caller causes and that count as those of the instance, and against work for streams whose gaps are not
// used.
func TestGapsOfAStream(t *testing.T) {
	now := time.Unix(1000, 0)
	run := func(g *gaps, gap, write time.Duration, events int) {
		m := newGapMeter(g, now)
		for range events {
			m.arrived(now)
			m.written(now.Add(write))
			now = now.Add(gap)
		}
	}
	g := &gaps{enabled: true}
	run(g, 50*time.Millisecond, time.Millisecond, 11)
	require.Equal(t, []time.Duration{50 * time.Millisecond, 50 * time.Millisecond}, g.list)
	run(g, time.Second, 0, 2)
	require.Equal(t, time.Second, g.list[2], "a long gap counts at once")
	g.list = nil
	run(g, 100*time.Millisecond, 60*time.Millisecond, 20)
	require.Empty(t, g.list)
	off := &gaps{}
	run(off, 50*time.Millisecond, 0, 20)
	require.Empty(t, off.list)
}
