package configcheck

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/trafficset"
)

// decodeFields decodes a published set by the names of the fields of trafficset.Set.
func decodeFields(document []byte) (*trafficset.Set, error) {
	set := &trafficset.Set{}
	if err := json.Unmarshal(document, set); err != nil {
		return nil, err
	}
	return set, set.Build()
}

// trafficDocument encodes a set as a published set for decodeFields.
func trafficDocument(t *testing.T, set *trafficset.Set) []byte {
	encoded, err := json.Marshal(set)
	require.NoError(t, err)
	var fields map[string]any
	require.NoError(t, json.Unmarshal(encoded, &fields))
	for _, name := range []string{"Routes", "Services", "Version"} {
		fields[strings.ToLower(name)] = fields[name]
		delete(fields, name)
	}
	encoded, err = json.Marshal(fields)
	require.NoError(t, err)
	return encoded
}

func cleanTraffic() *trafficset.Set {
	return &trafficset.Set{
		Version: 3,
		Routes: []trafficset.Route{
			{Name: "a", Host: "h.example", Prefix: "/", Kind: trafficset.Stream, Resumable: true, Timeout: 4 * time.Second, FirstByteTarget: time.Second, EventGapTarget: time.Second, Attempts: 2, Targets: []trafficset.Target{{Service: "e", Weight: 1}}},
			{Name: "b", Host: "h.example", Prefix: "/b/", Kind: trafficset.NonIdempotent, Timeout: time.Second, Attempts: 1, Targets: []trafficset.Target{{Service: "d", Weight: 1}}},
		},
		Services: []trafficset.Service{
			{Name: "d", MaxConnections: 10},
			{Name: "e", MaxConnections: 8, Engine: &trafficset.EngineSpec{Slots: 8}},
			{Name: "k", Store: &trafficset.StoreSpec{Address: "127.0.0.1:1"}},
		},
		Accounts: []trafficset.Account{{Name: "t", Keys: []string{"secret"}}},
		Limits:   trafficset.Limits{HeaderBytes: 1000, BodyBytes: 2000, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second},
	}
}

func TestTraffic(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*trafficset.Set)
		path   string
		kind   Kind
	}{
		"guards against a finding in a clean set": {func(*trafficset.Set) {}, "", ""},
		"guards against an entry that is refused": {func(s *trafficset.Set) {
			s.Routes[0].Timeout, s.Routes[0].FirstByteTarget, s.Routes[0].EventGapTarget = 0, 0, 0
		}, "routes.a.timeout", Invalid},
		"guards against a host with a port, which never matches":    {func(s *trafficset.Set) { s.Routes[1].Host = "h.example:80" }, "routes.b", HiddenRoute},
		"guards against a prefix with a query, which never matches": {func(s *trafficset.Set) { s.Routes[1].Prefix = "/b?x=/" }, "routes.b", HiddenRoute},
		"guards against a service that gets no requests":            {func(s *trafficset.Set) { s.Routes = s.Routes[:1] }, "services.d", UnusedService},
		"guards against a target that gets no requests": {func(s *trafficset.Set) {
			s.Routes[0].Targets = append(s.Routes[0].Targets, trafficset.Target{Service: "d"})
		}, "routes.a.targets", ZeroWeight},
		"guards against an account that nobody can use":                 {func(s *trafficset.Set) { s.Accounts[0].Keys = nil }, "accounts.t", NoKeys},
		"guards against an empty key taken for a key":                   {func(s *trafficset.Set) { s.Accounts[0].Keys = []string{""} }, "accounts.t", NoKeys},
		"guards against a latency target that cannot be missed":         {func(s *trafficset.Set) { s.Routes[0].FirstByteTarget = 5 * time.Second }, "routes.a", TargetAboveTimeout},
		"guards against a target between events that cannot be missed":  {func(s *trafficset.Set) { s.Routes[0].EventGapTarget = 5 * time.Second }, "routes.a", TargetAboveTimeout},
		"guards against attempts that are never made":                   {func(s *trafficset.Set) { s.Routes[1].Attempts = 2 }, "routes.b", UnusableAttempts},
		"guards against attempts of a stream that cannot be resumed":    {func(s *trafficset.Set) { s.Routes[0].Resumable = false }, "routes.a", UnusableAttempts},
		"guards against a header limit above the body limit":            {func(s *trafficset.Set) { s.Limits.HeaderBytes = 2001 }, "limits", HeaderAboveBody},
		"guards against a header timeout that the idle limit cuts":      {func(s *trafficset.Set) { s.Limits.HeaderTimeout = 6 * time.Second }, "limits", TimeoutAboveIdle},
		"guards against a route's timeout that the idle limit cuts":     {func(s *trafficset.Set) { s.Routes[1].Timeout = 6 * time.Second }, "routes.b", TimeoutAboveIdle},
		"guards against an unset body limit taken for one of 0 bytes":   {func(s *trafficset.Set) { s.Limits.BodyBytes = 0 }, "", ""},
		"guards against an unset idle limit taken for one of 0 seconds": {func(s *trafficset.Set) { s.Limits.IdleTimeout = 0 }, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			set := cleanTraffic()
			c.change(set)
			list := Check(trafficDocument(t, set), nil, decodeFields)
			if c.kind == "" {
				require.Empty(t, list)
				return
			}
			require.Len(t, list, 1)
			require.Equal(t, c.path, list[0].Path)
			require.Equal(t, c.kind, list[0].Kind)
		})
	}
}

// Guards against a hidden route that is reported only as an error, without the route that hides it.
func TestHiddenRouteNamesTheOther(t *testing.T) {
	set := cleanTraffic()
	set.Routes[1].Host, set.Routes[1].Prefix = "H.example", "/"
	list := Check(trafficDocument(t, set), nil, decodeFields)
	require.Len(t, list, 2)
	require.Equal(t, Finding{"routes.b", HiddenRoute, `is hidden by route "a" with the same host and prefix`}, list[0])
	require.Equal(t, Invalid, list[1].Kind)
}

const cleanObjects = `ranks: [{name: r, order: 0, first_token_ms: 10}]
services: [{name: s, rank: r, non_idempotent: ["POST /a", "POST /b"], agent_addresses: ["127.0.0.1:1"]}]
accounts: [{name: t, services: [s], key_sha256: [7dbc6f44168b0dd44fcb586a20b384820f92206f28a1a44c543f8aa7b79485da]}]
`

func TestObjects(t *testing.T) {
	for name, c := range map[string]struct {
		old, new, path string
		kind           Kind
	}{
		"guards against an entry that is refused":            {"rank: r", "rank: q", "services[0].rank", Invalid},
		"guards against a service without instances":         {`"127.0.0.1:1"`, "", "services.s", UnusedService},
		"guards against a service that no account may call":  {"services: [s]", "services: []", "services.s", UnusedService},
		"guards against an account that nobody can use":      {"7dbc6f44168b0dd44fcb586a20b384820f92206f28a1a44c543f8aa7b79485da", "", "accounts.t", NoKeys},
		"guards against a pattern that another one covers":   {"POST /b", "POST /A/b", "services.s.non_idempotent", HiddenRoute},
		"guards against a pattern that is given twice":       {"POST /b", "POST /a/", "services.s.non_idempotent", HiddenRoute},
		"guards against a broken document taken for a clean": {"ranks:", "{ranks", "$", Invalid},
	} {
		t.Run(name, func(t *testing.T) {
			list := Check([]byte(strings.Replace(cleanObjects, c.old, c.new, 1)), nil, nil)
			require.Len(t, list, 1, list)
			require.Equal(t, c.path, list[0].Path)
			require.Equal(t, c.kind, list[0].Kind)
		})
	}
	require.Empty(t, Check([]byte(cleanObjects), []byte(cleanObjects), nil))
}

// Guards against findings in the examples, which operators start from.
func TestExamplesAreClean(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		document, err := os.ReadFile(file)
		require.NoError(t, err)
		require.Empty(t, Check(document, document, nil), file)
	}
}

// Guards against differences that are missed, that show keys, or whose order changes from run to run.
func TestDifferences(t *testing.T) {
	from, to := cleanTraffic(), cleanTraffic()
	to.Version = 4
	to.Routes[0].Priority, to.Routes[1].Name = 2, "c"
	to.Accounts[0].Keys = []string{"other"}
	to.Limits.BodyBytes++
	want := []Finding{
		{"accounts.t", Difference, "changed: Keys"},
		{"limits", Difference, "changed: BodyBytes"},
		{"routes.a", Difference, "changed: Priority"},
		{"routes.b", Difference, "is removed"},
		{"routes.c", Difference, "is added"},
	}
	for range 20 {
		require.Equal(t, want, Check(trafficDocument(t, to), trafficDocument(t, from), decodeFields))
	}
	to = cleanTraffic()
	to.Version = 4
	require.Empty(t, Check(trafficDocument(t, to), trafficDocument(t, from), decodeFields), "only the version differs")

	changed := strings.Replace(strings.Replace(cleanObjects, "name: t", "name: u", 1), "POST /b", "POST /c", 1)
	require.Equal(t, []Finding{
		{"accounts.t", Difference, "is removed"},
		{"accounts.u", Difference, "is added"},
		{"services.s", Difference, "is changed"},
	}, Check([]byte(changed), []byte(cleanObjects), nil))
}

// Guards against a comparison with an unusable file that passes for one without differences.
func TestUnusableVersionInForce(t *testing.T) {
	for name, against := range map[string][]byte{"another kind": trafficDocument(t, cleanTraffic()), "broken": []byte("{"), "a list": []byte("[]")} {
		list := Check([]byte(cleanObjects), against, decodeFields)
		require.Len(t, list, 1, name)
		require.Equal(t, Invalid, list[0].Kind, name)
	}
}

// Guards against a panic of a decoder that ends the program, and against a published set that no decoder takes.
func TestDecoderFailures(t *testing.T) {
	document := trafficDocument(t, cleanTraffic())
	require.Equal(t, Invalid, Check(document, nil, nil)[0].Kind)
	list := Check(document, nil, func([]byte) (*trafficset.Set, error) { panic("broken") })
	require.Len(t, list, 1)
	require.Equal(t, Invalid, list[0].Kind)
}

// Guards against a crash on documents that are nested very deeply.
func TestDeepNesting(t *testing.T) {
	for _, open := range []string{"[", "{", `{"a":`, "- ", "a: [", "? "} {
		require.NotEmpty(t, Check(bytes.Repeat([]byte(open), 100000), nil, decodeFields), open)
	}
}

// Guards against a crash on broken input, and against output that changes from run to run.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(cleanObjects), []byte("{"))
	f.Add([]byte(`{"routes":[{"name":"a"}],"services":[null],"version":1}`), []byte(`{"routes":null,"services":[],"version":1}`))
	f.Add([]byte("a: &b [*b]"), []byte(""))
	f.Fuzz(func(t *testing.T, document, against []byte) {
		require.Equal(t, Check(document, against, decodeFields), Check(document, against, decodeFields))
	})
}
