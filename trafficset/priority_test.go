package trafficset

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a route's priority that overrides the account's.
func TestAccountsPriorityGoesBeforeTheRoutes(t *testing.T) {
	account := func(priority int) *Account { return &Account{Priority: &priority} }
	for name, c := range map[string]struct {
		route   int
		account *Account
		want    int
	}{
		"route without an account":             {1, nil, 1},
		"account without a priority":           {1, &Account{}, 1},
		"account before a more urgent route":   {0, account(2), 2},
		"account before a less urgent route":   {2, account(0), 0},
		"negative priority is the most urgent": {-1, nil, 0},
	} {
		require.Equal(t, c.want, (&Route{Priority: c.route}).PriorityFor(c.account), name)
	}
}
