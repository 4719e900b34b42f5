package coldstart

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

var (
	start = time.Unix(1_700_000_000, 0)
	limit = trafficset.ColdLimit{Duration: 3 * time.Second, PerSecond: 12}
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func instance() *upstreams.Instance { return &upstreams.Instance{ID: "i", Born: 1} }

func hash() uint32 { return instance().Key().Hash() }

// old is a list that is older than anything in these tests.
var old = List{ContentAt: start.Add(-time.Hour)}

// Guards against requests without permits at an instance that the list shows as cold, on connections from before as well, and against an instance
// that stays cold for ever.
func TestListedColdTime(t *testing.T) {
	var s States
	i := instance()
	i.ColdUntil = at(3000)
	need, reason := s.Need(i, limit, old, Zone{}, at(2999))
	require.Equal(t, AllConnections, need)
	require.Equal(t, Listed, reason)
	need, reason = s.Need(i, limit, old, Zone{}, at(3000))
	require.Equal(t, NewConnections, need, "the list has not shown it as warm yet")
	require.Equal(t, Unknown, reason)
	need, _ = s.Need(i, limit, List{ContentAt: at(3000)}, Zone{}, at(5000))
	require.Equal(t, NoPermit, need)
	s.Sent(hash(), at(2000))
	need, _ = s.Need(i, limit, old, Zone{}, at(3000))
	require.Equal(t, NoPermit, need, "this node has sent requests to the incarnation")
}

// Guards against a flood of requests to a zone whose evacuation ended a moment ago.
func TestReturnedZoneIsCold(t *testing.T) {
	var s States
	for _, c := range []struct {
		zone Zone
		now  time.Time
		need Need
	}{
		{Zone{}, at(0), NoPermit},
		{Zone{Evacuated: true}, at(0), AllConnections},
		{Zone{ReturnedAt: at(0)}, at(2999), AllConnections},
		{Zone{ReturnedAt: at(0)}, at(3000), NoPermit},
	} {
		need, _ := s.Need(instance(), limit, List{ContentAt: at(0)}, c.zone, c.now)
		require.Equal(t, c.need, need)
	}
}

// Guards against a node that has just started, missed the return of a zone and takes what an older list shows for warm, and against one that needs
// permits although a newer list shows the instance as warm.
func TestStartedNodeTakesInstancesForWarmByANewerListOnly(t *testing.T) {
	var s States
	zone := Zone{LearnedAt: at(0)}
	for _, c := range []struct {
		content, coldUntil, now time.Time
		need                    Need
	}{
		{at(-2800), time.Time{}, at(10), NewConnections},
		{at(0), time.Time{}, at(2800), NewConnections},
		{at(1), time.Time{}, at(2801), NoPermit},
		{at(1), at(900), at(1000), NewConnections},
		{at(-2800), time.Time{}, at(2999), NewConnections},
		{at(-2800), time.Time{}, at(3000), NoPermit},
	} {
		i := instance()
		i.ColdUntil = c.coldUntil
		need, _ := s.Need(i, limit, List{ContentAt: c.content}, zone, c.now)
		require.Equal(t, c.need, need, "%+v", c)
	}
}

// Guards against a group that serves a fifth of its load for seconds after a restart of all nodes, because some zone was evacuated long ago: its nodes need
// permits, and their owners hand out few.
func TestStartedNodeNeedsNoPermitsLongAfterAnEvacuation(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		need Need
	}{
		{0, NewConnections},
		{-time.Hour, NewConnections},
		{limit.Duration + clockTolerance - time.Millisecond, NewConnections},
		{limit.Duration + clockTolerance, NoPermit},
	} {
		var s States
		need, _ := s.Need(instance(), limit, List{ContentAt: at(-2800)}, Zone{LearnedAt: at(0), ChangeAge: c.age}, at(10))
		require.Equal(t, c.need, need, "%s", c.age)
	}
}

// Guards against an instance that restarts under its identity and gets requests without permits, and against one sign that needs permits for ever.
func TestSignOfARestart(t *testing.T) {
	var s States
	need := func(list List, ms int) Need {
		need, _ := s.Need(instance(), limit, list, Zone{}, at(ms))
		return need
	}
	require.True(t, s.Sign(hash(), limit, at(0)))
	require.Equal(t, NewConnections, need(old, 60_000), "it could not be reached since")
	s.Reached(hash(), at(60_000))
	s.Reached(hash(), at(62_000))
	require.Equal(t, NewConnections, need(old, 62_999))
	require.Equal(t, NoPermit, need(old, 63_000))
	require.True(t, s.Sign(hash(), limit, at(64_000)))
	require.False(t, s.Sign(hash(), limit, at(65_000)), "the same restart")
	s.Reached(hash(), at(65_100))
	require.Equal(t, NewConnections, need(List{ContentAt: at(65_000)}, 65_200), "the list is no newer than the last sign")
	require.Equal(t, NoPermit, need(List{ContentAt: at(65_001)}, 65_200))
	require.Equal(t, NoPermit, need(old, 65_300), "the list has ended it")
}

// Guards against a list that shows an instance as warm since it is older than the restart, or that shows it as cold.
func TestListThatShowsAColdInstanceEndsNoSign(t *testing.T) {
	var s States
	i := instance()
	i.ColdUntil = at(900)
	s.Sign(hash(), limit, at(0))
	need, _ := s.Need(i, limit, List{ContentAt: at(500)}, Zone{}, at(1000))
	require.Equal(t, NewConnections, need)
}

// Guards against nodes that do not know of a restart that another one saw, and against news that go round between nodes and never end.
func TestReportedRestart(t *testing.T) {
	var s States
	require.True(t, s.Heard(hash(), at(0), at(3000), false, at(100)))
	require.False(t, s.Heard(hash(), at(0), at(3000), false, at(200)), "the news are repeated")
	need, reason := s.Need(instance(), limit, old, Zone{}, at(2999))
	require.Equal(t, NewConnections, need)
	require.Equal(t, Reported, reason)
	need, _ = s.Need(instance(), limit, old, Zone{}, at(3000))
	require.Equal(t, NoPermit, need)
	require.Empty(t, s.News(false, 9, at(100)), "only what this node saw itself")
	require.Empty(t, s.News(true, 9, at(100)), "the digest of another zone is not told again")
	s.Heard(hash(), at(100), at(3100), true, at(200))
	require.Empty(t, s.News(false, 9, at(300)))
	require.Equal(t, []News{{Hash: hash(), Age: 200 * time.Millisecond, Left: 2800 * time.Millisecond}}, s.News(true, 9, at(300)))
	s.Heard(hash(), at(0), at(3000), false, at(400))
	need, _ = s.Need(instance(), limit, List{ContentAt: at(101)}, Zone{}, at(500))
	require.Equal(t, NoPermit, need, "a newer list shows the instance as warm")
}

// Guards against states, logs and news for services whose instances are never cold.
func TestServiceWithoutAColdLimit(t *testing.T) {
	i := instance()
	i.ColdUntil = at(5000)
	for _, none := range []trafficset.ColdLimit{{}, {PerSecond: 12}, {Duration: time.Second}} {
		var s States
		need, reason := s.Need(i, none, old, Zone{Evacuated: true}, at(0))
		require.Equal(t, NoPermit, need)
		require.Equal(t, Warm, reason)
		require.Empty(t, s.byHash)
	}
}

// Guards against rates with which the owners together exceed the bound, and against bounds that leave no rate though one is possible.
func TestRatesStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.5, 500).Draw(t, "per second")
		bound := Bound{Overshoot: rapid.Float64Range(1, 3).Draw(t, "overshoot"), Slack: rapid.Float64Range(0, 50).Draw(t, "slack")}
		r := RatesFor(perSecond, bound)
		require.LessOrEqual(t, r.most(), bound.Requests(perSecond))
		require.LessOrEqual(t, r.Whole, perSecond)
		if bound.Requests(perSecond) >= 3 {
			require.Positive(t, r.Whole)
		}
	})
}

// Guards against rates with the platform's figures that use less than 0.85 of what an engine accepts.
func TestRatesWithTheFiguresOfThePlatform(t *testing.T) {
	r := RatesFor(12, Bound{Overshoot: 1.5, Slack: 5})
	require.Greater(t, r.Whole, 0.85*12)
	require.InDelta(t, r.Whole/4, r.Second, 1e-9)
	require.Equal(t, Rates{Whole: 12, WholeDepth: wholeDepth, Second: 3, Isolated: 1.5}, RatesFor(12, Bound{}))
}
