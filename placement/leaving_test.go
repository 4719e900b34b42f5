package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Guards against nodes that each learn only by a request of their own that an instance leaves, and against news that are lost
// with one datagram.
func TestLeavingInstancesAreTold(t *testing.T) {
	finder, relay, other, now := NewTracker(), NewTracker(), NewTracker(), time.Now()
	key := upstreams.Key{ID: "i", Born: 5}
	heard := map[string][]uint32{}
	relay.NotifyLeaving(func(hashes []uint32) { heard["relay"] = append(heard["relay"], hashes...) })
	other.NotifyLeaving(func(hashes []uint32) {
		heard["other"] = append(heard["other"], hashes...)
		other.PauseLeft(instance("i"), now) // The tracker must not be locked.
	})
	finder.ReportLeaving(key, now)
	require.Equal(t, []uint32{key.Hash()}, finder.Report(1).GetLeaving(), "a report that is lost")
	sendReport(t, finder, relay, "f", 2, now)
	require.Equal(t, []uint32{key.Hash()}, heard["relay"], "the report of the node that found it")
	require.Equal(t, []uint32{key.Hash()}, relay.Digest(now).GetLeaving(), "a digest that is lost")
	digest := relay.Digest(now)
	digest.Zone, digest.Sequence = "z", 2
	_, applied := other.ApplyDigest(digest, "", now)
	require.True(t, applied)
	require.Equal(t, []uint32{key.Hash()}, heard["other"], "the digest of another zone")
	require.Empty(t, other.Digest(now).GetLeaving(), "digests do not repeat those of other zones")
	require.Empty(t, relay.Digest(now.Add(2*leavingReportTime)).GetLeaving(), "news are reported for a while")
}

// Guards against a relay that does not tell what it found itself, and against reports of any size.
func TestNewsOfLeavingInstancesAreBounded(t *testing.T) {
	relay, now := NewTracker(), time.Now()
	for born := range int64(2 * maxLeaving) {
		relay.ReportLeaving(upstreams.Key{ID: "i", Born: born}, now)
	}
	require.Len(t, relay.Digest(now).GetLeaving(), maxLeaving)
	require.Len(t, relay.Report(1).GetLeaving(), maxLeaving)
}

// Guards against late news about an incarnation that concern the next one under the same id.
func TestHashDiffersBetweenIncarnations(t *testing.T) {
	seen := map[uint32]upstreams.Key{}
	for _, key := range []upstreams.Key{{ID: "i"}, {ID: "i", Born: 1}, {ID: "i", Born: 256}, {ID: "i1"}, {ID: "j"}, {ID: "i", Born: 1 << 40}} {
		require.NotContains(t, seen, key.Hash(), "%v", key)
		seen[key.Hash()] = key
	}
}
