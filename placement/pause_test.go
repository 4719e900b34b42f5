package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Guards against a paused instance that is used as the last resort.
func TestPauseIsNeverIgnored(t *testing.T) {
	list := candidates(2)
	list[0].PauseLeft = time.Millisecond
	list[1].Ejected, list[1].Avoided = true, true
	require.Equal(t, "i1", Pick(&Request{}, list).Instance.ID)
	list[1].PauseLeft = time.Millisecond
	require.Nil(t, Pick(&Request{}, list))
}

// Guards against a pause that ends early: by a shorter one, or because the instance was missing from one list.
func TestPauseLastsUntilItsEnd(t *testing.T) {
	tracker, i, now := NewTracker(), instance("i"), time.Now()
	directory := upstreams.NewDirectory()
	directory.ApplyList([]upstreams.Instance{*i}, now)
	tracker.Sync(directory.View())
	require.True(t, tracker.Pause(i, 2*time.Second, now))
	require.False(t, tracker.Pause(i, time.Second, now), "it is paused already")
	directory.ApplyList(nil, now)
	tracker.Sync(directory.View())
	directory.ApplyList([]upstreams.Instance{*i}, now)
	tracker.Sync(directory.View())
	require.Equal(t, 500*time.Millisecond, onlyCandidate(tracker, i, now.Add(1500*time.Millisecond)).PauseLeft)
	require.Zero(t, onlyCandidate(tracker, i, now.Add(2*time.Second)).PauseLeft)
	restarted := instance("i")
	restarted.Born = 2
	require.Zero(t, onlyCandidate(tracker, restarted, now).PauseLeft)
	require.True(t, tracker.Pause(i, time.Second, now.Add(3*time.Second)), "the first pause has ended")
}

// Guards against wrong advice: the time until the first instance takes requests again, of those that may get the request.
func TestShortestPause(t *testing.T) {
	list := candidates(4)
	list[0].PauseLeft, list[1].PauseLeft, list[2].PauseLeft, list[3].PauseLeft = 3*time.Second, 2*time.Second, time.Second, time.Millisecond
	draining := *list[2].Instance
	draining.Draining = true
	list[2].Instance = &draining
	list[3].Replaced = true
	require.Equal(t, 2*time.Second, ShortestPause(&Request{Exclude: map[string]bool{"i1": true}}, list))
	require.Zero(t, ShortestPause(&Request{}, nil))
	list[0].PauseLeft = 0
	require.Zero(t, ShortestPause(&Request{Exclude: map[string]bool{"i0": true}}, list), "it takes requests, though not this one again")
}
