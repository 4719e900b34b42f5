package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// drawObservations draws crashes and answers that a node sees. Crashes of one instance are further apart than sameCrash.
func drawObservations(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		s := step{parts: rapid.SliceOfN(rapid.Uint64Range(1, 4), 1, 3).Draw(t, "parts")}
		slot := rapid.IntRange(0, 6).Draw(t, "slot")
		if rapid.Bool().Draw(t, "is answer") {
			s.at = time.Duration(slot)*4*time.Second + 2*time.Second
			return s
		}
		instance := rapid.IntRange(0, 2).Draw(t, "instance")
		s.instance = fmt.Sprint("engine-", instance)
		s.at = time.Duration(slot)*4*time.Second + time.Duration(instance)*500*time.Millisecond
		return s
	}), 0, 12).Draw(t, "steps")
}

// drawState returns what a node tells others after some observations.
func drawState(t *rapid.T, name string, start, now time.Time) []*nodepb.SuspectPart {
	l := New(name)
	record(l, start, drawObservations(t))
	for _, s := range l.suspects {
		s.changedAt = now
	}
	return l.Suspects(now)
}

// merged returns the state of a node that received some messages.
func merged(now time.Time, messages ...[]*nodepb.SuspectPart) (*List, string) {
	l := New("receiver")
	for _, m := range messages {
		l.Apply(m, now)
	}
	return l, fmt.Sprint(&nodepb.LoadReport{Suspects: l.Suspects(now)})
}

// Guards against nodes that come to different verdicts because they received the same news in another order, or twice.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_000_000, 0)
		now := start.Add(time.Minute)
		a, b, c := drawState(t, "a", start, now), drawState(t, "b", start, now), drawState(t, "c", start, now)
		one, state := merged(now, a, b, c)
		other, otherState := merged(now, c, a, b)
		require.Equal(t, state, otherState)
		_, repeated := merged(now, a, b, a, c, c, b)
		require.Equal(t, state, repeated)
		for part := range uint64(5) {
			_, allowed := one.Check([]uint64{part}, now)
			_, otherAllowed := other.Check([]uint64{part}, now)
			require.Equal(t, allowed, otherAllowed)
		}
	})
}

// Guards against a state or a message that grows without bounds, and against malformed messages that end the process.
func TestStateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := New("node"), time.Unix(1_000_000, 0)
		part := rapid.Uint64Range(0, 200)
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			l.Revision(now)
			parts := rapid.SliceOfN(part, 0, 40).Draw(t, "parts")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				l.RecordCrash(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "instance")), parts, now)
			case 1:
				l.RecordAnswer(parts, now)
			case 2:
				l.Check(parts, now)
			case 3:
				var suspects []*nodepb.SuspectPart
				for _, p := range parts {
					suspects = append(suspects, &nodepb.SuspectPart{
						Part: p, Instances: rapid.SliceOfN(rapid.Uint32(), 0, 40).Draw(t, "instances"),
						AgesMs: rapid.SliceOfN(rapid.Uint32(), 0, 40).Draw(t, "ages"), AnsweredMs: rapid.Uint32().Draw(t, "answered"),
					})
				}
				l.Apply(suspects, now)
			}
			require.LessOrEqual(t, len(l.suspects), maxSuspects)
			for _, s := range l.suspects {
				require.LessOrEqual(t, len(s.crashes), maxCrashes+1)
				require.NotEmpty(t, s.crashes)
			}
			require.Less(t, proto.Size(&nodepb.LoadReport{Suspects: l.Suspects(now)}), 3000)
		}
		l.Revision(now.Add(10 * maxBlock))
		require.Empty(t, l.suspects)
	})
}

// Guards against an old answer that seems newer with each transfer, until it clears later crashes.
func TestOldAnswerStaysOld(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	nodes := []*List{New("a"), New("b"), New("c")}
	parts := []uint64{testDeadly}
	nodes[0].RecordCrash("a", parts, now)
	nodes[0].RecordAnswer(parts, now.Add(100*time.Millisecond))
	for i, instance := range []string{"b", "c", "d"} {
		nodes[0].RecordCrash(instance, parts, now.Add(time.Duration(i+1)*time.Second))
	}
	now = now.Add(3 * time.Second)
	for i := range 100 {
		message := nodes[i%3].Suspects(now)
		now = now.Add(300 * time.Millisecond)
		nodes[(i+1)%3].Apply(message, now)
	}
	for _, l := range nodes {
		verdict, ok := l.Check(parts, now)
		require.False(t, ok)
		require.Equal(t, 3, verdict.Crashes)
	}
}

// Guards against late news of crashes that blocks a part which this node keeps answering.
func TestLateNewsOfCrashes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	late, l := New("late"), New("node")
	record(late, now, []step{crashed(0, "a", testRare), crashed(time.Second, "b", testRare), crashed(2*time.Second, "c", testRare)})
	l.RecordAnswer([]uint64{testRare}, now.Add(2100*time.Millisecond))
	now = now.Add(2500 * time.Millisecond)
	require.Empty(t, l.Apply(late.Suspects(now), now))
	_, ok := l.Check([]uint64{testRare}, now)
	require.True(t, ok)
	late.Apply(l.Suspects(now), now)
	_, ok = late.Check([]uint64{testRare}, now)
	require.True(t, ok, "the other node is told of the answer")
}

// Guards against messages that waited in the socket of a paused process: their ages are wrong.
func TestPausedProcessAppliesNothingOld(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	parts := []uint64{testRare}
	other, l := New("other"), New("node")
	record(other, now, []step{crashed(0, "a", testRare), crashed(time.Second, "b", testRare), crashed(2*time.Second, "c", testRare)})
	l.Revision(now)
	message := other.Suspects(now.Add(2 * time.Second))
	now = now.Add(20 * time.Second)
	require.Empty(t, l.Apply(message, now))
	require.Empty(t, l.RecordCrash("d", parts, now))
	l.Revision(now)
	require.Empty(t, l.Apply(message, now.Add(100*time.Millisecond)))
	require.Empty(t, l.Suspects(now))
	require.Equal(t, parts, l.Apply(other.Suspects(now.Add(time.Second)), now.Add(time.Second)))
}

// Guards against news that is late on each way: a crash that comes back seconds older than it is must not count as another one.
func TestLateNewsOfACrashIsOneCrash(t *testing.T) {
	for _, late := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 1100 * time.Millisecond, 1900 * time.Millisecond, 2900 * time.Millisecond} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			start := time.Unix(1_000_000, 0)
			nodes := []*List{New("a"), New("b"), New("c")}
			// Two nodes see the same crash.
			nodes[0].RecordCrash("i", []uint64{testRare}, start)
			nodes[1].RecordCrash("i", []uint64{testRare}, start.Add(50*time.Millisecond))
			type message struct {
				to       *List
				suspects []*nodepb.SuspectPart
			}
			var waiting [][]message
			const interval = 100 * time.Millisecond
			for round := range 300 {
				now := start.Add(time.Duration(round+1) * interval)
				var sent []message
				for i, from := range nodes {
					from.Revision(now)
					for j, to := range nodes {
						if i != j {
							sent = append(sent, message{to, from.Suspects(now)})
						}
					}
				}
				if waiting = append(waiting, sent); len(waiting) > int(late/interval) {
					for _, m := range waiting[0] {
						m.to.Apply(m.suspects, now)
					}
					waiting = waiting[1:]
				}
			}
			for _, l := range nodes {
				require.Len(t, l.suspects[testRare].crashes, 1)
			}
		})
	}
}
