package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a shared cache that goes on under its old salt, and against one that shares a salt with an isolated account.
func TestSaltKeepsSharedCachesApart(t *testing.T) {
	before, after := &Request{}, &Request{SharedCache: "ab"}
	require.NotEqual(t, before.Salt(1), after.Salt(1))
	require.NotEqual(t, after.Salt(1), (&Request{SharedCache: "ac"}).Salt(1))
	require.NotEqual(t, after.Salt(1), (&Request{Isolated: "ab"}).Salt(1))
	require.Equal(t, (&Request{Isolated: "a"}).Salt(1), (&Request{Isolated: "a", SharedCache: "ab"}).Salt(1), "an account keeps its own cache when others become isolated")
	version, ok := SaltVersion(after.Salt(17))
	require.True(t, ok)
	require.EqualValues(t, 17, version)
}
