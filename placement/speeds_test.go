package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// knownInstances makes trackers know instances from the next list of a directory.
func knownInstances(directory *upstreams.Directory, now time.Time, list []*upstreams.Instance, trackers ...*Tracker) {
	var instances []upstreams.Instance
	for _, i := range list {
		instances = append(instances, *i)
	}
	directory.ApplyList(instances, now)
	for _, tracker := range trackers {
		tracker.Sync(directory.View())
	}
}

func slownessOf(t *Tracker, i *upstreams.Instance, now time.Time) float64 {
	return t.Candidates([]*upstreams.Instance{i}, now, &Request{})[0].Slowness
}

// Guards against a slow instance that only the node knows of that got the answer, against one that a node counts twice because the
// digest of its zone contains its own report, and against figures that a new incarnation inherits. Load: 52 engines give 190 answers/s
// to 30 nodes, so a node gets an answer of a given engine every 8 s.
func TestSpeedsAreExchanged(t *testing.T) {
	now, directory := time.Now(), upstreams.NewDirectory()
	finder, relay, zoneNode, remote := NewTracker(), NewTracker(), NewTracker(), NewTracker()
	slow, other := instance("slow"), instance("other")
	all := []*Tracker{finder, relay, zoneNode, remote}
	knownInstances(directory, now, []*upstreams.Instance{slow, other}, all...)
	for _, tracker := range all {
		tracker.Begin(other, Work{}).RecordSpeed(100, now)
	}
	finder.Begin(slow, Work{}).RecordSpeed(250, now)
	alone := slownessOf(finder, slow, now)
	require.InDelta(t, 2.1, alone, 0.15)
	sendReport(t, finder, relay, "f", 1, now)
	sendReport(t, zoneNode, relay, "z", 1, now)
	digest := relay.Digest(now)
	digest.Zone, digest.Sequence = "z", 1
	require.Len(t, digest.GetSpeeds(), 1)
	zoneNode.ApplyDigest(digest, "z", now)
	finder.ApplyDigest(digest, "f", now)
	remote.ApplyDigest(digest, "", now)
	for _, tracker := range all {
		require.InDelta(t, alone, slownessOf(tracker, slow, now), 0.06, "each observation counts once")
		require.InDelta(t, 1, slownessOf(tracker, other, now), 0.01)
	}
	require.Empty(t, remote.Digest(now).GetSpeeds(), "other zones' speeds are not forwarded")
	copied := *slow
	copied.Born = 7
	restarted := &copied
	knownInstances(directory, now, []*upstreams.Instance{restarted, other}, all...)
	for _, tracker := range all {
		require.InDelta(t, 1, slownessOf(tracker, restarted, now), 0.001)
	}
	require.Len(t, digest.GetSpeeds(), 1)
	digest.Sequence++
	remote.ApplyDigest(digest, "", now)
	require.InDelta(t, 1, slownessOf(remote, restarted, now), 0.001, "a late digest names the former incarnation")
}

// Guards against a slow engine that gets as many requests as the others, and against estimates that have an effect although no answer
// carried a figure for a while.
func TestSlowEngineCostsMore(t *testing.T) {
	now := time.Now()
	tracker, slow, other := NewTracker(), instance("a"), instance("b")
	tracker.Begin(slow, Work{}).RecordSpeed(250, now)
	for _, cacheTokens := range []int{0, 50_000} {
		q := &Request{CacheTokens: cacheTokens, Tokens: 800, Seed: "s"}
		for range 3 {
			found := tracker.Candidates([]*upstreams.Instance{slow, other}, now, q)
			require.Equal(t, other.ID, Pick(q, found).Instance.ID)
			require.Greater(t, EstimateFirstEvent(&Request{CacheTokens: 50_000, Tokens: 800}, &found[0]).FirstEvent(), EstimateUsualFirstEvent(&Request{CacheTokens: 50_000, Tokens: 800}, &found[0]).FirstEvent())
		}
	}
	late := &Request{}
	require.Zero(t, tracker.Candidates([]*upstreams.Instance{slow}, now.Add(time.Minute), late)[0].Slowness)
	require.False(t, late.Uneven)
}

// Guards against nodes that all send to the instance that looks fastest: within the age of reports a plain instance gets no more than
// the share of requests that consider it.
func TestNoHerdAtTheFastestPlainInstance(t *testing.T) {
	now := time.Now()
	for _, n := range []int{3, 5, 20, 300} {
		tracker := NewTracker()
		var list []*upstreams.Instance
		for i := range n {
			list = append(list, instance(fmt.Sprint("p", i)))
			tracker.Begin(list[i], Work{}).RecordSpeed(250-min(150, 150*i/(n-1)), now)
		}
		counts, requests := map[string]int{}, 4000
		for request := range requests {
			q := &Request{Seed: fmt.Sprint(request)}
			counts[Pick(q, tracker.Candidates(list, now, q)).Instance.ID]++
		}
		most := 0
		for _, count := range counts {
			most = max(most, count)
		}
		considered := float64(max(minPlainSample, min(sampleSize, n/2))) / float64(n)
		require.LessOrEqual(t, float64(most), (considered+0.03)*float64(requests), "%d instances", n)
	}
}

// Guards against malformed speeds of another node that have an effect or end the process.
func TestMalformedSpeedsAreIgnored(t *testing.T) {
	now := time.Now()
	tracker, i := NewTracker(), instance("i")
	tracker.Begin(i, Work{}).RecordSpeed(100, now)
	hash := i.Key().Hash()
	tracker.ApplyReport(&nodepb.LoadReport{Node: "n", Sequence: 1, Speeds: []*nodepb.UpstreamSpeed{
		nil, {}, {Instance: hash}, {Instance: hash, Percent: 0, Samples: 5}, {Instance: hash, Percent: 1 << 31, AgeMs: 1 << 31, Samples: 1 << 31}, {Instance: 7, Percent: 300, Samples: 9},
	}}, "z", now)
	require.InDelta(t, 1, slownessOf(tracker, i, now), 0.001)
}
