package agent_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/internal/clocktest"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

// heldRuns are engine runs that block until the test continues them, by request id.
type heldRuns struct {
	t      *testing.T
	f      *fixture
	events map[string]chan engine.Event
	open   map[string]agentpb.DRPCAgent_GenerateClient
}

// start sends a prompt with the given number of words and waits until the engine has received it.
func (h *heldRuns) start(id, rank string, words int) {
	h.t.Helper()
	events := make(chan engine.Event, 2)
	h.events[id] = events
	h.f.engine.setScript(func(engine.Request) <-chan engine.Event { return events })
	before := len(h.f.engine.received())
	req := request(id)
	req.Header.Rank, req.Header.SetVersion = rank, h.f.view.Current().Version
	req.Header.DeadlineMs = 600_000 // Deadlines start from the real clock and must outlast the advances of the manual one.
	req.Prompt, req.PromptTokens = strings.Repeat("word ", words), int64(words)
	h.open[id] = h.f.open(h.t.Context(), req)
	require.Eventually(h.t, func() bool { return len(h.f.engine.received()) > before }, 5*time.Second, time.Millisecond)
}

// finish lets a run produce its only token and end.
func (h *heldRuns) finish(id string) {
	h.t.Helper()
	h.events[id] <- engine.Event{Text: "a ", WeightVersion: "v1"}
	h.events[id] <- engine.Event{Final: true, TotalTokens: 1, FinishReason: "stop", WeightVersion: "v1"}
	require.NotNil(h.t, read(h.open[id]).end)
}

// Guards against a measured prefill rate that drops because a prompt was preempted, and thus wrong admission estimates. The
// engine computes 1,000 tokens/s all the time, and four urgent prompts preempt a prompt of 2,000 tokens for 8 s.
func TestPreemptedTimeDoesNotLowerThePrefillRate(t *testing.T) {
	clock := clocktest.NewManual(time.Now())
	f := startAgent(t, agent.Options{}, agent.Dependencies{Clock: clock})
	f.view.Change(func(v *controlclient.View) {
		set := *v.Set
		set.Ranks = append(set.Ranks[:1:1], objectset.Rank{Name: "night", Order: 1, Worth: 1, FirstTokenMs: 60_000})
		v.Set, v.Version = &set, 2
	})
	require.Eventually(t, func() bool { _, known := f.load().GetQueuedTokensAhead()["night"]; return known }, 5*time.Second, time.Millisecond)
	h := &heldRuns{t: t, f: f, events: map[string]chan engine.Event{}, open: map[string]agentpb.DRPCAgent_GenerateClient{}}
	h.start("long", "night", 2000)
	clock.Advance(time.Second)
	for _, id := range []string{"u1", "u2", "u3", "u4"} {
		h.start(id, "urgent", 2000)
		clock.Advance(2 * time.Second)
		h.finish(id)
	}
	clock.Advance(time.Second)
	h.finish("long")
	assert.InDelta(t, 1000, f.load().GetPrefillTokensPerSecond(), 1)
}

// Guards against idle time that counts as prefill time, and against aborted prompts that keep counting. The set configures
// 1,000 tokens/s, and the engine computes 500.
func TestIdleTimeDoesNotLowerThePrefillRate(t *testing.T) {
	clock := clocktest.NewManual(time.Now())
	f := startAgent(t, agent.Options{}, agent.Dependencies{Clock: clock})
	h := &heldRuns{t: t, f: f, events: map[string]chan engine.Event{}, open: map[string]agentpb.DRPCAgent_GenerateClient{}}
	h.start("broken", "urgent", 1000)
	clock.Advance(5 * time.Second)
	close(h.events["broken"])
	require.NotNil(t, read(h.open["broken"]).refusal)
	clock.Advance(time.Minute)
	h.start("r", "urgent", 5000)
	clock.Advance(10 * time.Second)
	h.finish("r")
	assert.InDelta(t, 500, f.load().GetPrefillTokensPerSecond(), 1)
}
