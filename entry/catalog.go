package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
)

// catalog indexes one object set by object name and by API key.
type catalog struct {
	set      *objectset.Set
	byKey    map[string]*objectset.Account
	models   map[string]*objectset.Model
	ranks    map[string]*objectset.Rank
	services map[string]*objectset.Service
}

// catalogs caches the catalog of the newest set.
type catalogs struct{ latest atomic.Pointer[catalog] }

// forSet returns the catalog of a set. Two requests may build it at the same time; both results are equal.
func (c *catalogs) forSet(set *objectset.Set) *catalog {
	if latest := c.latest.Load(); latest != nil && latest.set == set {
		return latest
	}
	built := newCatalog(set)
	c.latest.Store(built)
	return built
}

func newCatalog(set *objectset.Set) *catalog {
	c := &catalog{
		set:      set,
		byKey:    map[string]*objectset.Account{},
		models:   byName(set.Models, func(m *objectset.Model) string { return m.Name }),
		ranks:    byName(set.Ranks, func(r *objectset.Rank) string { return r.Name }),
		services: byName(set.Services, func(s *objectset.Service) string { return s.Name }),
	}
	for i := range set.Accounts {
		for _, hash := range set.Accounts[i].KeySHA256 {
			c.byKey[strings.ToLower(hash)] = &set.Accounts[i]
		}
	}
	return c
}

func byName[T any](list []T, name func(*T) string) map[string]*T {
	index := make(map[string]*T, len(list))
	for i := range list {
		index[name(&list[i])] = &list[i]
	}
	return index
}

// account finds the account of an Authorization header. Only hashes are compared, so the lookup time reveals nothing
// about other keys.
func (c *catalog) account(authorization string) (*objectset.Account, error) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	if !ok || key == "" {
		return nil, failure.New(failure.Unauthorized, failure.NotRun, "the Authorization header must be: Bearer KEY")
	}
	hash := sha256.Sum256([]byte(key))
	account, ok := c.byKey[hex.EncodeToString(hash[:])]
	if !ok {
		return nil, failure.New(failure.Unauthorized, failure.NotRun, "unknown API key")
	}
	return account, nil
}

// model finds a model that the account may use. A model of other accounts gives the same failure as one that does not
// exist.
func (c *catalog) model(account *objectset.Account, name string) (*objectset.Model, error) {
	model, ok := c.models[name]
	if !ok || !slices.Contains(account.Models, name) {
		return nil, failure.New(failure.ModelNotFound, failure.NotRun, "model %q does not exist or is not open to this account", name)
	}
	return model, nil
}

// service finds a service that the account may call.
func (c *catalog) service(account *objectset.Account, name string) (*objectset.Service, error) {
	service, ok := c.services[name]
	if !ok || !slices.Contains(account.Services, name) {
		return nil, failure.New(failure.ServiceNotFound, failure.NotRun, "service %q does not exist or is not open to this account", name)
	}
	return service, nil
}

// rank returns the rank that the caller chose, or the fallback.
func (c *catalog) rank(account *objectset.Account, chosen, fallback string) (*objectset.Rank, error) {
	name := chosen
	if name == "" {
		name = fallback
	}
	rank, ok := c.ranks[name]
	if !ok {
		return nil, failure.New(failure.InvalidRequest, failure.NotRun, "rank %q does not exist", name)
	}
	if len(account.Ranks) > 0 && !slices.Contains(account.Ranks, name) {
		return nil, failure.New(failure.Forbidden, failure.NotRun, "this account may not use rank %q", name)
	}
	return rank, nil
}
