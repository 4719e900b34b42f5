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
	// Upstream is the agent's upstream name in the object set; empty beside a plain service.
	Upstream string
	// Service is the plain service's name in the object set; empty beside an engine.
	Service string
	// Workers is how many runs the engine is given at once; default 32.
	Workers int
	// MaxQueued is the limit of queued requests; default 1024.
	MaxQueued int
	// Admission settings; the default is admission.Defaults.
	Admission admission.Settings
	// Pieces are the limits of fetches from and exports to the stores.
	Pieces kv.Options
	// EventBuffer is how many events of a run wait for the entry; default 64.
	EventBuffer int
	// WriteTimeout ends a connection whose peer takes no bytes; default 10 s.
	WriteTimeout time.Duration
	// Heartbeat is the time between signs of life on a stream without events; default 1 s.
	Heartbeat time.Duration
	// SetGrace is how long work sent under an older set version is taken after a newer one was adopted; default 1 s.
	SetGrace time.Duration
	// CatchUp is how long a prompt waits for a newer set that its sender has; default 500 ms, because its entry can
	// use another upstream.
	CatchUp time.Duration
	// ServiceCatchUp is the same for calls of the plain service; default 3 s, because a service has few agents and
	// an agent that lost its control member needs up to 2 s to find another one.
	ServiceCatchUp time.Duration
	// MaxDeadline is the time given to requests that carry no deadline, and the limit for those that do; default 10 min.
	MaxDeadline time.Duration
	// WeightPoll is the time between reads of the engine's loaded versions; default 1 s.
	WeightPoll time.Duration
	// LoadTimeout is how long a load of weights may take before it is ordered again; default 60 s.
	LoadTimeout time.Duration
	// SlotPoll is the time between requests for a load slot; default 200 ms.
	SlotPoll time.Duration
	// CachePoll is the time between reads of the engine's cache events; default 500 ms.
	CachePoll time.Duration
	// EventLag is how late a cache event may arrive; an older one does not correct what the agent knows; default 2 s.
	EventLag time.Duration
	// MaxCachePieces is how many cached pieces are remembered; default 65,536.
	MaxCachePieces int
	// CallTimeout limits one call of control; default 2 s.
	CallTimeout time.Duration
	// FinishTimeout is how long the outcome of a booking is reported again and again; default 30 s.
	FinishTimeout time.Duration
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
	defaults.Set(&o.CatchUp, 500*time.Millisecond)
	defaults.Set(&o.ServiceCatchUp, 3*time.Second)
	defaults.Set(&o.MaxDeadline, 10*time.Minute)
	defaults.Set(&o.WeightPoll, time.Second)
	defaults.Set(&o.LoadTimeout, time.Minute)
	defaults.Set(&o.SlotPoll, 200*time.Millisecond)
	defaults.Set(&o.CachePoll, 500*time.Millisecond)
	defaults.Set(&o.EventLag, 2*time.Second)
	defaults.Set(&o.MaxCachePieces, 65536)
	defaults.Set(&o.CallTimeout, 2*time.Second)
	defaults.Set(&o.FinishTimeout, 30*time.Second)
	defaults.Set(&o.ServiceTimeout, 30*time.Second)
	defaults.Set(&o.MaxConnections, 4096)
	defaults.Set(&o.MaxMessageBytes, 32<<20)
	return o
}
