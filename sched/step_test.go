package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStepLimit guards against a full prefill chunk delaying the next token for too long, and against missing deadlines
// because of the limit.
func TestStepLimit(t *testing.T) {
	never := func(float64, float64) bool { return false }
	always := func(float64, float64) bool { return true }
	for _, c := range []struct {
		name            string
		prefill, decode float64
		decoding        int
		target          time.Duration
		late            func(float64, float64) bool
		want            int64
	}{
		{"fits beside the decode step", 10_000, 50, 1, 40 * time.Millisecond, never, 180},
		{"slow hardware gets fewer", 6000, 40, 1, 40 * time.Millisecond, never, 77},
		{"nothing decodes", 6000, 40, 0, 40 * time.Millisecond, never, 512},
		{"a deadline needs more", 10_000, 50, 1, 40 * time.Millisecond, always, 512},
		{"decoding alone takes too long", 10_000, 20, 1, 40 * time.Millisecond, never, 64},
		{"a chunk fits", 100_000, 50, 1, 40 * time.Millisecond, never, 512},
		{"no target", 6000, 40, 1, 0, never, 512},
	} {
		t.Run(c.name, func(t *testing.T) {
			settings := StepDefaults()
			settings.GapTarget = c.target
			limit := settings.Limit(NewStepCost(c.prefill, c.decode), c.decoding, 512, c.late)
			require.InDelta(t, c.want, limit, 1)
		})
	}
}

// TestStepCostLearns guards against limits that stay based on configured rates far from the measured ones.
func TestStepCostLearns(t *testing.T) {
	c := NewStepCost(8000, 40)
	for i := range 2000 {
		tokens, decoding := int64(i%5)*128, i%7
		seconds := float64(tokens)/5000 + float64(min(1, decoding))*0.020 + float64(decoding)*0.0005
		c.Observe(tokens, decoding, time.Duration(seconds*float64(time.Second)))
	}
	require.InDelta(t, 0.0002, c.Token(), 2e-6)
	require.InDelta(t, 0.022, c.Decode(4), 2e-4)
}

// TestLateAt guards against keeping the step limit although a deadline needs the full engine, and against lifting it for work
// that can wait.
func TestLateAt(t *testing.T) {
	item := func(id, rank string, tokens int64, deadline time.Duration) Item {
		return Item{ID: id, Account: "a", Rank: rank, PromptTokens: tokens, Deadline: start.Add(deadline)}
	}
	for _, c := range []struct {
		name    string
		items   []Item
		reserve float64
		late    bool
	}{
		{"empty", nil, 0, false},
		{"in time", []Item{item("1", "day", 9000, 10*time.Second)}, 0, false},
		{"in time but for the reserve", []Item{item("1", "day", 9000, 10*time.Second)}, 0.5, true},
		{"too long a prompt", []Item{item("1", "day", 11_000, 10*time.Second)}, 0, true},
		{"behind more urgent work", []Item{item("1", "day", 9000, 10*time.Second), item("2", "urgent", 2000, 5*time.Second)}, 0, true},
		{"before less urgent work", []Item{item("1", "day", 9000, 10*time.Second), item("2", "night", 9000, time.Minute)}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := newQueue(nil)
			for _, i := range c.items {
				require.NoError(t, q.Push(i, start))
			}
			require.Equal(t, c.late, q.LateAt(1000, c.reserve, start))
		})
	}
}

// TestStepLimitBoundsGrants guards against granting several chunks in a limited step.
func TestStepLimitBoundsGrants(t *testing.T) {
	q := newQueue(nil)
	push(t, q, "day", "a", 1000, 2)
	q.SetStepLimit(128)
	grant, ok := q.Next(start)
	require.True(t, ok)
	require.EqualValues(t, 128, grant.Tokens)
	_, ok = q.Next(start)
	require.False(t, ok)
}
