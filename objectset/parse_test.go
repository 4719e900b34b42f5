package objectset

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
)

const validSet = `zones: [{name: z1, region: r1}]
ranks:
  - {name: urgent, order: 0, floor: 0.3, first_token_ms: 720}
  - {name: night, order: 1, floor: 0.1, first_token_ms: 60000}
models: [{name: m1, weight_version: m1-v1, default_rank: urgent, bytes_per_token: 2048}]
weight_versions: [{name: m1-v1, model: m1, source: weights/m1}]
deployments: [{name: d1, model: m1}]
upstreams: [{name: u1, deployment: d1, zone: z1, agent_address: "127.0.0.1:7300"}]
services: [{name: s1, rank: urgent, non_idempotent: ["POST /book"], agent_addresses: ["127.0.0.1:7400"]}]
stores: [{name: st1, zone: z1, address: "127.0.0.1:7500", link_bytes_per_second: 1000}]
accounts:
  - {name: b, key_sha256: [], models: [m1], services: [s1]}
  - {name: a, ranks: [night]}
`

func problemsOf(t *testing.T, document string) []failure.Problem {
	t.Helper()
	_, err := Parse([]byte(document))
	require.Error(t, err)
	require.True(t, failure.Is(err, failure.InvalidSet))
	require.Equal(t, failure.NotRun, failure.Of(err).Execution)
	return failure.Of(err).Problems
}

// Guards against an invalid set that is accepted, or a problem that is reported without its path and line.
func TestParseRejects(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	cases := []struct{ name, old, new, path, message string }{
		{"unknown field", "region: r1", "region: r1, size: 3", "zones[0].size", "line 1: unknown field"},
		{"unknown collection", "zones:", "regions: []\nzones:", "regions", "line 1: unknown field"},
		{"field twice", "{name: d1, model: m1}", "{name: d1, model: m1, model: m1}", "deployments[0].model", "given twice"},
		{"duplicate name", "{name: a,", "{name: b,", "accounts[1].name", `line 13: duplicate name "b"`},
		{"broken reference", "deployment: d1,", "deployment: d9,", "upstreams[0].deployment", `line 8: "d9" is not in deployments`},
		{"broken list reference", "models: [m1]", "models: [m1, m9]", "accounts[0].models[1]", `"m9" is not in models`},
		{"weight version of an unknown model", "model: m1, source", "model: m2, source", "weight_versions[0].model", "not in models"},
		{"floors above capacity", "floor: 0.1", "floor: 0.8", "ranks", "more than the whole capacity"},
		{"same order", "order: 1", "order: 0", "ranks[1].order", "same order"},
		{"no target", "first_token_ms: 720", "first_token_ms: 0", "ranks[0].first_token_ms", "above 0"},
		{"host name", "127.0.0.1:7300", "host:7300", "upstreams[0].agent_address", "not an IP address and port"},
		{"pattern", "POST /book", "book", "services[0].non_idempotent[0]", "METHOD"},
		{"key hash", "key_sha256: []", "key_sha256: [secret]", "accounts[0].key_sha256[0]", "SHA-256"},
		{"shared key", "key_sha256: []", "key_sha256: [" + hash + ", " + hash + "]", "accounts[0].key_sha256[1]", "same key"},
		{"wrong type", "order: 1", "order: one", "ranks[1].order", "whole number"},
		{"alias", "region: r1", "region: &x r1", "zones[0].region", "not supported"},
		{"not a map", "{name: z1, region: r1}", "z1", "zones[0]", "map of fields"},
		{"negative", "link_bytes_per_second: 1000", "link_bytes_per_second: -1", "stores[0].link_bytes_per_second", "negative"},
		{"max loading", "{name: d1, model: m1}", "{name: d1, model: m1, max_loading: -1}", "deployments[0].max_loading", "above 0"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Contains(t, validSet, c.old)
			problems := problemsOf(t, strings.Replace(validSet, c.old, c.new, 1))
			found := false
			for _, p := range problems {
				found = found || p.Path == c.path && strings.Contains(p.Message, c.message)
			}
			require.True(t, found, "%+v", problems)
		})
	}
}

// Guards against a parser that stops at the first problem.
func TestParseListsAllFaults(t *testing.T) {
	broken := strings.NewReplacer("deployment: d1,", "deployment: d9,", "region: r1", "size: 3", "order: 1", "order: -4").Replace(validSet)
	require.Len(t, problemsOf(t, broken), 3)
	require.Len(t, problemsOf(t, "{\n\"zones\": 3,\n\"x\": 1}"), 2)
	require.Contains(t, problemsOf(t, "{\n\"zones\": 3,\n\"x\": 1}")[1].Message, "line 3")
}

// Guards against a canonical form that depends on the order or format of the document.
func TestCanonicalForm(t *testing.T) {
	set, err := Parse([]byte(validSet))
	require.NoError(t, err)
	require.Equal(t, "a", set.Accounts[0].Name)
	require.Equal(t, 2, set.Deployments[0].MaxLoading)
	reparsed, err := Parse(set.Canonical())
	require.NoError(t, err)
	require.Equal(t, string(set.Canonical()), string(reparsed.Canonical()))
	decoded, err := FromCanonical(set.Canonical())
	require.NoError(t, err)
	require.Equal(t, set, decoded)
}

// Guards against an invalid set in examples.
func TestExamplesParse(t *testing.T) {
	for _, name := range []string{"qasr", "saurashtra"} {
		document, err := os.ReadFile("../examples/" + name + ".yaml")
		require.NoError(t, err)
		_, err = Parse(document)
		require.NoError(t, err, "%+v", err)
	}
}

// Guards against deltas that result in another set than the published one.
func TestDiffAndPatch(t *testing.T) {
	from, err := Parse([]byte(validSet))
	require.NoError(t, err)
	changed := strings.Replace(validSet, "{name: a, ranks: [night]}", "{name: c}", 1)
	to, err := Parse([]byte(strings.Replace(changed, "floor: 0.1", "floor: 0.2", 1)))
	require.NoError(t, err)
	before := string(from.Canonical())
	changes := Diff(from, to)
	require.Len(t, changes, 3)
	patched, err := Patch(from, changes)
	require.NoError(t, err)
	require.Equal(t, string(to.Canonical()), string(patched.Canonical()))
	require.Equal(t, before, string(from.Canonical()), "patch must not change its input")
	require.Empty(t, Diff(to, patched))
}

// Guards against a publish that is accepted although its expected version is outdated, and against an unlimited number
// of deltas.
func TestHistoryComparesVersion(t *testing.T) {
	h := NewHistory()
	set, err := Parse([]byte(validSet))
	require.NoError(t, err)
	require.NoError(t, h.Accept(0, set, "dana", 1))
	err = h.Accept(0, set, "eli", 2)
	require.True(t, failure.Is(err, failure.VersionConflict))
	require.Contains(t, err.Error(), "dana")
	require.True(t, failure.Is(h.AcceptChanges(0, nil, "eli", 2), failure.VersionConflict))
	for v := uint64(1); v < 500; v++ {
		require.NoError(t, h.Accept(v, set, "dana", 1))
	}
	deltas, ok := h.Since(500 - MaxDeltas)
	require.True(t, ok)
	require.Len(t, deltas, MaxDeltas)
	_, ok = h.Since(500 - MaxDeltas - 1)
	require.False(t, ok)
}

// Guards against documents that use up the memory or the stack of the parser, which ends the process, and against quoted brackets that hide open
// ones.
func TestParseRefusesDeepNesting(t *testing.T) {
	const repeats = 100_000
	for _, part := range []string{"[", "- {", "a: [", "- ", "? ", "!a ", "!a\n", "&a ", "? ! ", "- !a ", `["]",`, "['}',", "a\n---\n", "[?\n", "!!map\n"} {
		problems := problemsOf(t, strings.Repeat(part, repeats))
		require.Len(t, problems, 1, part)
		require.Regexp(t, "nested too deeply|more than one YAML document", problems[0].Message, part)
	}
	var blocks strings.Builder
	for depth := range 3 * maxNesting {
		blocks.WriteString(strings.Repeat(" ", depth) + "a:\n")
	}
	require.Contains(t, problemsOf(t, blocks.String())[0].Message, "nested too deeply")
}

// Guards against long lists and lines taken for nesting.
func TestParseAcceptsLongLists(t *testing.T) {
	var block, flow []string
	for i := range 10 * maxNesting {
		block = append(block, fmt.Sprintf("  - {name: \"[z%d\", region: r}", i))
		flow = append(flow, fmt.Sprintf("{name: \"]z%d\", region: '{'}", i))
	}
	for _, document := range []string{"zones:\n" + strings.Join(block, "\n"), "zones: [" + strings.Join(flow, ", ") + "]"} {
		set, err := Parse([]byte(document))
		require.NoError(t, err)
		require.Len(t, set.Zones, 10*maxNesting)
	}
}

// Guards against a document that crashes the parser, or a set that changes in a round trip through the canonical form.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSet))
	f.Add([]byte(`{"zones":[{"name":"z","region":"r"}],"accounts":[{"name":"a","weight":1e300}]}`))
	f.Add([]byte("a: &x [*x]\n<<: *x"))
	f.Add([]byte(fmt.Sprintf("zones: %s", strings.Repeat("[", 40))))
	f.Fuzz(func(t *testing.T, document []byte) {
		set, err := Parse(document)
		if err != nil {
			require.NotEqual(t, failure.Internal, failure.Of(err).Kind)
			return
		}
		decoded, err := FromCanonical(set.Canonical())
		require.NoError(t, err)
		require.Empty(t, Check(decoded))
		require.Equal(t, string(set.Canonical()), string(decoded.Canonical()))
	})
}
