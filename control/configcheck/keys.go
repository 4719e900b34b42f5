package configcheck

import (
	"slices"

	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// accountsWithoutKeys finds accounts that no caller can use. An empty key belongs to no account.
func (f *findings) accountsWithoutKeys(set *trafficset.Set) {
	for _, a := range set.Accounts {
		if !slices.ContainsFunc(a.Keys, func(key string) bool { return key != "" }) {
			f.add("accounts."+a.Name, NoKeys, "has no keys")
		}
	}
}

func (f *findings) objectAccountsWithoutKeys(set *objectset.Set) {
	for _, a := range set.Accounts {
		if len(a.KeySHA256) == 0 {
			f.add("accounts."+a.Name, NoKeys, "has no keys")
		}
	}
}
