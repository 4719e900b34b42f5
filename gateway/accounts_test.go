package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/trafficset"
)

// Guards against requests with a key that nobody holds running once the last account is removed.
func TestSetWithoutAccountsLeftRefusesAllKeys(t *testing.T) {
	s := newSystem(t, good)
	publish := func(accounts []trafficset.Account) {
		set := *s.sets.Set()
		set.Accounts = accounts
		require.NoError(t, set.Build())
		s.sets.set.Store(&set)
	}
	for _, path := range []string{"/safe/", "/once/", "/stream/", "/resume/"} {
		publish([]trafficset.Account{})
		status, _, err := s.call("POST", path, "")
		require.NoError(t, err)
		require.Equal(t, 401, status, path)
	}
	require.Empty(t, s.startedRuns())
	publish(nil)
	status, _, err := s.call("POST", "/once/", "")
	require.NoError(t, err)
	require.Equal(t, 200, status)
}

// Guards against requests without a key running for an account with an empty one.
func TestRequestWithoutKeyHasNoAccount(t *testing.T) {
	s := newSystem(t, good)
	set := *s.sets.Set()
	set.Accounts = []trafficset.Account{{Name: "acme", Keys: []string{"", "k"}}}
	require.NoError(t, set.Build())
	s.sets.set.Store(&set)
	for _, change := range []func(*http.Request){
		func(r *http.Request) { r.Header.Del("Key") }, func(r *http.Request) { r.Header.Set("Key", "") },
	} {
		status, _, err := s.call("POST", "/once/", "", change)
		require.NoError(t, err)
		require.Equal(t, 401, status)
	}
	status, _, err := s.call("POST", "/once/", "")
	require.NoError(t, err)
	require.Equal(t, 200, status)
}
