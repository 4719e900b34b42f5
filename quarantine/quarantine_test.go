package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/placement"
)

const testDeadly, testShared, testOther, testRare uint64 = 1, 2, 3, 4

// step is one observation at a node.
type step struct {
	at       time.Duration
	instance string
	parts    []uint64
}

func crashed(at time.Duration, instance string, parts ...uint64) step {
	return step{at, instance, parts}
}

func answered(at time.Duration, parts ...uint64) step { return step{at: at, parts: parts} }

func record(l *List, start time.Time, steps []step) (blocked []uint64) {
	for _, s := range steps {
		if s.instance == "" {
			l.RecordAnswer(s.parts, start.Add(s.at))
			continue
		}
		blocked = append(blocked, l.RecordCrash(s.instance, s.parts, start.Add(s.at))...)
	}
	return blocked
}

// Guards against a part that crashes engines and is sent on, and against sound parts that are refused.
func TestBlockedParts(t *testing.T) {
	for name, test := range map[string]struct {
		steps   []step
		blocked []uint64
		// doubtfulSoon and doubtfulLater are the parts that need a trial up to maxNewsDelay after the last crash, and later.
		doubtfulSoon, doubtfulLater []uint64
	}{
		"one crash":                     {steps: []step{crashed(0, "a", testDeadly, testShared)}},
		"two crashes without an answer": {steps: []step{crashed(0, "a", testRare), crashed(time.Second, "b", testRare)}},
		"three crashes without an answer": {
			steps:   []step{crashed(0, "a", testDeadly), crashed(time.Second, "b", testDeadly), crashed(2*time.Second, "c", testDeadly)},
			blocked: []uint64{testDeadly},
		},
		"an instance that crashes again": {
			steps:   []step{crashed(0, "a", testDeadly), crashed(4*time.Second, "a", testDeadly), crashed(8*time.Second, "a", testDeadly)},
			blocked: []uint64{testDeadly},
		},
		"an answer between the crashes": {
			steps: []step{
				crashed(0, "a", testRare), crashed(time.Second, "b", testRare), answered(2*time.Second, testRare),
				crashed(3*time.Second, "c", testRare), crashed(4*time.Second, "d", testRare),
			},
		},
		"an answer that began before the crashes": {
			steps: []step{
				crashed(0, "a", testRare), crashed(time.Second, "b", testRare), crashed(2*time.Second, "c", testRare),
				answered(-time.Second, testRare),
			},
			blocked: []uint64{testRare},
		},
		"an answer after the crashes": {
			steps: []step{
				crashed(0, "a", testRare), crashed(time.Second, "b", testRare), crashed(2*time.Second, "c", testRare),
				answered(3*time.Second, testRare),
			},
		},
		"crashes that are found out after an answer": {
			steps: []step{
				answered(3*time.Second, testRare), crashed(0, "a", testRare), crashed(time.Second, "b", testRare),
				crashed(2*time.Second, "c", testRare),
			},
		},
		"engines that crash together": {
			steps:        []step{crashed(0, "a", testRare), crashed(50*time.Millisecond, "b", testRare), crashed(300*time.Millisecond, "c", testRare)},
			doubtfulSoon: []uint64{testRare}, doubtfulLater: []uint64{testRare},
		},
		"engines that crash together beside a part in constant use": {
			steps: []step{
				answered(-time.Second, testShared), crashed(0, "a", testShared), crashed(50*time.Millisecond, "b", testShared), crashed(300*time.Millisecond, "c", testShared),
			},
		},
		"one crash that is noticed twice": {
			steps: []step{crashed(0, "a", testRare), crashed(time.Second, "b", testRare), crashed(1500*time.Millisecond, "a", testRare)},
		},
		"crashes without prompts": {steps: []step{crashed(0, "a"), crashed(time.Second, "b"), crashed(2*time.Second, "c")}},
		"a part that came with the deadly one": {
			steps: []step{
				crashed(0, "a", testDeadly, testShared), answered(100*time.Millisecond, testShared),
				crashed(time.Second, "b", testDeadly, testShared, testOther), crashed(2*time.Second, "c", testDeadly, testShared, testOther),
				crashed(3*time.Second, "d", testDeadly, testShared, testOther),
			},
			blocked:      []uint64{testDeadly},
			doubtfulSoon: []uint64{testOther}, doubtfulLater: []uint64{testShared},
		},
		"a part that was answered more recently than the deadly one": {
			steps: []step{
				answered(-time.Second, testDeadly, testShared), answered(-time.Millisecond, testShared),
				crashed(0, "a", testDeadly, testShared), crashed(time.Second, "b", testDeadly, testShared),
				crashed(2*time.Second, "c", testDeadly, testShared),
			},
			doubtfulSoon: []uint64{testDeadly}, doubtfulLater: []uint64{testDeadly, testShared},
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, start := New("node"), time.Unix(1000, 0)
			record(l, start, test.steps)
			for _, check := range []struct {
				at       time.Duration
				doubtful []uint64
			}{{4 * time.Second, test.doubtfulSoon}, {9 * time.Second, test.doubtfulLater}} {
				for _, part := range []uint64{testDeadly, testShared, testOther, testRare} {
					verdict, ok := l.Check([]uint64{part}, start.Add(check.at))
					if slices.Contains(check.doubtful, part) {
						require.False(t, ok, "part %d at %v", part, check.at)
						require.Equal(t, []uint64{part}, verdict.Doubtful)
						require.Contains(t, verdict.Trials, part)
						continue
					}
					require.Equal(t, !slices.Contains(test.blocked, part), ok, "part %d at %v", part, check.at)
					if !ok {
						require.Empty(t, verdict.Doubtful)
						require.Equal(t, part, verdict.Part)
						require.Positive(t, verdict.RetryAfter)
						require.GreaterOrEqual(t, verdict.Crashes, minCrashes)
					}
				}
			}
		})
	}
}

// Guards against a block that is logged more than once, or not again after an answer.
func TestNewlyBlockedPartsAreReturnedOnce(t *testing.T) {
	l, start := New("node"), time.Unix(1000, 0)
	crashes := []step{crashed(0, "a", testDeadly), crashed(time.Second, "b", testDeadly), crashed(2*time.Second, "c", testDeadly)}
	require.Equal(t, []uint64{testDeadly}, record(l, start, crashes))
	l.RecordAnswer([]uint64{testDeadly}, start.Add(3*time.Second))
	require.Equal(t, []uint64{testDeadly}, record(l, start.Add(10*time.Second), crashes))
}

// Guards against several trials of a part at once, and against blocks that don't grow with the crashes.
func TestTrialsAfterABlock(t *testing.T) {
	l, now := New("node"), time.Unix(1000, 0)
	parts := []uint64{testDeadly}
	record(l, now, []step{crashed(0, "a", testDeadly), crashed(time.Second, "b", testDeadly), crashed(2*time.Second, "c", testDeadly)})
	now = now.Add(2 * time.Second)
	earlier := time.Duration(0)
	for crashes := minCrashes; crashes < 8; crashes++ {
		verdict, ok := l.Check(parts, now)
		require.False(t, ok)
		require.Equal(t, crashes, verdict.Crashes)
		require.Greater(t, verdict.RetryAfter, blockTime(crashes)-time.Nanosecond)
		require.Greater(t, verdict.RetryAfter, earlier)
		earlier = verdict.RetryAfter
		now = now.Add(verdict.RetryAfter)
		_, ok = l.Check(parts, now)
		require.True(t, ok, "the trial")
		verdict, ok = l.Check(parts, now.Add(time.Second))
		require.False(t, ok, "a second one beside it")
		require.LessOrEqual(t, verdict.RetryAfter, trialTimeout)
		now = now.Add(2 * time.Second)
		l.RecordCrash(fmt.Sprint("engine-", crashes), parts, now)
	}
	verdict, _ := l.Check(parts, now)
	now = now.Add(verdict.RetryAfter)
	_, ok := l.Check(parts, now)
	require.True(t, ok)
	l.RecordAnswer(parts, now.Add(time.Second))
	for range 3 {
		_, ok = l.Check(parts, now.Add(2*time.Second))
		require.True(t, ok, "an answer ends the block")
	}
}

// Guards against a block that ends early because many crashes are known, or because all of them were at one time.
func TestManyCrashes(t *testing.T) {
	l, now := New("node"), time.Unix(1_000_000, 0)
	for i := range 5 * maxCrashes {
		l.RecordCrash(fmt.Sprint("engine-", i), []uint64{testDeadly}, now.Add(time.Duration(i)*10*time.Millisecond))
	}
	now = now.Add(time.Minute)
	for i := range 2 * maxCrashes {
		verdict, ok := l.Check([]uint64{testDeadly}, now)
		require.False(t, ok)
		require.GreaterOrEqual(t, verdict.RetryAfter, manyBlock-time.Minute)
		require.LessOrEqual(t, verdict.RetryAfter, 2*maxBlock)
		now = now.Add(verdict.RetryAfter)
		_, ok = l.Check([]uint64{testDeadly}, now)
		require.True(t, ok)
		l.RecordCrash(fmt.Sprint("later-", i), []uint64{testDeadly}, now)
	}
}

// Guards against a trial that blocks the part for good because its caller left, and against one that is used up by a
// prompt that is refused for another part.
func TestTrialWithoutOutcome(t *testing.T) {
	l, start := New("node"), time.Unix(1000, 0)
	record(l, start, []step{crashed(0, "a", testRare), crashed(time.Second, "b", testRare), crashed(2*time.Second, "c", testRare)})
	verdict, _ := l.Check([]uint64{testRare}, start.Add(2*time.Second))
	now := start.Add(2*time.Second + verdict.RetryAfter)
	record(l, now, []step{crashed(-2*time.Second, "d", testDeadly), crashed(-time.Second, "e", testDeadly), crashed(0, "f", testDeadly)})
	_, ok := l.Check([]uint64{testRare, testDeadly}, now)
	require.False(t, ok)
	for range 2 {
		_, ok = l.Check([]uint64{testRare}, now)
		require.True(t, ok)
		now = now.Add(trialTimeout)
	}
}

// Guards against the last part, which belongs to one request, among the keys.
func TestKeys(t *testing.T) {
	require.Nil(t, Keys(nil))
	require.Nil(t, Keys([]placement.Part{{ID: "own"}}))
	require.Equal(t, []uint64{Hash("a"), Hash("b")}, Keys([]placement.Part{{ID: "a"}, {ID: "b"}, {ID: "own"}}))
}
