package objectset

import (
	"encoding/hex"
	"fmt"
	"net"
	"strings"

	"github.com/wasabishunt/wasabishunt/failure"
)

// defaultMaxLoading is the default number of engines of a deployment that may load weights at once.
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

// checker finds duplicate names, unresolved references and values out of range.
type checker struct {
	set *Set
	// lines maps paths to lines of the document; nil if the set was not parsed from one.
	lines map[string]int
	// names holds the names of the objects by collection.
	names    map[string]map[string]bool
	problems []failure.Problem
}

// Check returns all problems of a set.
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

func (c *checker) addProblem(path, format string, args ...any) {
	c.problems = append(c.problems, problemAt(path, c.lines[path], format, args...))
}

func (c *checker) uniqueNames(l collection) {
	seen := map[string]bool{}
	for i, name := range l.names(c.set) {
		path := fmt.Sprintf("%s[%d].name", l.label(), i)
		switch {
		case name == "":
			c.addProblem(path, "must be set")
		case len(name) > 200:
			c.addProblem(path, "is longer than 200 bytes")
		case seen[name]:
			c.addProblem(path, "duplicate name %q", name)
		}
		seen[name] = true
	}
	c.names[l.label()] = seen
}

func (c *checker) requireReference(path, collection, name string) {
	if name == "" {
		c.addProblem(path, "must be set")
		return
	}
	if !c.names[collection][name] {
		c.addProblem(path, "%q is not in %s", name, collection)
	}
}

func (c *checker) requireReferences(path, collection string, names []string) {
	for i, name := range names {
		c.requireReference(fmt.Sprintf("%s[%d]", path, i), collection, name)
	}
}

func (c *checker) notNegative(path string, value float64) {
	if value < 0 {
		c.addProblem(path, "must not be negative, is %g", value)
	}
}

func (c *checker) ranks() {
	orders := map[int]string{}
	floorSum := 0.0
	for i, r := range c.set.Ranks {
		path := fmt.Sprintf("ranks[%d]", i)
		c.notNegative(path+".order", float64(r.Order))
		if other, ok := orders[r.Order]; ok {
			c.addProblem(path+".order", "rank %q has the same order", other)
		}
		orders[r.Order] = r.Name
		if r.Floor < 0 || r.Floor > 1 {
			c.addProblem(path+".floor", "must be from 0 to 1, is %g", r.Floor)
		}
		floorSum += r.Floor
		c.notNegative(path+".worth", r.Worth)
		if r.FirstTokenMs <= 0 {
			c.addProblem(path+".first_token_ms", "must be above 0, is %d", r.FirstTokenMs)
		}
	}
	if floorSum > 1+1e-9 {
		c.addProblem("ranks", "the floors add up to %g, more than the whole capacity (1)", floorSum)
	}
}

func (c *checker) models() {
	// modelOf maps weight versions to their models.
	modelOf := map[string]string{}
	for i, w := range c.set.WeightVersions {
		modelOf[w.Name] = w.Model
		c.requireReference(fmt.Sprintf("weight_versions[%d].model", i), "models", w.Model)
	}
	for i, m := range c.set.Models {
		path := fmt.Sprintf("models[%d]", i)
		c.requireReference(path+".weight_version", "weight_versions", m.WeightVersion)
		if model, ok := modelOf[m.WeightVersion]; ok && model != m.Name {
			c.addProblem(path+".weight_version", "%q is a version of model %q", m.WeightVersion, model)
		}
		c.requireReference(path+".default_rank", "ranks", m.DefaultRank)
		c.notNegative(path+".bytes_per_token", float64(m.BytesPerToken))
	}
	for i, d := range c.set.Deployments {
		path := fmt.Sprintf("deployments[%d]", i)
		c.requireReference(path+".model", "models", d.Model)
		if d.MaxLoading < 1 {
			c.addProblem(path+".max_loading", "must be above 0, is %d", d.MaxLoading)
		}
	}
}

func (c *checker) upstreams() {
	seen := map[string]string{}
	for i, u := range c.set.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		c.requireReference(path+".deployment", "deployments", u.Deployment)
		c.requireReference(path+".zone", "zones", u.Zone)
		c.address(path+".agent_address", u.AgentAddress)
		if other, ok := seen[u.AgentAddress]; ok {
			c.addProblem(path+".agent_address", "upstream %q has the same address", other)
		}
		seen[u.AgentAddress] = u.Name
		c.notNegative(path+".prefill_tokens_per_second", u.PrefillTokensPerSecond)
		c.notNegative(path+".decode_tokens_per_second", u.DecodeTokensPerSecond)
	}
}

func (c *checker) servicesAndStores() {
	for i, s := range c.set.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.requireReference(path+".rank", "ranks", s.Rank)
		for j, pattern := range s.NonIdempotent {
			method, prefix, ok := strings.Cut(pattern, " ")
			if !ok || method == "" || method != strings.ToUpper(method) || !strings.HasPrefix(prefix, "/") {
				c.addProblem(fmt.Sprintf("%s.non_idempotent[%d]", path, j), `%q is not of the form "METHOD /path-prefix"`, pattern)
			}
		}
		for j, address := range s.AgentAddresses {
			c.address(fmt.Sprintf("%s.agent_addresses[%d]", path, j), address)
		}
	}
	for i, s := range c.set.Stores {
		path := fmt.Sprintf("stores[%d]", i)
		c.requireReference(path+".zone", "zones", s.Zone)
		c.address(path+".address", s.Address)
		c.notNegative(path+".link_bytes_per_second", float64(s.LinkBytesPerSecond))
	}
}

func (c *checker) accounts() {
	ownerByHash := map[string]string{}
	for i, a := range c.set.Accounts {
		path := fmt.Sprintf("accounts[%d]", i)
		for j, hash := range a.KeySHA256 {
			c.accountKey(fmt.Sprintf("%s.key_sha256[%d]", path, j), hash, a.Name, ownerByHash)
		}
		c.notNegative(path+".weight", a.Weight)
		c.notNegative(path+".max_concurrent", float64(a.MaxConcurrent))
		c.requireReferences(path+".models", "models", a.Models)
		c.requireReferences(path+".services", "services", a.Services)
		c.requireReferences(path+".ranks", "ranks", a.Ranks)
	}
}

// accountKey checks a key hash. A key shared by two accounts is refused, because a caller with it could act as either.
func (c *checker) accountKey(path, hash, account string, ownerByHash map[string]string) {
	if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 || hash != strings.ToLower(hash) {
		c.addProblem(path, "is not a SHA-256 hash in lower-case hex")
		return
	}
	if other, ok := ownerByHash[hash]; ok {
		c.addProblem(path, "account %q has the same key", other)
	}
	ownerByHash[hash] = account
}

func (c *checker) address(path, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.addProblem(path, "%q is not an IP address and port", value)
	}
}
