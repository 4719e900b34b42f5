// Package objectset defines the set of configuration objects that operators publish as a whole, and parses, checks,
// compares and patches sets. It does no I/O.
package objectset

import "time"

// Set is one whole object set. All lists are sorted by name in canonical form.
type Set struct {
	Zones          []Zone          `json:"zones"`
	Ranks          []Rank          `json:"ranks"`
	Models         []Model         `json:"models"`
	WeightVersions []WeightVersion `json:"weight_versions"`
	Deployments    []Deployment    `json:"deployments"`
	Upstreams      []Upstream      `json:"upstreams"`
	Services       []Service       `json:"services"`
	Stores         []Store         `json:"stores"`
	Accounts       []Account       `json:"accounts"`
}

// Zone is an availability zone.
type Zone struct {
	// Name is the unique name; required.
	Name string `json:"name"`
	// Region is the region of the zone; informational, may be empty.
	Region string `json:"region"`
}

// Rank is a priority class of requests.
type Rank struct {
	// Name is the unique name; required.
	Name string `json:"name"`
	// Order of urgency; 0 is the most urgent. Unique, not negative.
	Order int `json:"order"`
	// Floor is the share of an upstream's capacity that is guaranteed to the rank under any load of other ranks, 0 to 1.
	// The sum of all floors is at most 1. Default 0.
	Floor float64 `json:"floor"`
	// Worth is the weight of a request of the rank that is answered on time; not negative, default 1.
	Worth float64 `json:"worth"`
	// FirstTokenMs is the target for the time to first token in milliseconds; required, above 0.
	FirstTokenMs int64 `json:"first_token_ms"`
}

// FirstTokenTarget returns the target for the time to first token.
func (r Rank) FirstTokenTarget() time.Duration {
	return time.Duration(r.FirstTokenMs) * time.Millisecond
}

// Model is a model name that callers use.
type Model struct {
	// Name is the unique name; required.
	Name string `json:"name"`
	// WeightVersion names the version that new requests use, from weight_versions and of this model; required.
	WeightVersion string `json:"weight_version"`
	// DefaultRank is the rank of requests that name none, from ranks; required.
	DefaultRank string `json:"default_rank"`
	// BytesPerToken is the size of stored KV cache for one token in bytes; not negative, default 0.
	BytesPerToken int64 `json:"bytes_per_token"`
}

// WeightVersion is one version of a model's weights.
type WeightVersion struct {
	// Name is the unique name; required.
	Name string `json:"name"`
	// Model that the weights belong to, from models; required.
	Model string `json:"model"`
	// Source is the path in the weight store.
	Source string `json:"source"`
}

// Deployment groups upstreams that serve the same model; weight loads are limited per deployment.
type Deployment struct {
	// Name is the unique name; required.
	Name string `json:"name"`
	// Model that the upstreams serve, from models; required.
	Model string `json:"model"`
	// MaxLoading is how many engines may load weights at once; above 0, default 2.
	MaxLoading int `json:"max_loading"`
}

// Upstream is one engine with its agent.
type Upstream struct {
	// Name is the unique name; required.
	Name string `json:"name"`
	// Deployment of the upstream, from deployments; required.
	Deployment string `json:"deployment"`
	// Zone is the availability zone, from zones; required.
	Zone string `json:"zone"`
	// AgentAddress is the IP address and port of the agent; required, unique.
	AgentAddress string `json:"agent_address"`
	// HonorsFencing is true if the engine refuses a request with an outdated fencing number; default false.
	HonorsFencing bool `json:"honors_fencing"`
	// PrefillTokensPerSecond is the initial estimate in tokens per second, replaced by measured rates; not negative.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// DecodeTokensPerSecond is the initial estimate for one stream in tokens per second; not negative.
	DecodeTokensPerSecond float64 `json:"decode_tokens_per_second"`
}

// Service is an HTTP service other than an engine.
type Service struct {
	// Name is the unique name; required.
	Name string `json:"name"`
	// Rank of the service's calls, from ranks; required.
	Rank string `json:"rank"`
	// NonIdempotent lists "METHOD /path-prefix" patterns whose calls may run at most once; default none.
	NonIdempotent []string `json:"non_idempotent"`
	// AgentAddresses are the IP addresses and ports of the agents of the service's instances.
	AgentAddresses []string `json:"agent_addresses"`
}

// Store is a store VM.
type Store struct {
	// Name is the unique name; required.
	Name string `json:"name"`
	// Zone is the availability zone, from zones; required.
	Zone string `json:"zone"`
	// Address is the IP address and port of the store; required.
	Address string `json:"address"`
	// LinkBytesPerSecond limits transfers to and from the store in bytes per second; not negative.
	LinkBytesPerSecond int64 `json:"link_bytes_per_second"`
}

// Account is a client account.
type Account struct {
	// Name is the unique name; required.
	Name string `json:"name"`
	// KeySHA256 lists SHA-256 hashes of the account's API keys in lower-case hex; no key belongs to two accounts.
	KeySHA256 []string `json:"key_sha256"`
	// Weight is the account's share of tokens within a rank relative to others; not negative, default 1.
	Weight float64 `json:"weight"`
	// Models that the account may use, from models; empty means none.
	Models []string `json:"models"`
	// Services that the account may call, from services; empty means none.
	Services []string `json:"services"`
	// MaxConcurrent limits the account's requests in flight per entry; not negative, 0 means no limit.
	MaxConcurrent int `json:"max_concurrent"`
	// Ranks that the account may use, from ranks; empty means all.
	Ranks []string `json:"ranks"`
}
