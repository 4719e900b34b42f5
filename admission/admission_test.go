package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/sched"
)

var now = time.Unix(1000, 0)

// TestDecide guards against queueing requests that cannot meet their deadline, and against refusing requests that can.
func TestDecide(t *testing.T) {
	tests := map[string]struct {
		request Request
		ahead   sched.Ahead
		first   time.Duration
		refused failure.Kind
		retry   time.Duration
	}{
		"idle engine":                {request: Request{PromptTokens: 1000}, first: 100 * time.Millisecond},
		"queue fits":                 {request: Request{PromptTokens: 1000}, ahead: sched.Ahead{Tokens: 8000}, first: 900 * time.Millisecond},
		"queue too long":             {request: Request{PromptTokens: 1000}, ahead: sched.Ahead{Tokens: 20000}, first: 2100 * time.Millisecond, refused: failure.DeadlineUnreachable, retry: 1100 * time.Millisecond},
		"floor shortens wait":        {request: Request{PromptTokens: 1000}, ahead: sched.Ahead{Tokens: 90000, FloorTokens: 500, FloorShare: 0.5}, first: 300 * time.Millisecond},
		"urgent work keeps arriving": {request: Request{PromptTokens: 4000}, ahead: sched.Ahead{Share: 0.25}, first: 1600 * time.Millisecond, refused: failure.DeadlineUnreachable, retry: 600 * time.Millisecond},
		"prompt too long":            {request: Request{PromptTokens: 11000}, first: 1100 * time.Millisecond, refused: failure.DeadlineUnreachable, retry: 200 * time.Millisecond},
		"fetch overlaps queue":       {request: Request{PromptTokens: 1000, Fetch: 500 * time.Millisecond}, ahead: sched.Ahead{Tokens: 4000}, first: 600 * time.Millisecond},
		"waits for a slot":           {request: Request{PromptTokens: 1000}, ahead: sched.Ahead{Slots: 8, Running: 16}, first: 2100 * time.Millisecond, refused: failure.DeadlineUnreachable, retry: 1100 * time.Millisecond},
		"waits for weights":          {request: Request{PromptTokens: 1000, VersionWait: 800 * time.Millisecond}, first: 900 * time.Millisecond},
		"draining":                   {request: Request{Draining: true}, refused: failure.Draining},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.request.Deadline = now.Add(time.Second)
			state := State{Now: now, Ahead: test.ahead, PrefillRate: 10000, RunTime: 4 * time.Second}
			d := Decide(Defaults(), test.request, state)
			require.Equal(t, test.first, d.FirstToken)
			require.Len(t, d.Reasons(), 1)
			if test.refused == "" {
				require.Nil(t, d.Refusal)
				return
			}
			require.Equal(t, test.refused, d.Refusal.Kind)
			require.Equal(t, failure.NotRun, d.Refusal.Execution)
			require.Equal(t, test.retry, d.Refusal.RetryAfter)
		})
	}
}

// TestUnknownRate guards against an overflow that turns an unbounded estimate into a short one.
func TestUnknownRate(t *testing.T) {
	d := Decide(Defaults(), Request{PromptTokens: 1, Deadline: now.Add(time.Hour)}, State{Now: now})
	require.Equal(t, failure.DeadlineUnreachable, d.Refusal.Kind)
	require.Equal(t, 30*time.Second, d.Refusal.RetryAfter)
}

// BenchmarkDecide measures one admission.
func BenchmarkDecide(b *testing.B) {
	request := Request{PromptTokens: 1000, Deadline: now.Add(time.Second)}
	state := State{Now: now, PrefillRate: 10000, Ahead: sched.Ahead{Tokens: 500}}
	b.ReportAllocs()
	for b.Loop() {
		_ = Decide(Defaults(), request, state)
	}
}
