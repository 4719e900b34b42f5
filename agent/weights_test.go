package agent_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

// publishV2 publishes weight version v2.
func (f *fixture) publishV2() {
	set := testSet()
	set.Models[0].WeightVersion = "v2"
	f.view.Publish(set)
}

// TestWeightSwap guards against a new version that is used before the engine lists it, work that does not wait for it,
// running work that loses its version, and work under the old version that is accepted afterwards.
func TestWeightSwap(t *testing.T) {
	f := startAgent(t, agent.Options{}, agent.Dependencies{})
	running := make(chan engine.Event, 1)
	f.engine.setScript(func(engine.Request) <-chan engine.Event { return running })
	old := f.open(t.Context(), request("old"))
	require.Eventually(t, func() bool { return f.load().GetRunning() == 1 }, 5*time.Second, time.Millisecond)
	f.publishV2()
	require.Eventually(t, func() bool { return len(f.engine.weightCommands()) == 1 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, engine.WeightCommand{Model: "model", WeightVersion: "v2", FencingToken: 1}, f.engine.weightCommands()[0])

	next := request("next")
	next.WeightVersion = "v2"
	next.Header.SetVersion = 2
	waiting := f.open(t.Context(), next)
	require.Eventually(t, func() bool { return f.load().GetQueuedRequests() == 1 }, 5*time.Second, time.Millisecond)
	f.engine.setScript(answer("new "))
	f.engine.setLoaded("v2")
	got := read(waiting)
	require.NotNil(t, got.end)
	assert.Equal(t, "new ", got.text)

	running <- engine.Event{Final: true, WeightVersion: "v1"}
	assert.NotNil(t, read(old).end, "running work keeps its version")
	late := request("late")
	late.Header.SetVersion = 2
	refused := f.generate(late)
	require.NotNil(t, refused.refusal)
	assert.Equal(t, string(failure.WrongWeightVersion), refused.refusal.GetKind())
	assert.Eventually(t, func() bool { return f.control.Calls()[len(f.control.Calls())-1] == "release-slot" }, 5*time.Second, time.Millisecond)
}

// TestLoadSlot guards against a load without a slot, and against a load command under a stale set.
func TestLoadSlot(t *testing.T) {
	f := startAgent(t, agent.Options{}, agent.Dependencies{})
	f.engine.mu.Lock()
	f.engine.loadAtOnce = true
	f.engine.mu.Unlock()
	_, err := f.control.AcquireLoadSlot(t.Context(), &controlpb.LoadSlotRequest{Upstream: "x"})
	require.NoError(t, err)
	_, err = f.control.AcquireLoadSlot(t.Context(), &controlpb.LoadSlotRequest{Upstream: "y"})
	require.NoError(t, err)
	f.publishV2()
	require.Eventually(t, func() bool { return len(f.control.Calls()) > 5 }, 5*time.Second, time.Millisecond)
	assert.Empty(t, f.engine.weightCommands(), "both slots are taken")
	_, err = f.control.ReleaseLoadSlot(t.Context(), &controlpb.LoadSlotRequest{Upstream: "x"})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(f.load().GetWeightVersions()) == 1 && f.load().GetWeightVersions()[0] == "v2" }, 5*time.Second, time.Millisecond)

	f.view.Change(func(v *controlclient.View) { v.FreshUntil = time.Now() })
	f.engine.setLoaded("v1")
	require.Eventually(t, func() bool { return f.load().GetWeightVersions()[0] == "v1" }, 5*time.Second, time.Millisecond)
	assert.Len(t, f.engine.weightCommands(), 1)
}
