package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// engineQueue reads prompts in the order of their arrival.
type engineQueue struct {
	rate   float64
	tokens float64
}

func (q *engineQueue) pass(ms float64) { q.tokens = max(0, q.tokens-q.rate*ms) }

// flood replays five seconds of long prompts at a multiple of what the engine can read, with the refused ones coming
// back once after the advice. It returns how many were on time, late and never served.
func flood(admit bool, load float64) (onTime, late, refused int) {
	const target, deadline, step, tokens = 1000.0, 5000.0, 10.0, 6000.0
	q := &engineQueue{rate: 50}
	type arrival struct{ first, at float64 }
	var pending []arrival
	due := 0.0
	for now := 0.0; now < 10_000; now += step {
		q.pass(step)
		if now < 5000 {
			for due += load * q.rate * step / tokens; due >= 1; due-- {
				pending = append(pending, arrival{now, now})
			}
		}
		var later []arrival
		for _, a := range pending {
			if a.at > now {
				later = append(later, a)
				continue
			}
			wait := (q.tokens + tokens) / q.rate
			left := a.first + deadline - now
			if admit {
				expected := time.Duration(wait * float64(time.Millisecond))
				ok, retry := Admit(Wish{Target: time.Duration(target) * time.Millisecond, Left: time.Duration(left) * time.Millisecond}, expected)
				if !ok {
					if a.first == a.at {
						later = append(later, arrival{a.first, now + max(step, float64(retry.Milliseconds()))})
					} else {
						refused++
					}
					continue
				}
			}
			q.tokens += tokens
			switch total := now - a.first + wait; {
			case total <= target:
				onTime++
			case total <= deadline:
				late++
			default:
				refused++
			}
		}
		pending = later
	}
	return onTime, late, refused
}

// Guards against a flood of long prompts that makes all of them late: with admission the engine answers most of what it
// can read on time, without admission nearly nothing.
func TestFloodOfLongPromptsKeepsAnswersOnTime(t *testing.T) {
	onTime, late, refused := flood(true, 2.5)
	total := onTime + late + refused
	// The engine can read 40 of 100 prompts.
	require.Greater(t, float64(onTime+late), 0.36*float64(total), "%d on time, %d late, %d refused", onTime, late, refused)
	without, _, _ := flood(false, 2.5)
	require.Greater(t, onTime, 2*without, "on time without admission: %d, with: %d", without, onTime)
}

// Guards against refusals while the engine keeps up.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	onTime, late, refused := flood(true, 0.8)
	require.Zero(t, refused)
	require.Zero(t, late)
	require.Positive(t, onTime)
}

// Guards against refusing urgent requests for a queue that engines let them pass, and against advice beyond the third
// of the time left that callers wait.
func TestAdmitByUrgency(t *testing.T) {
	late := 2 * time.Second
	ok, _ := Admit(Wish{Target: 400 * time.Millisecond, Left: 15 * time.Second, MostUrgent: true}, late)
	require.True(t, ok)
	ok, _ = Admit(Wish{Target: 400 * time.Millisecond, Left: time.Second, MostUrgent: true}, late)
	require.False(t, ok, "what cannot be served is refused at once")
	ok, retry := Admit(Wish{Target: 400 * time.Millisecond, Left: 3 * time.Second}, late)
	require.False(t, ok)
	require.Greater(t, retry, time.Duration(0))
	require.LessOrEqual(t, retry, time.Second)
}
