package gateway

import (
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// saltDialect sends a prompt with each request, and the salt to the upstream.
type saltDialect struct{ testDialect }

func (d saltDialect) Attributes(r *http.Request) (Attributes, error) {
	a, err := d.testDialect.Attributes(r)
	a.Generation = &Generation{Model: "m", PromptTokens: 700, OutputTokens: 1, Parts: []placement.Part{{ID: "shared", Tokens: 600}, {ID: a.ID, Tokens: 100}}}
	return a, err
}

func (d saltDialect) Request(in http.Header, out Outbound) http.Header {
	h := d.testDialect.Request(in, out)
	h.Set("Salt", out.Salt)
	return h
}

// publishTenants puts a set in force with the accounts alpha, which holds the key, and beta, which holds kb and the other
// keys.
func publishTenants(s *system, version uint64, isolated bool, key string, betaKeys ...string) {
	set := *s.sets.Set()
	set.Version = version
	set.Services = []trafficset.Service{{Name: "s", Engine: &trafficset.EngineSpec{Slots: 8, CacheTokens: 50_000, Models: []string{"m"}}}}
	set.Accounts = []trafficset.Account{{Name: "alpha", Keys: []string{key}, Isolated: isolated}, {Name: "beta", Keys: append(betaKeys, "kb")}}
	require.NoError(s.t, set.Build())
	s.sets.set.Store(&set)
}

// Guards against an account that becomes isolated and whose earlier KV cache other accounts go on using.
func TestIsolatedAccountTakesItsCacheFromOthers(t *testing.T) {
	salts := make(chan string, 1)
	s := newSystem(t, func(conn net.Conn, r *http.Request, instance string) bool {
		salts <- r.Header.Get("Salt")
		return good(conn, r, instance)
	})
	s.gateway.options.Dialect = saltDialect{}
	publish := func(version uint64, isolated bool) { publishTenants(s, version, isolated, "ka") }
	salt := func(key string) string {
		status, _, err := s.call(http.MethodPost, "/safe/x", "", func(r *http.Request) { r.Header.Set("Key", key) })
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		return <-salts
	}

	publish(2, false)
	shared := salt("ka")
	require.Equal(t, shared, salt("kb"))
	publish(3, true)
	own := salt("ka")
	require.NotContains(t, []string{shared, salt("kb")}, own)
	require.NotEqual(t, shared, salt("kb"), "beta uses what alpha made before it was isolated")
	publish(4, false)
	require.NotEqual(t, own, salt("ka"))
	publish(5, true)
	require.NotEqual(t, shared, salt("kb"), "isolated once more")
}

// Guards against a repeat of a request that began under an older set and uses cache across the isolation, or that fills the
// new shared cache as an account that is isolated by now.
func TestRepeatAfterAnIsolation(t *testing.T) {
	for name, c := range map[string]struct {
		key, newKey string
		betaKeys    []string
	}{
		"the account that became isolated":      {"ka", "ka", nil},
		"another account":                       {"kb", "ka", nil},
		"an account whose key has changed":      {"ka", "kc", nil},
		"an account whose key is another's now": {"ka", "kc", []string{"ka"}},
	} {
		t.Run(name, func(t *testing.T) {
			var s *system
			salts := make(chan string, 2)
			record := func(conn net.Conn, r *http.Request, instance string) bool {
				salts <- r.Header.Get("Salt")
				if len(salts) == 1 {
					publishTenants(s, 3, true, c.newKey, c.betaKeys...)
					return full(conn, r, instance)
				}
				return good(conn, r, instance)
			}
			s = newSystem(t, record, record)
			s.gateway.options.Dialect = saltDialect{}
			publishTenants(s, 2, false, "ka")
			status, _, err := s.call(http.MethodPost, "/safe/x", "", func(r *http.Request) { r.Header.Set("Key", c.key) })
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			before, after := <-salts, <-salts
			shared := (&placement.Request{SharedCache: s.sets.Set().SharedCache()}).Salt(0)
			switch {
			case c.key == "kb":
				require.Equal(t, shared, after)
			case c.newKey == c.key:
				require.Equal(t, (&placement.Request{Isolated: "alpha"}).Salt(0), after)
			default:
				require.Equal(t, before, after, "nothing shows that the key was alpha's in the new set")
			}
		})
	}
}
