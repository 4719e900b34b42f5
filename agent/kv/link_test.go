package kv

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/store"
)

const (
	// largeTokenBytes gives pieces of eight chunks on a link; the last chunk of a piece is not paced.
	largeTokenBytes = 1024
	// slowedRate is the rate of a link that transfers one such piece in half a second.
	slowedRate = 2 * largeTokenBytes * piece.TokensPerPiece
)

// fetchBesideExports reads one piece over a slow link on which four exports are in progress, and returns how long the read
// took.
func fetchBesideExports(t *testing.T, rank string) time.Duration {
	s := startTestStore(t, "s1")
	bed := newTestbedWithTokenBytes(t, Options{Exporters: 4}, largeTokenBytes, s)
	r := request("rulebook", 1)
	bed.storeAndEvict(r)
	s.link.SetRate(slowedRate)
	other := request("other", 4)
	bed.run(other)
	(&Session{mover: bed.mover, request: other}).QueueExports()
	// Waits until all four exports are in progress and most of their bytes are still to be sent.
	require.Eventually(t, func() bool { wait, _ := s.link.Wait(store.RankBulk); return wait > 1400*time.Millisecond }, 5*time.Second, time.Millisecond)
	r.Rank = rank
	started := time.Now()
	_, err := bed.mover.getPiece(t.Context(), source{target{name: "s1", address: s.address}, fetchplan.Source{}}, &r, r.Pieces[0])
	require.NoError(t, err)
	return time.Since(started)
}

// Guards against exports that delay urgent fetches of the same agent. A piece takes half a second on the link, and four
// exports are in progress: the fetch waits for at most one chunk, but behind all exports it would take 1.5 s or more.
func TestUrgentFetchOvertakesExports(t *testing.T) {
	took := fetchBesideExports(t, "urgent")
	t.Logf("urgent fetch took %v", took)
	assert.Less(t, took, time.Second)
}
