package agent_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/internal/clocktest"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

// TestRefusals guards against work that an agent accepts although it must refuse it.
func TestRefusals(t *testing.T) {
	cases := map[string]struct {
		prepare func(*fixture, *agentpb.GenerateRequest)
		kind    failure.Kind
	}{
		"stale": {func(f *fixture, _ *agentpb.GenerateRequest) {
			f.view.Change(func(v *controlclient.View) { v.FreshUntil = time.Now() })
		}, failure.StaleSet},
		"sender has a newer set": {func(_ *fixture, r *agentpb.GenerateRequest) { r.Header.SetVersion = 9 }, failure.StaleSet},
		"leaving": {func(f *fixture, _ *agentpb.GenerateRequest) {
			f.view.Change(func(v *controlclient.View) {
				v.Processes["agent-1"] = controlclient.Process{ID: "agent-1", Epoch: 1, State: controlclient.Leaving}
			})
		}, failure.Draining},
		"newer incarnation":    {func(_ *fixture, r *agentpb.GenerateRequest) { r.Header.UpstreamEpoch = 2 }, failure.Fenced},
		"wrong weight version": {func(_ *fixture, r *agentpb.GenerateRequest) { r.WeightVersion = "v0" }, failure.WrongWeightVersion},
		"continuation of a version that is not loaded": {func(_ *fixture, r *agentpb.GenerateRequest) {
			r.WeightVersion = "v0"
			r.Emitted = []string{"a "}
		}, failure.WrongWeightVersion},
		"unknown account": {func(_ *fixture, r *agentpb.GenerateRequest) { r.Header.Account = "x" }, failure.Forbidden},
		"other model":     {func(_ *fixture, r *agentpb.GenerateRequest) { r.Model = "x" }, failure.NoUpstream},
		"deadline out of reach": {func(_ *fixture, r *agentpb.GenerateRequest) {
			r.Prompt = strings.Repeat("word ", 5000)
			r.Header.DeadlineMs = 500
		}, failure.DeadlineUnreachable},
		"no id": {func(_ *fixture, r *agentpb.GenerateRequest) { r.Header.RequestId = "" }, failure.InvalidRequest},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			f := startAgent(t, agent.Options{SetVersionTimeout: 10 * time.Millisecond}, agent.Dependencies{})
			req := request("r")
			test.prepare(f, req)
			f.requireRefused(f.generate(req), test.kind)
		})
	}
}

// TestSetVersionBehind guards against work accepted under an old set after the grace period, and refused within it.
func TestSetVersionBehind(t *testing.T) {
	for _, grace := range []time.Duration{time.Nanosecond, time.Hour} {
		f := startAgent(t, agent.Options{SetGrace: grace}, agent.Dependencies{})
		f.view.Publish(testSet())
		if grace < time.Hour {
			f.requireRefused(f.generate(request("r")), failure.SetVersionBehind)
			continue
		}
		require.NotNil(t, f.generate(request("r")).end)
	}
}

// TestNewerSetsDoNotProlongTheGracePeriod guards against sets in quick succession under which work of a set that was replaced long ago is accepted.
func TestNewerSetsDoNotProlongTheGracePeriod(t *testing.T) {
	clock := clocktest.NewManual(time.Now())
	f := startAgent(t, agent.Options{SetGrace: 6 * time.Second}, agent.Dependencies{Clock: clock})
	for i := range 3 {
		f.view.Publish(testSet())
		got := f.generate(request(fmt.Sprint("first-", i)))
		require.NotNil(t, got.end, "%v; the set after the first one is younger than the grace period", got.refusal)
		clock.Advance(2500 * time.Millisecond)
	}
	refusal := f.generate(request("late")).refusal
	require.NotNil(t, refusal)
	require.Equal(t, string(failure.SetVersionBehind), refusal.GetKind())
	require.Len(t, f.engine.received(), 3, "refused work ran")
	second := request("second")
	second.Header.SetVersion = 2
	got := f.generate(second)
	require.NotNil(t, got.end, "%v; the set after the second one is younger", got.refusal)
}

// TestWholeAnswer guards against a lost token, a wrong count, and a cache scope that lacks the account.
func TestWholeAnswer(t *testing.T) {
	f := startAgent(t, agent.Options{}, agent.Dependencies{})
	req := request("r")
	req.Emitted = []string{"a "}
	got := f.generate(req)
	require.NotNil(t, got.end)
	assert.Equal(t, "b ", got.text)
	assert.Equal(t, int64(2), got.end.GetTotalTokens())
	assert.Equal(t, "r", got.end.GetRequestId())
	assert.NotEmpty(t, got.end.GetDecisions())
	assert.Equal(t, "a", f.engine.received()[0].CacheScope)
}

// TestAccountsApart guards against two accounts that share an engine's cache for the same prompt.
func TestAccountsApart(t *testing.T) {
	f := startAgent(t, agent.Options{}, agent.Dependencies{})
	for _, account := range []string{"a", "b"} {
		req := request("r-" + account)
		req.Header.Account = account
		req.Prompt = strings.Repeat("word ", 2001)
		// Piece names in the message must be ignored.
		req.PieceNames = [][]byte{make([]byte, 32)}
		require.NotNil(t, f.generate(req).end)
	}
	requests := f.engine.received()
	require.Len(t, requests[0].PieceNames, 1)
	assert.NotEqual(t, requests[0].CacheScope, requests[1].CacheScope)
	assert.NotEqual(t, requests[0].PieceNames, requests[1].PieceNames)
}

// TestStaleInQueue guards against queued work that starts after the set has become stale.
func TestStaleInQueue(t *testing.T) {
	f := startAgent(t, agent.Options{Workers: 1}, agent.Dependencies{})
	events := make(chan engine.Event, 1)
	f.engine.setScript(func(engine.Request) <-chan engine.Event { return events })
	running := f.open(t.Context(), request("running"))
	// A run counts as running before its last checks; the set may become stale only after them.
	require.Eventually(t, func() bool { return len(f.engine.received()) == 1 }, 5*time.Second, time.Millisecond)
	next := request("queued")
	next.Header.DeadlineMs = 3000
	queued := f.open(t.Context(), next)
	require.Eventually(t, func() bool { return f.load().GetQueuedRequests() == 1 }, 5*time.Second, time.Millisecond)
	f.view.Change(func(v *controlclient.View) { v.FreshUntil = time.Now() })
	events <- engine.Event{Final: true}
	assert.NotNil(t, read(running).end, "running work finishes")
	got := read(queued)
	require.NotNil(t, got.refusal)
	assert.Equal(t, "stale_set", got.refusal.GetKind())
	assert.Equal(t, agentpb.Execution_NOT_RUN, got.refusal.GetExecution())
	assert.Len(t, f.engine.received(), 1)
}

// TestUntrustworthyEngine guards against engine streams with a gap, a repeat, a wrong count, another version or no end
// that are reported as complete.
func TestUntrustworthyEngine(t *testing.T) {
	cases := map[string][]engine.Event{
		"gap":           {{Index: 0, Text: "a "}, {Index: 2, Text: "c "}, {Final: true, TotalTokens: 2}},
		"repeat":        {{Index: 0, Text: "a "}, {Index: 0, Text: "a "}, {Final: true, TotalTokens: 2}},
		"wrong count":   {{Index: 0, Text: "a "}, {Final: true, TotalTokens: 2}},
		"other version": {{Index: 0, Text: "a ", WeightVersion: "v2"}, {Final: true, TotalTokens: 1}},
		"no end":        {{Index: 0, Text: "a "}},
	}
	for name, events := range cases {
		t.Run(name, func(t *testing.T) {
			f := startAgent(t, agent.Options{}, agent.Dependencies{})
			f.engine.setScript(func(engine.Request) <-chan engine.Event {
				channel := make(chan engine.Event, len(events))
				for _, event := range events {
					channel <- event
				}
				close(channel)
				return channel
			})
			got := f.generate(request("r"))
			assert.Nil(t, got.end)
			require.NotNil(t, got.refusal)
			assert.Equal(t, "stream_broken", got.refusal.GetKind())
			assert.NotEqual(t, agentpb.Execution_NOT_RUN, got.refusal.GetExecution())
		})
	}
}

// endless scripts a run that ends only when it is canceled.
func endless(engine.Request) <-chan engine.Event { return make(chan engine.Event) }

// TestCancel guards against runs that continue after their caller disconnects, and canceled work that stays queued.
func TestCancel(t *testing.T) {
	f := startAgent(t, agent.Options{Workers: 1}, agent.Dependencies{})
	f.engine.setScript(endless)
	ctx, cancel := context.WithCancel(t.Context())
	running := f.open(ctx, request("running"))
	_, err := running.Recv()
	require.NoError(t, err)
	require.Eventually(t, func() bool { return f.load().GetRunning() == 1 }, 5*time.Second, time.Millisecond)
	queuedCtx, cancelQueued := context.WithCancel(t.Context())
	queued := f.open(queuedCtx, request("queued"))
	_, err = queued.Recv()
	require.NoError(t, err)
	require.Equal(t, int64(1), f.load().GetQueuedRequests())
	cancelQueued()
	require.Eventually(t, func() bool { return f.load().GetQueuedRequests() == 0 }, 5*time.Second, time.Millisecond)
	cancel()
	assert.Equal(t, "running", <-f.engine.canceled)
}

// TestQueueLimitAndDeadline guards against an unbounded queue and against work that stays queued past its deadline.
func TestQueueLimitAndDeadline(t *testing.T) {
	f := startAgent(t, agent.Options{Workers: 1, MaxQueued: 1}, agent.Dependencies{})
	f.engine.setScript(endless)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	f.open(ctx, request("running"))
	require.Eventually(t, func() bool { return f.load().GetRunning() == 1 }, 5*time.Second, time.Millisecond)
	late := request("late")
	late.Header.DeadlineMs = 200
	stream := f.open(ctx, late)
	require.Eventually(t, func() bool { return f.load().GetQueuedRequests() == 1 }, 5*time.Second, time.Millisecond)
	got := f.generate(request("third"))
	assert.Equal(t, "overloaded", got.refusal.GetKind())
	assert.Equal(t, agentpb.Execution_NOT_RUN, got.refusal.GetExecution())
	got = read(stream)
	require.NotNil(t, got.refusal)
	assert.Equal(t, "deadline_exceeded", got.refusal.GetKind())
	assert.Equal(t, agentpb.Execution_NOT_RUN, got.refusal.GetExecution())
	assert.Len(t, f.engine.received(), 1)
}

// TestStuckEntry guards against an entry that keeps a run alive by no longer reading.
func TestStuckEntry(t *testing.T) {
	f := startAgent(t, agent.Options{WriteTimeout: 50 * time.Millisecond}, agent.Dependencies{})
	f.engine.setScript(func(r engine.Request) <-chan engine.Event {
		events := make(chan engine.Event, 4096)
		for i := range int64(4096) {
			events <- engine.Event{Index: i, Text: strings.Repeat("x", 1<<14)}
		}
		return events
	})
	f.open(context.Background(), request("r"))
	require.Eventually(t, func() bool { return len(f.engine.received()) == 1 && f.load().GetRunning() == 0 }, 10*time.Second, 5*time.Millisecond)
}

// TestDrain guards against a stop that breaks running work or accepts new work.
func TestDrain(t *testing.T) {
	f := startAgent(t, agent.Options{}, agent.Dependencies{})
	events := make(chan engine.Event, 1)
	f.engine.setScript(func(engine.Request) <-chan engine.Event { return events })
	stream := f.open(t.Context(), request("running"))
	require.Eventually(t, func() bool { return f.load().GetRunning() == 1 }, 5*time.Second, time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- f.agent.Drain(context.Background()) }()
	<-f.agent.DrainStarted()
	got := f.generate(request("new"))
	assert.Equal(t, "draining", got.refusal.GetKind())
	assert.Equal(t, agentpb.Execution_NOT_RUN, got.refusal.GetExecution())
	assert.Empty(t, drained, "the drain waits for running work")
	events <- engine.Event{Final: true, FinishReason: "stop"}
	assert.NotNil(t, read(stream).end)
	require.NoError(t, <-drained)
}
