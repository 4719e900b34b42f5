package cli

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/entry"
	"github.com/wasabishunt/wasabishunt/internal/fixedview"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/operators"
	"github.com/wasabishunt/wasabishunt/routing"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

func hashOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// Guards against an explain request whose path or token a real entry rejects, or whose answer has a format that cannot
// be read.
func TestExplainAsksARealEntry(t *testing.T) {
	pool := rpcpool.New(rpcpool.Options{})
	t.Cleanup(func() { _ = pool.Close() })
	list := &operators.List{}
	require.Empty(t, list.Load(strings.NewReader("dana "+hashOf("token"))))
	server := httptest.NewServer(entry.New(entry.Options{Operators: list}, entry.Dependencies{
		Source: fixedview.New(&objectset.Set{
			Ranks:    []objectset.Rank{{Name: "counter", FirstTokenMs: 720}},
			Models:   []objectset.Model{{Name: "clerk", WeightVersion: "v1", DefaultRank: "counter"}},
			Accounts: []objectset.Account{{Name: "a", KeySHA256: []string{hashOf("key")}, Models: []string{"clerk"}}},
		}),
		Router: entry.NewTableRouter(routing.Defaults(), "zone-a", clock.System{}), Agents: pool,
	}).Handler())
	defer server.Close()
	body := strings.NewReader(`{"model":"clerk","messages":[{"role":"user","content":"hello"}]}`)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/chat/completions", body)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer key")
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	_ = response.Body.Close()
	id, address := response.Header.Get("X-Request-Id"), strings.TrimPrefix(server.URL, "http://")
	require.NotEmpty(t, id)

	code, out, stderr := invoke(t, unreachable, "explain", id, "--entry", address)
	require.Equal(t, ExitOK, code, stderr)
	require.Contains(t, out, id)
	require.Contains(t, out, "no_upstream")
	code, out, _ = invoke(t, unreachable, "-o", "json", "explain", id, "--entry", address)
	require.Equal(t, ExitOK, code)
	require.True(t, json.Valid([]byte(out)))
	t.Setenv("WASABISHUNT_TOKEN_FILE", writeFile(t, "wrong"))
	code, _, stderr = invoke(t, unreachable, "explain", id, "--entry", address)
	require.Equal(t, ExitRefused, code)
	require.Contains(t, stderr, "--operators-file")
}
