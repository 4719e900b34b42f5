package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// engineQueue reads prompts in the order of their arrival.
type engineQueue struct {
	rate   float64
	tokens float64
}

func (q *engineQueue) drain(ms float64) { q.tokens = max(0, q.tokens-q.rate*ms) }

// outcomeCounts counts the outcomes of the prompts of one kind.
type outcomeCounts struct{ onTime, late, refused int }

func (t outcomeCounts) plus(other outcomeCounts) outcomeCounts {
	return outcomeCounts{t.onTime + other.onTime, t.late + other.late, t.refused + other.refused}
}

func (t outcomeCounts) served() float64 {
	return float64(t.onTime+t.late) / float64(max(1, t.onTime+t.late+t.refused))
}

// promptKind is a size of prompts with their target, in ms.
type promptKind struct {
	tokens float64
	target float64
	// first is set if the engine reads these prompts before the others.
	first bool
	// reused are the tokens that the engine need not read because it holds them.
	reused float64
}

// simulateFlood replays five seconds of prompts at a multiple of what the engine can read. Kinds alternate, and
// refused prompts are retried once after the advised time. It returns the outcomes by kind.
func simulateFlood(admit bool, load float64, kinds ...promptKind) map[promptKind]*outcomeCounts {
	const deadline, step = 5000.0, 10.0
	q := &engineQueue{rate: 50}
	type arrival struct {
		first, at float64
		kind      promptKind
	}
	var pending []arrival
	out, mean := map[promptKind]*outcomeCounts{}, 0.0
	for _, k := range kinds {
		out[k] = &outcomeCounts{}
		mean += k.tokens / float64(len(kinds))
	}
	estimator, start := NewQueueLimitEstimator(), time.Unix(0, 0)
	due, next := 0.0, 0
	for now := 0.0; now < 10_000; now += step {
		q.drain(step)
		if now < 5000 {
			for due += load * q.rate * step / mean; due >= 1; due-- {
				pending = append(pending, arrival{now, now, kinds[next%len(kinds)]})
				next++
			}
		}
		var later []arrival
		for _, a := range pending {
			if a.at > now {
				later = append(later, a)
				continue
			}
			f := Forecast{Wait: fromMs(q.tokens / q.rate), Service: fromMs(a.kind.tokens / q.rate), Queue: fromMs(q.tokens / q.rate)}
			f.Reused = fromMs(a.kind.reused / q.rate)
			if a.kind.first {
				// Half of the queue belongs to more urgent accounts.
				f.Wait /= 2
			}
			timeLeft := a.first + deadline - now
			result := out[a.kind]
			if admit {
				target := fromMs(a.kind.target)
				limits := estimator.Observe("s", fmt.Sprint(a.kind.target), Urgency{PromptTokens: int(a.kind.tokens)}, target, f.Service, start.Add(fromMs(now)))
				ok, retry := Admit(Requirements{Target: target, TimeLeft: fromMs(timeLeft), Limits: limits}, f)
				if !ok {
					if a.first == a.at {
						later = append(later, arrival{a.first, now + max(step, float64(retry.Milliseconds())), a.kind})
					} else {
						result.refused++
					}
					continue
				}
			}
			q.tokens += a.kind.tokens
			switch total := now - a.first + toMs(f.FirstEvent()); {
			case total <= a.kind.target:
				result.onTime++
			case total <= deadline:
				result.late++
			default:
				result.refused++
			}
		}
		pending = later
	}
	return out
}

// Guards against a flood of long prompts that makes all of them late: with admission the engine answers most of what
// it can read on time, without admission almost nothing.
func TestFloodOfLongPromptsKeepsAnswersOnTime(t *testing.T) {
	k := promptKind{tokens: 6000, target: 1000}
	with, without := simulateFlood(true, 2.5, k)[k], simulateFlood(false, 2.5, k)[k]
	// The engine can read 40 of 100 prompts.
	require.Greater(t, with.served(), 0.36, "%+v", with)
	require.Greater(t, with.onTime, 2*without.onTime, "%+v, without admission %+v", with, without)
}

// Guards against a flood of mixed sizes in which only small prompts are served. If each prompt is judged by its own
// time, one in ten that is three times as large needs a shorter queue than the small ones leave.
func TestFloodOfMixedSizesServesTheLargeOnes(t *testing.T) {
	small, large := promptKind{tokens: 5000, target: 1000}, promptKind{tokens: 17_000, target: 1000}
	result := simulateFlood(true, 2.5, small, small, small, small, large, small, small, small, small, small)
	// The largest tenth of a kind must be served at least half as often as the whole kind.
	require.Greater(t, result[large].served(), result[small].served()/2, "%+v, small %+v", result[large], result[small])
	require.Greater(t, result[small].served(), 0.3, "%+v", result[small])
}

// Guards against long prompts with a late target that fill the queue up to it, so that prompts with an earlier
// target, which wait behind those of more urgent accounts, are never admitted.
func TestFloodOfPatientPromptsLeavesRoomForOthers(t *testing.T) {
	patient, hasty := promptKind{tokens: 12_000, target: 2000}, promptKind{tokens: 2000, target: 600, first: true}
	result := simulateFlood(true, 2.5, patient, hasty)
	// A kind of request must be served at least a quarter as often as all.
	require.Greater(t, result[hasty].served(), 0.25*result[patient].served(), "%+v, patient %+v", result[hasty], result[patient])
	require.Greater(t, float64(result[hasty].onTime), 0.7*float64(result[hasty].onTime+result[hasty].late), "%+v", result[hasty])
	require.Greater(t, result[patient].served(), 0.3, "%+v", result[patient])
}

// Guards against a flood in which the prompts that arrive first take the engine, whatever they need: those whose document the
// engine holds cost a quarter of the others.
func TestFloodServesPromptsWithHeldParts(t *testing.T) {
	cold, hasty := promptKind{tokens: 12_000, target: 2000}, promptKind{tokens: 2000, target: 600, first: true}
	replay := func(hot promptKind) (all outcomeCounts, result map[promptKind]*outcomeCounts) {
		result = simulateFlood(true, 2.5, hot, cold, hasty)
		return result[hot].plus(*result[cold]).plus(*result[hasty]), result
	}
	hot := promptKind{tokens: 3000, target: 2000}
	before, _ := replay(hot)
	hot.reused = 9000
	all, result := replay(hot)
	require.Greater(t, all.onTime, before.onTime)
	require.Greater(t, result[hot].served(), result[cold].served())
	// A kind of request must be served at least a quarter as often as all.
	require.Greater(t, result[cold].served(), 0.25*all.served(), "cold %+v, all %+v", result[cold], all)
	require.Greater(t, float64(result[hasty].onTime), 0.7*float64(result[hasty].onTime+result[hasty].late), "%+v", result[hasty])
}

// Guards against refusals while the engine keeps up with the load.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	k := promptKind{tokens: 6000, target: 1000}
	result := simulateFlood(true, 0.8, k)[k]
	require.Zero(t, result.refused)
	require.Zero(t, result.late)
	require.Positive(t, result.onTime)
}

// Guards against a route without traffic that still narrows the queue for the others.
func TestRoomForgetsRoutesThatAreGone(t *testing.T) {
	r, now, long := NewQueueLimitEstimator(), time.Unix(1000, 0), Urgency{PromptTokens: 9000}
	r.Observe("s", "gone", Urgency{}, 100*time.Millisecond, 10*time.Millisecond, now)
	require.Less(t, r.Observe("s", "r", long, time.Second, 10*time.Millisecond, now).MaxQueue, 100*time.Millisecond)
	require.Greater(t, r.Observe("s", "r", long, time.Second, 10*time.Millisecond, now.Add(routeTimeout+time.Second)).MaxQueue, 800*time.Millisecond)
	require.Greater(t, r.Observe("other", "r", long, time.Second, 10*time.Millisecond, now).MaxQueue, 800*time.Millisecond, "services do not share queues")
}

// Guards against refusing urgent requests because of a queue that engines let them overtake, and against retry advice
// beyond the third of the time left that callers wait.
func TestAdmitByUrgency(t *testing.T) {
	late := Forecast{Wait: 2 * time.Second}
	ok, _ := Admit(Requirements{Target: 400 * time.Millisecond, TimeLeft: 15 * time.Second, Short: true}, late)
	require.True(t, ok)
	ok, _ = Admit(Requirements{Target: 400 * time.Millisecond, TimeLeft: time.Second, Short: true}, late)
	require.False(t, ok, "a request without enough time left is refused at once")
	ok, retry := Admit(Requirements{Target: 400 * time.Millisecond, TimeLeft: 3 * time.Second}, late)
	require.False(t, ok)
	require.Greater(t, retry, time.Duration(0))
	require.LessOrEqual(t, retry, time.Second)
}

// Guards against refusing requests with an early target because of the long prompts that they overtake: with the
// limit on all queued work, 2,105 of 4,954 such requests were refused in a flood of long prompts with a late target.
func TestQueueLimitIsForRoutesOfLongPrompts(t *testing.T) {
	estimator, now := NewQueueLimitEstimator(), time.Unix(1000, 0)
	f := Forecast{Wait: 100 * time.Millisecond, Service: 50 * time.Millisecond, Queue: 800 * time.Millisecond}
	admitted := func(route string, target time.Duration, tokens int) (ok bool) {
		for range 20 {
			limits := estimator.Observe("s", route, Urgency{PromptTokens: tokens}, target, f.Service, now)
			ok, _ = Admit(Requirements{Target: target, TimeLeft: 3 * time.Second, Limits: limits}, f)
		}
		return ok
	}
	require.True(t, admitted("hasty", 600*time.Millisecond, 2400))
	require.False(t, admitted("patient", 2*time.Second, 12_000))
	limits := estimator.Observe("s", "patient", Urgency{PromptTokens: 3000}, 2*time.Second, f.Service, now)
	ok, _ := Admit(Requirements{Target: 2 * time.Second, TimeLeft: 3 * time.Second, Limits: limits}, f)
	require.False(t, ok, "the small prompts of a route of long ones meet the limit of the others")
}
