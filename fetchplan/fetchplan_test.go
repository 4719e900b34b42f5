package fetchplan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/piece"
)

var now = time.Unix(1000, 0)

func names(n int) []piece.Name {
	pieces := make([]piece.Name, n)
	for i := range pieces {
		pieces[i][0] = byte(i + 1)
	}
	return pieces
}

func all(n int) []bool {
	has := make([]bool, n)
	for i := range has {
		has[i] = true
	}
	return has
}

func actions(p Plan) []Action {
	var list []Action
	for _, step := range p.Steps {
		list = append(list, step.Action)
	}
	return list
}

// TestDecide guards against fetches over a slow or busy link, recomputation of pieces that a link delivers sooner,
// and fetches from the slower of two sources.
func TestDecide(t *testing.T) {
	fast := Source{Name: "store1", Has: all(3), BytesPerSecond: 1e9}
	slow := Source{Name: "store2", Has: all(3), BytesPerSecond: 1e7}
	busy := Source{Name: "store1", Has: all(3), BytesPerSecond: 1e9, Wait: 5 * time.Second}
	gap := Source{Name: "store1", Has: []bool{true, false, true}, BytesPerSecond: 1e9}
	tests := map[string]struct {
		sources []Source
		cached  int
		off     Off
		want    []Action
		from    string
		long    bool
	}{
		"no source":       {want: []Action{Recompute, Recompute, Recompute}, long: true},
		"fast link":       {sources: []Source{fast}, want: []Action{Fetch, Fetch, Fetch}, from: "store1"},
		"faster of two":   {sources: []Source{slow, fast}, want: []Action{Fetch, Fetch, Fetch}, from: "store1"},
		"slow link":       {sources: []Source{slow}, want: []Action{Recompute, Recompute, Recompute}, long: true},
		"busy link":       {sources: []Source{busy}, want: []Action{Recompute, Recompute, Recompute}, long: true},
		"gap in holdings": {sources: []Source{gap}, want: []Action{Fetch, Recompute, Fetch}, from: "store1"},
		"cached":          {sources: []Source{fast}, cached: 3, want: []Action{Cached, Cached, Cached}},
		"fetch off":       {sources: []Source{fast}, off: Off{Fetch: true}, want: []Action{Recompute, Recompute, Recompute}, long: true},
		"compare off":     {sources: []Source{slow}, off: Off{Compare: true}, want: []Action{Fetch, Fetch, Fetch}, from: "store2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			settings := Defaults()
			settings.Off = test.off
			plan := Decide(settings, Request{
				Pieces: names(3), CachedPieces: test.cached, PromptTokens: 6100, PieceBytes: 1e8, PrefillRate: 10000, Sources: test.sources,
			}, nil, now)
			require.Equal(t, test.want, actions(plan))
			require.Equal(t, test.long, plan.Long)
			require.EqualValues(t, 6100, plan.CachedTokens+plan.FetchedTokens+plan.ComputeTokens)
			if test.from != "" {
				require.Equal(t, test.from, plan.Steps[0].Source)
			}
			require.NotEmpty(t, plan.Reasons())
		})
	}
}

// TestLinkAndEngineShareWork guards against plans that assign all pieces to one of two equally fast resources.
func TestLinkAndEngineShareWork(t *testing.T) {
	source := Source{Name: "s", Has: all(10), BytesPerSecond: 4e8}
	plan := Decide(Defaults(), Request{Pieces: names(10), PromptTokens: 20000, PieceBytes: 1e8, PrefillRate: 10000, Sources: []Source{source}}, nil, now)
	require.NotZero(t, plan.FetchedTokens)
	require.NotZero(t, plan.ComputeTokens)
	require.Less(t, plan.Steps[9].Ready, 2*time.Second, "10 pieces at 200 ms each, split between the link and the engine")
}

// TestOneRecompute guards against two requests that compute the same prefix at the same time, and against waiting for
// an owner that never reports the end of its computation.
func TestOneRecompute(t *testing.T) {
	request := Request{Pieces: names(2), PromptTokens: 4000, PrefillRate: 10000}
	flights := NewFlights()
	first := Decide(Defaults(), request, flights, now)
	flights.Begin("a", request.Pieces, first, now)
	second := Decide(Defaults(), request, flights, now)
	require.Equal(t, []Action{Wait, Wait}, actions(second))
	require.Zero(t, second.ComputeTokens)
	flights.Begin("b", request.Pieces, second, now)
	flights.End("b", request.Pieces)
	owner, ok := flights.Owner(request.Pieces[0], now)
	require.True(t, ok)
	require.Equal(t, "a", owner)
	late := now.Add(time.Minute)
	require.Equal(t, []Action{Recompute, Recompute}, actions(Decide(Defaults(), request, flights, late)))
	flights.End("a", request.Pieces)
	require.Empty(t, flights.byName)
}
