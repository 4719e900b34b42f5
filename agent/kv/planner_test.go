package kv

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wasabishunt/wasabishunt/fetchplan"
	"github.com/wasabishunt/wasabishunt/piece"
)

func decidePlan(p *planner, r Request, noWait bool, sources ...fetchplan.Source) fetchplan.Plan {
	return p.decide(&r, fetchplan.Request{
		Pieces: r.Pieces, PromptTokens: r.PromptTokens, PieceBytes: pieceBytes, PrefillRate: prefillRate, Sources: sources,
	}, noWait, 100*time.Millisecond, time.Unix(1000, 0))
}

// Guards against fetches of pieces after a gap, which the engine cannot use, and against fetches that take longer than the
// recomputation that they replace.
func TestOnlyAUsefulPrefixIsFetched(t *testing.T) {
	r := request("x", 4)
	r.owner = "1"
	gap := fetchplan.Source{Name: "s", Has: []bool{true, false, true, true}, BytesPerSecond: 1e9}
	plan := decidePlan(newPlanner(fetchplan.Defaults()), r, false, gap)
	assert.Equal(t, int64(piece.TokensPerPiece), plan.FetchedTokens)
	assert.Equal(t, r.PromptTokens-piece.TokensPerPiece, plan.ComputeTokens)
	slow := fetchplan.Source{Name: "s", Has: []bool{true, true, true, true}, BytesPerSecond: pieceBytes}
	plan = decidePlan(newPlanner(fetchplan.Defaults()), r, false, slow)
	assert.Zero(t, plan.FetchedTokens)
	busy := fetchplan.Request{
		Pieces: r.Pieces, PromptTokens: r.PromptTokens, PieceBytes: pieceBytes, PrefillRate: prefillRate, PrefillWait: time.Minute,
		Sources: []fetchplan.Source{slow},
	}
	plan = newPlanner(fetchplan.Defaults()).decide(&r, busy, false, 100*time.Millisecond, time.Unix(1000, 0))
	assert.Zero(t, plan.FetchedTokens, "a queue does not make a slow link worth its time")
}

// Guards against two concurrent fetches of the same piece, and against a request that waits again after a wait timed out.
func TestFetchInProgressIsWaitedFor(t *testing.T) {
	p := newPlanner(fetchplan.Defaults())
	source := fetchplan.Source{Name: "s", Has: []bool{true, true}, BytesPerSecond: 1e7}
	first, second := request("x", 2), request("x", 2)
	first.owner, second.owner = "1", "2"
	assert.Equal(t, int64(2*piece.TokensPerPiece), decidePlan(p, first, false, source).FetchedTokens)
	assert.Equal(t, int64(2*piece.TokensPerPiece), decidePlan(p, second, false, source).WaitTokens)
	assert.Zero(t, decidePlan(p, second, true, source).WaitTokens)
	p.end("1", first.Pieces)
	assert.Equal(t, int64(2*piece.TokensPerPiece), decidePlan(p, second, false, source).FetchedTokens)
	assert.Zero(t, decidePlan(p, second, false, source).WaitTokens)
}
