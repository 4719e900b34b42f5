package entry

import (
	"time"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/operators"
)

// Options are the limits of a Server.
type Options struct {
	// MaxBodyBytes limits a request body; default 8 MiB.
	MaxBodyBytes int64
	// MaxBufferedBytes limits the total size of the bodies of requests in flight; default 1 GiB.
	MaxBufferedBytes int64
	// MaxConcurrent limits requests in flight; default 2048.
	MaxConcurrent int
	// MaxConnections limits open connections of callers; default 8192.
	MaxConnections int
	// HeaderTimeout limits the time to receive a request's header; default 5 s.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time to receive a request's body; default 10 s.
	BodyTimeout time.Duration
	// WriteTimeout limits one write to a caller; default 10 s.
	WriteTimeout time.Duration
	// IdleTimeout is how long an idle keep-alive connection stays open; default 60 s.
	IdleTimeout time.Duration
	// DefaultDeadline is used for requests without X-Deadline-Ms; default 5 min.
	DefaultDeadline time.Duration
	// MaxDeadline is the largest X-Deadline-Ms; default 10 min.
	MaxDeadline time.Duration
	// StreamIdleTimeout ends an agent's stream without events; default 5 s (agents send a heartbeat each second).
	StreamIdleTimeout time.Duration
	// ConnectTimeout limits connection set-up to an agent; default 1 s.
	ConnectTimeout time.Duration
	// SourceIP is the source address of connections to agents; default: chosen by the kernel.
	SourceIP string
	// SetVersionTimeout is how long a request waits for a newer set version that a reply has named; default 1 s.
	SetVersionTimeout time.Duration
	// MaxAttempts limits the upstreams tried for one request, continuations included; default 3.
	MaxAttempts int
	// ReadyMargin is the time for which the set must still be confirmed when a stale entry becomes ready again; default
	// half of the default stale-set limit.
	ReadyMargin time.Duration
	// RetryShare is the retry budget as a share of requests; default 0.1.
	RetryShare float64
	// RetryBurst is the number of unused retries that the budget can accumulate; default 10.
	RetryBurst float64
	// DefaultMaxTokens is used for chat requests that give no limit; default 1024.
	DefaultMaxTokens int64
	// MaxTokens is the largest limit that a chat request may give; default 32,768.
	MaxTokens int64
	// MaxRequestRecords is how many past requests are kept for /debug/requests; default 1024.
	MaxRequestRecords int
	// Operators may look up requests; nil means nobody may.
	Operators *operators.List
	// DrainNotice is how long a stopping entry accepts requests while readyz already fails; default 5 s.
	DrainNotice time.Duration
	// DrainLimit is how long running requests may take after DrainNotice; default 10 min.
	DrainLimit time.Duration
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.MaxBodyBytes, 8<<20)
	defaults.Set(&o.MaxBufferedBytes, 1<<30)
	defaults.Set(&o.MaxConcurrent, 2048)
	defaults.Set(&o.MaxConnections, 8192)
	defaults.Set(&o.HeaderTimeout, 5*time.Second)
	defaults.Set(&o.BodyTimeout, 10*time.Second)
	defaults.Set(&o.WriteTimeout, 10*time.Second)
	defaults.Set(&o.IdleTimeout, time.Minute)
	defaults.Set(&o.DefaultDeadline, 5*time.Minute)
	defaults.Set(&o.MaxDeadline, 10*time.Minute)
	defaults.Set(&o.StreamIdleTimeout, 5*time.Second)
	defaults.Set(&o.ConnectTimeout, time.Second)
	defaults.Set(&o.SetVersionTimeout, time.Second)
	defaults.Set(&o.MaxAttempts, 3)
	defaults.Set(&o.ReadyMargin, 2*time.Second)
	defaults.Set(&o.RetryShare, 0.1)
	defaults.Set(&o.RetryBurst, 10)
	defaults.Set(&o.DefaultMaxTokens, 1024)
	defaults.Set(&o.MaxTokens, 32768)
	defaults.Set(&o.MaxRequestRecords, 1024)
	defaults.Set(&o.DrainNotice, 5*time.Second)
	defaults.Set(&o.DrainLimit, 10*time.Minute)
	return o
}
