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
	// largeTokenBytes makes pieces of eight chunks of a link; the last chunk of a piece is not paced.
	largeTokenBytes = 1024
	// slowedRate is a link that carries one such piece in half a second.
	slowedRate = 2 * largeTokenBytes * piece.TokensPerPiece
)

// fetchBesideExports reads one piece over a slowed link on which the agent has queued four exports, and returns how long
// that took.
func fetchBesideExports(t *testing.T, rank string) time.Duration {
	n := startNode(t, "s1")
	w := worldOf(t, Options{Exporters: 4}, largeTokenBytes, n)
	r := request("rulebook", 1)
	w.keep(r)
	n.link.SetRate(slowedRate)
	other := request("other", 4)
	w.run(other)
	(&Ticket{mover: w.mover, request: other}).Ran()
	// All four are in progress and most of them is left.
	require.Eventually(t, func() bool { wait, _ := n.link.Wait(store.RankBulk); return wait > 1400*time.Millisecond }, 5*time.Second, time.Millisecond)
	r.Rank = rank
	started := time.Now()
	_, err := w.mover.get(t.Context(), source{target{name: "s1", address: n.address}, fetchplan.Source{}}, &r, r.Pieces[0])
	require.NoError(t, err)
	return time.Since(started)
}

// Guards against an agent whose exports hold up its own urgent fetches: at a link of half a second a piece, four exports
// are in progress. The fetch takes half a second, and waits for at most one chunk; behind all exports it would take
// 1.5 s and more.
func TestUrgentFetchOvertakesExports(t *testing.T) {
	took := fetchBesideExports(t, "urgent")
	t.Logf("urgent fetch took %v", took)
	assert.Less(t, took, time.Second)
}
