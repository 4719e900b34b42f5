package peerload

import (
	"fmt"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/quarantine"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

func speedExchange(t *testing.T, name string, log *zap.Logger) *Exchange {
	t.Helper()
	return New(Options{
		Node: name, Self: Peer{Address: name, AvailabilityZone: "z"}, Tracker: placement.NewTracker(), Saves: &saves{}, Quarantine: quarantine.New(name), Log: log,
		Metrics: gometrics.NewRegistry(),
	})
}

// Guards against speeds that don't reach other nodes, and against ones that make a report larger than a datagram may be.
func TestSpeedsAreSentInReports(t *testing.T) {
	now := time.Now()
	from, to := speedExchange(t, "127.0.0.1:1", zap.NewNop()), speedExchange(t, "127.0.0.1:2", zap.NewNop())
	for _, e := range []*Exchange{from, to} {
		e.options.Tracker.Begin(&upstreams.Instance{ID: "other", Service: "s"}, placement.Work{}).RecordSpeed(100, now)
	}
	var list []*upstreams.Instance
	for k := range 200 {
		i := &upstreams.Instance{ID: fmt.Sprint("i", k), Service: "s"}
		list = append(list, i)
		to.options.Tracker.Begin(i, placement.Work{})
		from.options.Tracker.Begin(i, placement.Work{}).RecordSpeed(250, now)
	}
	report := from.report(1)
	require.Len(t, report.GetSpeeds(), 96)
	size := proto.Size(&nodepb.LoadReport{Speeds: report.GetSpeeds()})
	require.Less(t, size, 1600)
	data, err := proto.Marshal(&nodepb.LoadDatagram{Report: report})
	require.NoError(t, err)
	to.SetPeers([]Peer{from.options.Self, to.options.Self})
	to.apply(data, now)
	slow := 0
	for _, c := range to.options.Tracker.Candidates(list, now, &placement.Request{}) {
		if c.Slowness > 1.5 {
			slow++
		}
	}
	require.Equal(t, 96, slow)
	require.EqualValues(t, 96, to.speeds.received.Count())
	require.EqualValues(t, 96, from.speeds.sent.Count())
	to.logSpeeds(now)
	require.EqualValues(t, 96, to.speeds.slow.Value())

	large := &nodepb.LoadReport{Speeds: report.GetSpeeds()}
	for key := range uint32(1550) {
		large.Keys, large.Requests, large.PrefillTokens = append(large.Keys, key), append(large.Requests, 1), append(large.PrefillTokens, 100)
		large.LongTokens, large.HeldTokens = append(large.LongTokens, 100), append(large.HeldTokens, 20_000)
	}
	require.True(t, shrink(large))
	require.LessOrEqual(t, proto.Size(large), maxDatagram)
	require.Empty(t, large.GetSpeeds(), "requests in progress are more important")
}

// Guards against datagrams of deployments without the figure that change, and against lines in their logs.
func TestNoSpeedsWithoutFigures(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	e := speedExchange(t, "127.0.0.1:1", zap.New(core))
	for k := range 50 {
		a := e.options.Tracker.Begin(&upstreams.Instance{ID: fmt.Sprint("i", k), Service: "s"}, placement.Work{FirstEvent: time.Millisecond, UsualFirstEvent: time.Millisecond})
		a.Prefilled()
		a.RecordGap(time.Second, time.Now())
		if k%2 == 0 {
			a.End(placement.Answered, time.Now())
		}
	}
	require.Empty(t, e.report(1).GetSpeeds())
	require.Empty(t, e.digest(time.Now()).GetSpeeds())
	e.logSpeeds(time.Now())
	require.Zero(t, logs.Len())
	require.Zero(t, e.speeds.sent.Count())
}

// Guards against a log that doesn't show which services use estimates and which instances are slow, and against one line for each slow
// moment.
func TestSlowInstancesAreLogged(t *testing.T) {
	core, logs := observer.New(zapcore.DebugLevel)
	e := speedExchange(t, "127.0.0.1:1", zap.New(core))
	slow, now := e.options.Tracker.Begin(&upstreams.Instance{ID: "slow", Service: "s"}, placement.Work{}), time.Now()
	for range 6 {
		slow.RecordSpeed(250, now)
		now = now.Add(100 * time.Millisecond)
	}
	slow.RecordSpeed(100, now)
	e.logSpeeds(now)
	require.Equal(t, 1, logs.Len())
	require.Equal(t, "instances state how long work takes", logs.TakeAll()[0].Message)
	for range 25 {
		now = now.Add(100 * time.Millisecond)
		slow.RecordSpeed(250, now)
	}
	e.logSpeeds(now)
	require.Equal(t, "slow", logs.FilterMessage("instance is slow").All()[0].ContextMap()["instance"])
	slow.RecordSpeed(100, now.Add(time.Second))
	e.logSpeeds(now.Add(time.Second))
	require.Equal(t, 1, logs.FilterMessage("instance is no longer slow").Len())
	e.logSpeeds(now.Add(time.Minute))
	require.Equal(t, 1, logs.FilterMessage("instances no longer state how long work takes").Len())
	require.Equal(t, 3, logs.Len())
}
