package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/objectset"
)

// BenchmarkCatalog measures the lookup tables that an entry makes for each set version. It guards against a cost per
// change that grows faster than the number of accounts.
func BenchmarkCatalog(b *testing.B) {
	for _, count := range []int{100, 1000, 10_000} {
		set := &objectset.Set{}
		for i := range count {
			set.Accounts = append(set.Accounts, objectset.Account{Name: fmt.Sprint("account-", i), KeySHA256: []string{fmt.Sprintf("%064x", i)}})
		}
		b.Run(fmt.Sprintf("accounts=%d", count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				require.NotNil(b, newCatalog(set))
			}
		})
	}
}
