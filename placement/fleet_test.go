package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Guards against memory that callers use up: the names of models in requests have no bound, and a column has an entry for each instance.
func TestOnlyModelsWithVersionsHaveColumns(t *testing.T) {
	tracker, list := benchmarkEngines(5)
	now := time.Now()
	for i := range 100 {
		q := document("d")
		q.Model = fmt.Sprint("model", i)
		best, _ := tracker.Choose(list, now, q, Pauses{})
		require.Zero(t, best.Version)
		q.Model = "m"
		best, _ = tracker.Choose(list, now, q, Pauses{})
		require.Equal(t, uint64(1), best.Version)
	}
	require.Len(t, tracker.fleets["s"].versions, 1)
}

// Guards against the prompt of the last request and the fleet of a removed service that stay in memory until the next decision.
func TestDecisionKeepsNothingOfItsRequest(t *testing.T) {
	tracker, list := benchmarkEngines(2)
	tracker.state(list[1].Key()).setVersion("m", 2)
	best, _ := tracker.Choose(list, time.Now(), document("d"), Pauses{})
	require.NotNil(t, best)
	d := &tracker.decision
	require.Greater(t, cap(d.prompts), 1, "the prompt has keys for each version")
	for _, prompt := range d.prompts[:cap(d.prompts)] {
		require.Zero(t, prompt)
	}
	require.Nil(t, d.versions)
	require.Nil(t, d.fleet)
	require.Nil(t, d.q)
}

// Guards against the column of zeros for a model whose first version is recorded later, and against columns and counts of models that no
// instance has any more.
func TestColumnsFollowTheVersionsOfTheInstances(t *testing.T) {
	tracker, now := NewTracker(), time.Now()
	directory := upstreams.NewDirectory()
	version := func(model string) uint64 {
		q := document("d")
		q.Model = model
		best, _ := tracker.Choose(directory.View().OfService("s"), now, q, Pauses{})
		return best.Version
	}
	other := instance("other")
	other.Service, other.Versions = "s2", map[string]uint64{"n": 1}
	directory.ApplyList([]upstreams.Instance{*instance("i"), *other}, now)
	tracker.Sync(directory.View())
	require.Zero(t, version("later"))
	require.Zero(t, version("n"), "another service has it")
	tracker.Begin(directory.View().OfService("s")[0], Work{}).RecordAnswer(nil, "later", 7, now)
	require.Equal(t, uint64(7), version("later"))
	require.Zero(t, version("n"))
	directory.ApplyList([]upstreams.Instance{*instance("i")}, now)
	tracker.Sync(directory.View())
	require.Equal(t, uint64(1), version("m"))
	require.Equal(t, map[string]int{"m": 1, "later": 1}, tracker.versioned)
	require.Len(t, tracker.fleets["s"].versions, 1)
}
