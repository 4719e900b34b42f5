package fleetview

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/blake3"
	"storj.io/drpc"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// Guards against a set that is fetched from another zone, or over the network, although a nearer core member has it.
func TestNearestSourceIsChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newSetSources("n", "a", "self")
	s.announce("far", "b", 5, now)
	_, wait := s.choose(now)
	require.Equal(t, nearbyDelay, wait, "a member of the own zone may be a moment behind")
	s.announce("near", "a", 5, now.Add(time.Millisecond))
	address, _ := s.choose(now.Add(time.Millisecond))
	require.Equal(t, "near", address)
	s.announce("self", "a", 5, now.Add(2*time.Millisecond))
	address, _ = s.choose(now.Add(2 * time.Millisecond))
	require.Equal(t, "self", address)
	s.remove("self")
	s.remove("near")
	address, _ = s.choose(now.Add(nearbyDelay))
	require.Equal(t, "far", address)
}

// Guards against fetching a set that the node has, and against waiting for a timer when nothing is due.
func TestNothingIsFetchedWithoutANewerVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newSetSources("n", "a", "")
	require.True(t, s.announce("m", "a", 5, now))
	require.False(t, s.announce("m", "a", 5, now))
	s.recordSet(5, now)
	address, wait := s.choose(now)
	require.Empty(t, address)
	require.Zero(t, wait)
	require.False(t, s.announce("other", "a", 4, now))
	require.True(t, s.announce("other", "a", 6, now))
	address, _ = s.choose(now)
	require.Equal(t, "other", address)
}

// Guards against a node that keeps asking a core member that does not deliver while others have the set, and against one that never
// asks again after all have failed.
func TestFailedSourceIsLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newSetSources("n", "a", "")
	s.announce("near", "a", 5, now)
	s.announce("far", "b", 5, now)
	s.recordFailure("near", now)
	address, _ := s.choose(now.Add(nearbyDelay))
	require.Equal(t, "far", address)
	s.recordFailure("far", now)
	_, wait := s.choose(now)
	require.Equal(t, minSourceRetry, wait)
	for range 50 {
		s.recordFailure("near", now)
		s.recordFailure("far", now)
	}
	address, wait = s.choose(now)
	require.Empty(t, address)
	require.Equal(t, maxSourceRetry, wait)
	address, _ = s.choose(now.Add(maxSourceRetry))
	require.NotEmpty(t, address)
}

// Guards against transfers that all end before their first byte, because the link has a longer queue than the limit allows.
func TestStallLimitGrowsWithFailures(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newSetSources("n", "a", "")
	require.Equal(t, minStallLimit, s.stallLimit())
	s.recordFailure("m", now)
	require.Equal(t, 2*minStallLimit, s.stallLimit())
	for range 100 {
		s.recordFailure("m", now)
	}
	require.Equal(t, maxStallLimit, s.stallLimit())
	s.recordSet(1, now)
	require.Equal(t, minStallLimit, s.stallLimit())
}

// Guards against nodes that all fetch from the same core member.
func TestNodesAreSpreadOverSources(t *testing.T) {
	now, asked := time.Unix(1000, 0), map[string]int{}
	for i := range 60 {
		s := newSetSources(fmt.Sprint("node-", i), "a", "")
		for _, member := range []string{"m1", "m2", "m3"} {
			s.announce(member, "a", 5, now)
		}
		address, _ := s.choose(now)
		asked[address]++
	}
	for _, member := range []string{"m1", "m2", "m3"} {
		require.Greater(t, asked[member], 10)
	}
}

// partStream delivers fixed parts of a set.
type partStream struct {
	drpc.Stream
	parts []*nodepb.SetPart
}

func (s *partStream) Recv() (*nodepb.SetPart, error) {
	if len(s.parts) == 0 {
		return nil, failure.New(failure.UpstreamFailed, failure.NotRun, "the stream has ended")
	}
	part := s.parts[0]
	s.parts = s.parts[1:]
	return part, nil
}

// Guards against sets that are put in force although parts are missing or changed, and against parts without end.
func TestIncompleteSetIsRefused(t *testing.T) {
	hash := blake3.Sum256([]byte("abcd"))
	first := func(data string) *nodepb.SetPart {
		return &nodepb.SetPart{SetVersion: 3, DocumentBytes: 4, DocumentHash: hash[:], Data: []byte(data)}
	}
	set, err := receiveSet(&partStream{parts: []*nodepb.SetPart{first("ab"), {Data: []byte("cd"), Last: true}}})
	require.NoError(t, err)
	require.Equal(t, PublishedSet{Version: 3, Document: []byte("abcd")}, set)
	huge := first("ab")
	huge.DocumentBytes = maxSetBytes + 1
	for name, parts := range map[string][]*nodepb.SetPart{
		"missing part":     {first("ab"), {Last: true}},
		"changed part":     {first("ab"), {Data: []byte("ce"), Last: true}},
		"part without end": {first("ab"), {Data: []byte("cdef")}, {Data: []byte("gh")}},
		"broken stream":    {first("ab")},
		"too large":        {huge},
	} {
		_, err := receiveSet(&partStream{parts: parts})
		require.Error(t, err, name)
	}
}
