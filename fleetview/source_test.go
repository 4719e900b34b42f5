package fleetview

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/blake3"
	"storj.io/drpc"

	"github.com/wasabishunt/wasabishunt/bindelta"
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
	have, document := []byte(strings.Repeat("have", 100)), []byte(strings.Repeat("have", 100)+"new")
	delta, err := bindelta.Encode(have, document)
	require.NoError(t, err)
	hash, half := blake3.Sum256(document), len(delta)/2
	first := func(data []byte) *nodepb.SetPart {
		return &nodepb.SetPart{SetVersion: 3, DocumentHash: hash[:], AgainstHave: true, DeltaBytes: uint64(len(delta)), Data: data}
	}
	set, err := receiveSet(&partStream{parts: []*nodepb.SetPart{first(delta[:half]), {Data: delta[half:], Last: true}}}, have)
	require.NoError(t, err)
	require.Equal(t, PublishedSet{Version: 3, Document: document}, set)
	huge := first(delta[:half])
	huge.DeltaBytes = maxSetBytes + 1
	whole := first(delta[:half])
	whole.AgainstHave = false
	changed := append([]byte{}, delta[half:]...)
	changed[0]++
	for name, parts := range map[string][]*nodepb.SetPart{
		"missing part":     {first(delta[:half]), {Last: true}},
		"changed part":     {first(delta[:half]), {Data: changed, Last: true}},
		"part without end": {first(delta[:half]), {Data: delta[half:]}, {Data: delta}},
		"broken stream":    {first(delta[:half])},
		"too large":        {huge},
		"without base":     {whole, {Data: delta[half:], Last: true}},
	} {
		_, err := receiveSet(&partStream{parts: parts}, have)
		require.Error(t, err, name)
	}
	_, err = receiveSet(&partStream{parts: []*nodepb.SetPart{first(delta[:half]), {Data: delta[half:], Last: true}}}, []byte(strings.Repeat("had!", 100)))
	require.Error(t, err, "other base")
}

// Guards against a delta against a document that the node does not have, and against a history without limit.
func TestHistoryEncodesAgainstTheDocumentOfTheNode(t *testing.T) {
	h := &setHistory{}
	documents := map[uint64][]byte{}
	for version := uint64(1); version <= 3*maxHistorySets; version++ {
		documents[version] = routesDocument(int(version), 200)
		h.record(version, documents[version])
	}
	require.Len(t, h.sets, maxHistorySets)
	h.record(2, documents[2])
	newest := uint64(3 * maxHistorySets)
	require.Equal(t, newest, h.sets[len(h.sets)-1].version, "an older version changes nothing")
	for _, test := range []struct {
		name        string
		version     uint64
		document    []byte
		againstHave bool
	}{
		{"no set", 0, nil, false},
		{"known set", newest - 1, documents[newest-1], true},
		{"forgotten set", 2, documents[2], false},
		{"other content under the same version", newest - 1, []byte("other"), false},
	} {
		hash := blake3.Sum256(test.document)
		got, delta, againstHave, err := h.encode(test.version, hash[:])
		require.NoError(t, err)
		require.Equal(t, test.againstHave, againstHave, test.name)
		base := test.document
		if !againstHave {
			base = nil
		}
		document, err := bindelta.Apply(base, delta, maxSetBytes)
		require.NoError(t, err)
		require.Equal(t, documents[got.version], document, test.name)
		if againstHave {
			require.Less(t, len(delta), 200)
		}
	}
	large := make([]byte, maxHistoryBytes/2)
	for version := newest + 1; version < newest+5; version++ {
		h.record(version, large)
	}
	require.Len(t, h.sets, 2)
}
