package gateway

import "github.com/wasabishunt/wasabishunt/trafficset"

// newestAccount returns the account of the request and its set: of the newest set, for a repeat may begin seconds after the
// request, unless the key is another account's there or gone. Both are of the same set: with an older account and a newer shared
// cache, others would use what an account makes that has become isolated.
func (c *call) newestAccount() (*trafficset.Set, *trafficset.Account) {
	if newest := c.gateway.options.Sets.Set(); c.account != nil {
		if account := newest.Account(c.attributes.Key); account != nil && account.Name == c.account.Name {
			return newest, account
		}
	}
	return c.set, c.account
}
