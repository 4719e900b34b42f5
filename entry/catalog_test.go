package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/objectset"
)

// BenchmarkCatalog measures building the catalog of a set version. It guards against a cost that grows faster than the
// number of accounts.
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
