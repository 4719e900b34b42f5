package agent

import (
	"time"

	"github.com/wasabishunt/wasabishunt/admission"
	"github.com/wasabishunt/wasabishunt/agent/kv"
	"github.com/wasabishunt/wasabishunt/defaults"
)

// Options are the limits of an Agent.
type Options struct {
	// ProcessID is the agent's id in the memberships.
	ProcessID string
	// Upstream is the name of the agent's upstream in the object set; empty for a plain service.
	Upstream string
	// Service is the name of the agent's plain service in the object set; empty for an engine.
	Service string
	// Workers is the number of concurrent runs on the engine; default 32.
	Workers int
	// MaxQueued is the limit of queued requests; default 1024.
	MaxQueued int
	// Admission settings; the default is admission.Defaults.
	Admission admission.Settings
	// Pieces are the limits of fetches from and exports to the stores.
	Pieces kv.Options
	// EventBuffer is how many events of a run are buffered for the entry; default 64.
	EventBuffer int
	// WriteTimeout ends a connection whose peer does not read; default 10 s.
	WriteTimeout time.Duration
	// Heartbeat is the time between heartbeats on a stream without events; default 1 s.
	Heartbeat time.Duration
	// SetGrace is how long work sent under a set version is accepted after the first newer one was adopted; default 1 s.
	SetGrace time.Duration
	// SetVersionTimeout is how long a prompt waits for a newer set version that its sender has; default 500 ms, because the
	// entry can use another upstream.
	SetVersionTimeout time.Duration
	// ServiceSetVersionTimeout is how long a call of the plain service waits likewise; default 3 s, because a service has few agents and
	// an agent that lost its control member needs up to 2 s to find another one.
	ServiceSetVersionTimeout time.Duration
	// MaxDeadline limits the time for a request and is used for requests without a deadline; default 10 min.
	MaxDeadline time.Duration
	// WeightPollInterval is the time between reads of the engine's loaded versions; default 1 s.
	WeightPollInterval time.Duration
	// LoadTimeout is how long a load of weights may take before it is requested again; default 60 s.
	LoadTimeout time.Duration
	// SlotPollInterval is the time between requests for a load slot; default 200 ms.
	SlotPollInterval time.Duration
	// CachePollInterval is the time between reads of the engine's cache events; default 500 ms.
	CachePollInterval time.Duration
	// MaxEventLag is how late a cache event may arrive. An event about a piece that the agent has observed within that time
	// is ignored; default 2 s.
	MaxEventLag time.Duration
	// MaxCachePieces limits the cached pieces that the agent tracks; default 65,536.
	MaxCachePieces int
	// CallTimeout limits one call to control; default 2 s.
	CallTimeout time.Duration
	// FinishRetryTimeout is how long the report of a booking's outcome is retried; default 30 s.
	FinishRetryTimeout time.Duration
	// ServiceTimeout limits one call of the plain service; default 30 s.
	ServiceTimeout time.Duration
	// MaxConnections is the limit of open connections; default 4096.
	MaxConnections int
	// MaxMessageBytes is the size limit of one message; default 32 MiB.
	MaxMessageBytes int
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.Workers, 32)
	defaults.Set(&o.MaxQueued, 1024)
	defaults.Set(&o.Admission, admission.Defaults())
	defaults.Set(&o.EventBuffer, 64)
	defaults.Set(&o.WriteTimeout, 10*time.Second)
	defaults.Set(&o.Heartbeat, time.Second)
	defaults.Set(&o.SetGrace, time.Second)
	defaults.Set(&o.SetVersionTimeout, 500*time.Millisecond)
	defaults.Set(&o.ServiceSetVersionTimeout, 3*time.Second)
	defaults.Set(&o.MaxDeadline, 10*time.Minute)
	defaults.Set(&o.WeightPollInterval, time.Second)
	defaults.Set(&o.LoadTimeout, time.Minute)
	defaults.Set(&o.SlotPollInterval, 200*time.Millisecond)
	defaults.Set(&o.CachePollInterval, 500*time.Millisecond)
	defaults.Set(&o.MaxEventLag, 2*time.Second)
	defaults.Set(&o.MaxCachePieces, 65536)
	defaults.Set(&o.CallTimeout, 2*time.Second)
	defaults.Set(&o.FinishRetryTimeout, 30*time.Second)
	defaults.Set(&o.ServiceTimeout, 30*time.Second)
	defaults.Set(&o.MaxConnections, 4096)
	defaults.Set(&o.MaxMessageBytes, 32<<20)
	return o
}
