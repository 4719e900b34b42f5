package objectset

import (
	"encoding/hex"
	"fmt"
	"net"
	"strings"

	"github.com/wasabishunt/wasabishunt/failure"
)

// defaultMaxLoading engines of one deployment may load weights at once.
const defaultMaxLoading = 2

func (s *Set) applyDefaults() {
	for i := range s.Ranks {
		if s.Ranks[i].Worth == 0 {
			s.Ranks[i].Worth = 1
		}
	}
	for i := range s.Deployments {
		if s.Deployments[i].MaxLoading == 0 {
			s.Deployments[i].MaxLoading = defaultMaxLoading
		}
	}
	for i := range s.Accounts {
		if s.Accounts[i].Weight == 0 {
			s.Accounts[i].Weight = 1
		}
	}
}

// checker looks for duplicate names, broken references and impossible limits.
type checker struct {
	set      *Set
	lines    map[string]int
	names    map[string]map[string]bool
	problems []failure.Problem
}

// Check lists all faults of a set.
func Check(set *Set) []failure.Problem { return check(set, nil) }

func check(set *Set, lines map[string]int) []failure.Problem {
	c := &checker{set: set, lines: lines, names: map[string]map[string]bool{}}
	for _, l := range collections {
		c.uniqueNames(l)
	}
	c.ranks()
	c.models()
	c.upstreams()
	c.servicesAndStores()
	c.accounts()
	return c.problems
}

func (c *checker) fail(path, format string, args ...any) {
	c.problems = append(c.problems, problemAt(path, c.lines[path], format, args...))
}

func (c *checker) uniqueNames(l collection) {
	seen := map[string]bool{}
	for i, name := range l.names(c.set) {
		path := fmt.Sprintf("%s[%d].name", l.label(), i)
		switch {
		case name == "":
			c.fail(path, "must be set")
		case len(name) > 200:
			c.fail(path, "is longer than 200 bytes")
		case seen[name]:
			c.fail(path, "duplicate name %q", name)
		}
		seen[name] = true
	}
	c.names[l.label()] = seen
}

func (c *checker) refers(path, collection, name string) {
	if name == "" {
		c.fail(path, "must be set")
		return
	}
	if !c.names[collection][name] {
		c.fail(path, "%q is not in %s", name, collection)
	}
}

func (c *checker) refersAll(path, collection string, names []string) {
	for i, name := range names {
		c.refers(fmt.Sprintf("%s[%d]", path, i), collection, name)
	}
}

func (c *checker) notNegative(path string, value float64) {
	if value < 0 {
		c.fail(path, "must not be negative, is %g", value)
	}
}

func (c *checker) ranks() {
	orders := map[int]string{}
	floors := 0.0
	for i, r := range c.set.Ranks {
		path := fmt.Sprintf("ranks[%d]", i)
		c.notNegative(path+".order", float64(r.Order))
		if other, ok := orders[r.Order]; ok {
			c.fail(path+".order", "rank %q has the same order", other)
		}
		orders[r.Order] = r.Name
		if r.Floor < 0 || r.Floor > 1 {
			c.fail(path+".floor", "must be from 0 to 1, is %g", r.Floor)
		}
		floors += r.Floor
		c.notNegative(path+".worth", r.Worth)
		if r.FirstTokenMs <= 0 {
			c.fail(path+".first_token_ms", "must be above 0, is %d", r.FirstTokenMs)
		}
	}
	if floors > 1+1e-9 {
		c.fail("ranks", "the floors add up to %g, which is more than the whole capacity", floors)
	}
}

func (c *checker) models() {
	modelOf := map[string]string{}
	for i, w := range c.set.WeightVersions {
		modelOf[w.Name] = w.Model
		c.refers(fmt.Sprintf("weight_versions[%d].model", i), "models", w.Model)
	}
	for i, m := range c.set.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.refers(path+".weight_version", "weight_versions", m.WeightVersion)
		if of, ok := modelOf[m.WeightVersion]; ok && of != m.Name {
			c.fail(path+".weight_version", "%q is a version of model %q", m.WeightVersion, of)
		}
		c.refers(path+".default_rank", "ranks", m.DefaultRank)
		c.notNegative(path+".bytes_per_token", float64(m.BytesPerToken))
	}
	for i, d := range c.set.Deployments {
		path := fmt.Sprintf("deployments[%d]", i)
		c.refers(path+".model", "models", d.Model)
		if d.MaxLoading < 1 {
			c.fail(path+".max_loading", "must be above 0, is %d", d.MaxLoading)
		}
	}
}

func (c *checker) upstreams() {
	seen := map[string]string{}
	for i, u := range c.set.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		c.refers(path+".deployment", "deployments", u.Deployment)
		c.refers(path+".zone", "zones", u.Zone)
		c.address(path+".agent_address", u.AgentAddress)
		if other, ok := seen[u.AgentAddress]; ok {
			c.fail(path+".agent_address", "upstream %q has the same address", other)
		}
		seen[u.AgentAddress] = u.Name
		c.notNegative(path+".prefill_tokens_per_second", u.PrefillTokensPerSecond)
		c.notNegative(path+".decode_tokens_per_second", u.DecodeTokensPerSecond)
	}
}

func (c *checker) servicesAndStores() {
	for i, s := range c.set.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.refers(path+".rank", "ranks", s.Rank)
		for j, pattern := range s.NonIdempotent {
			method, prefix, ok := strings.Cut(pattern, " ")
			if !ok || method == "" || method != strings.ToUpper(method) || !strings.HasPrefix(prefix, "/") {
				c.fail(fmt.Sprintf("%s.non_idempotent[%d]", path, j), `%q is not of the form "METHOD /path-prefix"`, pattern)
			}
		}
		for j, address := range s.AgentAddresses {
			c.address(fmt.Sprintf("%s.agent_addresses[%d]", path, j), address)
		}
	}
	for i, s := range c.set.Stores {
		path := fmt.Sprintf("stores[%d]", i)
		c.refers(path+".zone", "zones", s.Zone)
		c.address(path+".address", s.Address)
		c.notNegative(path+".link_bytes_per_second", float64(s.LinkBytesPerSecond))
	}
}

func (c *checker) accounts() {
	owner := map[string]string{}
	for i, a := range c.set.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		for j, hash := range a.KeySHA256 {
			c.accountKey(fmt.Sprintf("%s.key_sha256[%d]", path, j), hash, a.Name, owner)
		}
		c.notNegative(path+".weight", a.Weight)
		c.notNegative(path+".max_concurrent", float64(a.MaxConcurrent))
		c.refersAll(path+".models", "models", a.Models)
		c.refersAll(path+".services", "services", a.Services)
		c.refersAll(path+".ranks", "ranks", a.Ranks)
	}
}

// accountKey refuses a key that two accounts share, because it would let one act as the other.
func (c *checker) accountKey(path, hash, account string, owner map[string]string) {
	if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 || hash != strings.ToLower(hash) {
		c.fail(path, "is not a SHA-256 hash in lower-case hex")
		return
	}
	if other, ok := owner[hash]; ok {
		c.fail(path, "account %q has the same key", other)
	}
	owner[hash] = account
}

func (c *checker) address(path, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.fail(path, "%q is not an IP address and port", value)
	}
}
