package trafficset

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func validSet() *Set {
	return &Set{
		Version: 1,
		Services: []Service{
			{Name: "engines"},
			{Name: "desk"},
			{Name: "store", Store: &StoreSpec{Address: "10.0.0.1:1"}},
		},
		Routes: []Route{
			{Name: "a", Host: "one.example", Prefix: "/a/", Kind: Stream, Timeout: time.Second, Priority: 2, Targets: []Target{{"engines", 1}}},
			{Name: "ab", Host: "one.example", Prefix: "/a/b/", Kind: Idempotent, Timeout: time.Second, Priority: 1, Targets: []Target{{"desk", 3}, {"engines", 1}}},
		},
		Accounts: []Account{{Name: "x", Keys: []string{"k1", "k2"}}, {Name: "y", Keys: []string{"k3"}}},
	}
}

// Guards against a request that matches a shorter prefix or another host, and against a host with a port or capitals
// that matches no route.
func TestRouteIsTheLongestPrefixOfTheHost(t *testing.T) {
	set := validSet()
	require.NoError(t, set.Build())
	for _, c := range []struct{ host, path, want string }{
		{"one.example", "/a/x", "a"},
		{"one.example", "/a/b/x", "ab"},
		{"One.Example:80", "/a/b/", "ab"},
		{"one.example", "/a/bx", "a"},
		{"one.example", "/a", ""},
		{"two.example", "/a/x", ""},
	} {
		got := ""
		if route := set.Route(c.host, c.path); route != nil {
			got = route.Name
		}
		require.Equal(t, c.want, got, "%s%s", c.host, c.path)
	}
	require.Equal(t, "x", set.Account("k2").Name)
	require.Nil(t, set.Account("k4"))
}

// Guards against publishing a set with missing references or conflicting entries.
func TestBuildNamesEachFault(t *testing.T) {
	for name, spoil := range map[string]func(*Set){
		"unknown service":      func(s *Set) { s.Routes[0].Targets[0].Service = "gone" },
		"store as target":      func(s *Set) { s.Routes[0].Targets[0].Service = "store" },
		"same host and prefix": func(s *Set) { s.Routes[1].Prefix = "/a/" },
		"host in capitals":     func(s *Set) { s.Routes[1].Host, s.Routes[1].Prefix = "ONE.example", "/a/" },
		"no weight":            func(s *Set) { s.Routes[0].Targets[0].Weight = 0 },
		"negative weight":      func(s *Set) { s.Routes[1].Targets[0].Weight = -1 },
		"no timeout":           func(s *Set) { s.Routes[0].Timeout = 0 },
		"shared key":           func(s *Set) { s.Accounts[1].Keys = append(s.Accounts[1].Keys, "k1") },
		"duplicate service":    func(s *Set) { s.Services[1].Name = "engines" },
		"prefix":               func(s *Set) { s.Routes[0].Prefix = "/a" },
	} {
		t.Run(name, func(t *testing.T) {
			set := validSet()
			spoil(set)
			require.Error(t, set.Build())
		})
	}
}

// Guards against a split that omits a target or sends to one without weight.
func TestTargetFollowsTheWeights(t *testing.T) {
	route := Route{Targets: []Target{{"a", 3}, {"none", 0}, {"b", 1}}}
	count := map[string]int{}
	for i := range 1000 {
		count[route.Target(float64(i)/1000)]++
	}
	require.Equal(t, map[string]int{"a": 750, "b": 250}, count)
}

// Guards against repeating requests that may run only once.
func TestOnlyIdempotentRequestsAndResumableStreamsRepeat(t *testing.T) {
	require.True(t, (&Route{Kind: Idempotent}).Repeatable())
	require.True(t, (&Route{Kind: Stream, Resumable: true}).Repeatable())
	require.False(t, (&Route{Kind: Stream}).Repeatable())
	require.False(t, (&Route{Kind: NonIdempotent, Resumable: true}).Repeatable())
}
