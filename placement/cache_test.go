package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// sizeShort and sizeLong are size classes of prompts.
const (
	sizeShort = 0
	sizeLong  = 2
)

// Guards against counting on more cache than an engine has, and on parts behind an evicted one.
func TestBelievedCacheDropsTheOldestParts(t *testing.T) {
	c, times, now := newPartCache(newPartHolders(), nil), newRunTimes(), time.Now()
	c.add(keyParts("s", []Part{{"a", 60}}), promptUse{sentAt: now, readAt: now}, 100, &times)
	c.add(keyParts("s", []Part{{"b", 60}}), promptUse{sentAt: now, readAt: now}, 100, &times)
	require.Equal(t, cachedPrefix{}, c.prefix(keyParts("s", []Part{{"a", 60}, {"b", 60}}), now, &times))
	held := c.prefix(keyParts("s", []Part{{"b", 60}, {"c", 1}}), now, &times)
	require.Equal(t, []int{1, 60}, []int{held.parts, held.tokens})
	require.Zero(t, c.prefix(keyParts("other", []Part{{"b", 60}}), now, &times).parts)
}

// Guards against an estimate that keeps the parts of short requests, which have ended, and drops those of a long request
// that still runs: engines do the opposite, and a fetch of the evicted parts finds nothing.
func TestPartsOfRunningRequestsStay(t *testing.T) {
	c, now := newPartCache(newPartHolders(), nil), time.Now()
	times := runTimes{100 * time.Millisecond, time.Second, 3 * time.Second}
	long, short := keyParts("s", []Part{{"manual", 60}}), keyParts("s", []Part{{"call", 30}})
	c.add(long, promptUse{sentAt: now, readAt: now, size: sizeLong}, 100, &times)
	c.add(short, promptUse{sentAt: now.Add(time.Second), readAt: now, size: sizeShort}, 100, &times)
	c.add(keyParts("s", []Part{{"reply", 30}}), promptUse{sentAt: now.Add(2 * time.Second), readAt: now, size: sizeShort}, 100, &times)
	require.Equal(t, 1, c.prefix(long, now, &times).parts)
	require.Zero(t, c.prefix(short, now, &times).parts)
	// Later the long request has ended before all others.
	for _, part := range []string{"third", "fourth"} {
		c.add(keyParts("s", []Part{{part, 30}}), promptUse{sentAt: now.Add(4 * time.Second), readAt: now, size: sizeShort}, 100, &times)
	}
	require.Zero(t, c.prefix(long, now, &times).parts)
}

// Guards against an estimate in which a short request ends the use of a part by a long one.
func TestLongestUseOfAPartCounts(t *testing.T) {
	c, now := newPartCache(newPartHolders(), nil), time.Now()
	times := runTimes{100 * time.Millisecond, time.Second, 3 * time.Second}
	shared := keyParts("s", []Part{{"common", 10}})
	c.add(shared, promptUse{sentAt: now, readAt: now, size: sizeLong}, 100, &times)
	c.add(shared, promptUse{sentAt: now.Add(time.Second), readAt: now.Add(time.Second), size: sizeShort}, 100, &times)
	require.Equal(t, 10, c.prefix(shared, now.Add(2*time.Second), &times).usedTokens)
	require.Zero(t, c.prefix(shared, now.Add(3*time.Second+time.Millisecond), &times).usedTokens)
	require.Equal(t, 10, c.tokens)
}

// Guards against fetches from an engine that still reads the part, as happens when many requests for one document arrive
// at once: the fetch finds nothing, and the document is read once more. Nodes tell each other when engines will have read
// a prompt.
func TestPartsAreFetchedOnlyAfterTheyWereRead(t *testing.T) {
	sender, receiver, now := NewTracker(), NewTracker(), time.Now()
	reader, other := instance("reader"), instance("other")
	q := &Request{Model: "m", Parts: []Part{{"a", 10}, {"own", 5}}, TokenTransfer: time.Microsecond, StoredVersion: 1}
	for _, tracker := range []*Tracker{sender, receiver} {
		for _, i := range []*upstreams.Instance{reader, other} {
			tracker.state(i.Key()).setVersion("m", 1)
		}
	}
	sender.Begin(reader, Work{Salt: q.Salt(1), Parts: q.Parts, CacheTokens: 100, FirstEvent: 200 * time.Millisecond})
	report := sender.Report(1)
	report.Node = "sender"
	receiver.ApplyReport(report, "z", now)
	for name, tracker := range map[string]*Tracker{"sender": sender, "receiver": receiver} {
		held := func(at time.Time) int {
			candidates := tracker.Candidates([]*upstreams.Instance{reader, other}, at, q)
			require.NotZero(t, candidates[0].CachedParts, name)
			MarkHeld(q, candidates)
			return len(q.Held)
		}
		require.Zero(t, held(now.Add(100*time.Millisecond)), name)
		require.Equal(t, 1, held(now.Add(300*time.Millisecond)), name)
	}
}

// Guards against run times that stay at their initial value, and ones that jump to the time of a single request.
func TestRunTimesAreLearned(t *testing.T) {
	times := newRunTimes()
	times.observe(sizeLong, 3*time.Second)
	require.Less(t, times[sizeLong], 1200*time.Millisecond)
	for range 100 {
		times.observe(sizeLong, 3*time.Second)
	}
	require.Greater(t, times[sizeLong], 2900*time.Millisecond)
	require.Equal(t, initialRunTime, times[sizeShort])
}
