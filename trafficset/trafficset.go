// Package trafficset holds a published set of routes, services and client accounts, and finds what a request matches.
package trafficset

import (
	"strings"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

// Kind determines how often a request of a route may run.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent Kind = "non_idempotent"
	// Stream requests are answered by a stream of events.
	Stream Kind = "stream"
)

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Route is the routing rule for a host and path prefix.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time that a caller waits.
	Timeout time.Duration
	// FirstByteTarget is the time within which an answer has its full value. For streams it is measured to the first
	// event.
	FirstByteTarget time.Duration
	// EventGapTarget is the longest pause between two events of a stream that is on time.
	EventGapTarget time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// Attempts is the number of upstreams that one request may be sent to.
	Attempts int
	// Public routes serve callers without an account.
	Public bool
	// Resumable streams may be repeated at another upstream.
	Resumable bool
	Targets   []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// PriorityFor returns the priority of a request: an account's priority overrides the route's.
func (r *Route) PriorityFor(account *Account) int {
	if account != nil && account.Priority != nil {
		return max(0, *account.Priority)
	}
	return max(0, r.Priority)
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots int
	// CacheTokens is the cache size of one engine in tokens.
	CacheTokens int
	// TokenBytes is the size of one cached token.
	TokenBytes int
	LinkMbps   float64
	Models     []string
}

// TokenTransfer returns the time of one cached token over an engine's link, 0 if the link's bandwidth is not set.
func (e *EngineSpec) TokenTransfer() time.Duration {
	if e.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(float64(e.TokenBytes) * bitsPerByte / (e.LinkMbps * bitsPerMbit) * float64(time.Second))
}

const (
	bitsPerByte = 8
	bitsPerMbit = 1e6
)

// StoreSpec describes a remote store of KV cache.
type StoreSpec struct {
	Address          string
	AvailabilityZone string
	CacheTokens      int
	LinkMbps         float64
	// FirstByte is the delay that each transfer adds.
	FirstByte time.Duration
	// Managed stores never evict.
	Managed bool
}

// Service is a group of upstreams, or a store.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections limits the connections of all callers to one upstream.
	MaxConnections int
	Engine         *EngineSpec
	Store          *StoreSpec
	Cold           ColdLimit
}

// ColdLimit describes how instances of a service behave after their start. The zero value means that they take requests at once.
type ColdLimit struct {
	// Duration is how long an instance is cold, PerSecond how many requests a second a cold instance accepts from all nodes together.
	Duration  time.Duration
	PerSecond float64
}

// Applies reports whether instances of the service are ever cold.
func (l ColdLimit) Applies() bool { return l.Duration > 0 && l.PerSecond > 0 }

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the route's, if set.
	Priority *int
	// Isolated accounts share no cache with others.
	Isolated bool
}

// Limits bounds the size of requests and how slowly callers may send them.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Set is one published version of the configuration.
type Set struct {
	Version  uint64
	Routes   []Route
	Services []Service
	// Accounts is nil if callers need no key. With an empty list every key is refused.
	Accounts []Account
	Limits   Limits

	hosts    map[string]*routeIndex
	keys     map[string]*Account
	services map[string]*Service
	// sharedCache is returned by SharedCache.
	sharedCache string
}

// Build validates the references of a set and builds its indexes.
func (s *Set) Build() error {
	var problems []failure.Problem
	report := func(path, message string) {
		problems = append(problems, failure.Problem{Path: path, Message: message})
	}
	s.indexServices(report)
	s.indexRoutes(report)
	s.indexAccounts(report)
	if len(problems) > 0 {
		e := failure.New(failure.InvalidSet, failure.NotRun, "the object set has %d problems; first: %s %s", len(problems), problems[0].Path, problems[0].Message)
		e.Problems = problems
		return e
	}
	return nil
}

func (s *Set) indexServices(report func(path, message string)) {
	s.services = make(map[string]*Service, len(s.Services))
	for i := range s.Services {
		service := &s.Services[i]
		if s.services[service.Name] != nil || service.Name == "" {
			report("services."+service.Name, "the name is empty or used twice")
		}
		s.services[service.Name] = service
	}
}

func (s *Set) indexRoutes(report func(path, message string)) {
	s.hosts = map[string]*routeIndex{}
	for i := range s.Routes {
		route := &s.Routes[i]
		path := "routes." + route.Name
		s.checkRoute(route, path, report)
		host := strings.ToLower(route.Host)
		index := s.hosts[host]
		if index == nil {
			index = &routeIndex{byPrefix: map[string]*Route{}}
			s.hosts[host] = index
		}
		if other := index.add(route); other != nil {
			report(path, "host and prefix are those of route "+other.Name)
		}
	}
	for _, index := range s.hosts {
		index.sortLengths()
	}
}

func (s *Set) checkRoute(route *Route, path string, report func(path, message string)) {
	if route.Timeout <= 0 {
		report(path+".timeout", "must be positive")
	}
	if route.Kind != Idempotent && route.Kind != NonIdempotent && route.Kind != Stream {
		report(path+".kind", "is not known")
	}
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		report(path+".prefix", "must begin and end with a slash")
	}
	sum := 0
	for _, target := range route.Targets {
		if target.Weight < 0 {
			report(path+".targets", "a weight is negative")
		}
		sum += target.Weight
		if service := s.services[target.Service]; service == nil || service.Store != nil {
			report(path+".targets", "service "+target.Service+" does not exist or takes no requests")
		}
	}
	if sum <= 0 {
		report(path+".targets", "the weights add up to 0")
	}
}

func (s *Set) indexAccounts(report func(path, message string)) {
	s.keys = map[string]*Account{}
	for i := range s.Accounts {
		account := &s.Accounts[i]
		for _, key := range account.Keys {
			if other := s.keys[key]; other != nil && other != account {
				report("accounts."+account.Name, "shares a key with account "+other.Name)
			}
			s.keys[key] = account
		}
	}
	s.sharedCache = nameSharedCache(s.Accounts)
}

// Route returns the route of a request: among those of the host, the one with the longest matching prefix.
func (s *Set) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	if index := s.hosts[strings.ToLower(host)]; index != nil {
		return index.find(path)
	}
	return nil
}

// RequiresKeys reports whether callers of routes that are not public need the key of an account.
func (s *Set) RequiresKeys() bool { return s.Accounts != nil }

// Account returns the account that holds a key. A request without a key, which is empty here, has none, whatever the accounts list.
func (s *Set) Account(key string) *Account {
	if key == "" {
		return nil
	}
	return s.keys[key]
}

// Service returns a service by name.
func (s *Set) Service(name string) *Service { return s.services[name] }

// Target picks the service of one request. draw is uniform in [0, 1).
func (r *Route) Target(draw float64) string {
	sum := 0
	for _, target := range r.Targets {
		sum += target.Weight
	}
	point := draw * float64(sum)
	for _, target := range r.Targets {
		if point -= float64(target.Weight); point < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
