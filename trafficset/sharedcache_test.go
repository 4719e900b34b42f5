package trafficset

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func sharedCache(t *testing.T, accounts ...Account) string {
	t.Helper()
	set := validSet()
	set.Accounts = accounts
	require.NoError(t, set.Build())
	return set.SharedCache()
}

// Guards against a shared cache that stays in use after an account that has filled it became isolated, and against nodes that
// name it differently because they skipped sets or got the accounts in another order.
func TestSharedCacheFollowsTheIsolatedAccounts(t *testing.T) {
	open := func(name string) Account { return Account{Name: name} }
	isolated := func(name string) Account { return Account{Name: name, Isolated: true} }

	none := sharedCache(t, open("a"), open("b"))
	one := sharedCache(t, isolated("a"), open("b"))
	require.NotEqual(t, none, one, "a has filled the cache and became isolated")
	require.NotEqual(t, one, sharedCache(t, open("a"), isolated("b")))
	require.NotEqual(t, one, sharedCache(t, isolated("a"), isolated("b"), open("c")))
	require.NotEqual(t, sharedCache(t, isolated("a"), isolated("bc")), sharedCache(t, isolated("ab"), isolated("c")), "names that join to the same text")

	require.Equal(t, one, sharedCache(t, open("b"), open("c"), isolated("a")), "other accounts come and go")
	require.Equal(t, sharedCache(t, isolated("a"), isolated("b")), sharedCache(t, isolated("b"), isolated("a")), "order")
	require.Equal(t, none, sharedCache(t, open("b")))
	require.Empty(t, none)
}
