package main

import (
	"time"

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/agent/kv"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/settings"
)

// arguments are the flags and environment variables of the agent.
type arguments struct {
	settings.Registered

	Listen         string        `arg:"--listen,env:LISTEN" help:"IP address and port for entries (IP:port)"`
	Upstream       string        `arg:"--upstream,env:UPSTREAM" help:"name of the upstream beside this agent (name)"`
	Engine         string        `arg:"--engine,env:ENGINE" help:"IP address and port of the engine (IP:port)"`
	Service        string        `arg:"--service,env:SERVICE" help:"name of the plain service beside this agent (name)"`
	ServiceAddress string        `arg:"--service-address,env:SERVICE_ADDRESS" help:"IP address and port of the plain service (IP:port)"`
	StaleSetLimit  time.Duration `arg:"--stale-set-limit,env:STALE_SET_LIMIT" default:"4s" help:"no new work after so long without confirmation of the set (duration)"`
	DrainNotice    time.Duration `arg:"--drain-notice,env:DRAIN_NOTICE" default:"2s" help:"new calls are refused for so long before the listener closes (duration)"`
	DrainLimit     time.Duration `arg:"--drain-limit,env:DRAIN_LIMIT" default:"10m" help:"time for running calls when the agent stops (duration)"`
	Workers        int           `arg:"--workers,env:WORKERS" default:"32" help:"runs given to the engine at once (count)"`
	MaxQueued      int           `arg:"--max-queued,env:MAX_QUEUED" default:"1024" help:"limit of queued requests (count)"`
	SetGrace       time.Duration `arg:"--set-grace,env:SET_GRACE" default:"1s" help:"work sent under an older set version is taken for so long (duration)"`
	WriteTimeout   time.Duration `arg:"--write-timeout,env:WRITE_TIMEOUT" default:"10s" help:"time for one write to an entry (duration)"`
	ServiceTimeout time.Duration `arg:"--service-timeout,env:SERVICE_TIMEOUT" default:"30s" help:"time for one call of the plain service (duration)"`
	AskTimeout     time.Duration `arg:"--store-ask-timeout,env:STORE_ASK_TIMEOUT" default:"100ms" help:"time for a store to tell which pieces it holds (duration)"`
	FetchSlack     time.Duration `arg:"--fetch-slack,env:FETCH_SLACK" default:"100ms" help:"time that a fetch may take beyond the recomputation that it replaces (duration)"`
	MaxFetchBytes  int64         `arg:"--max-fetch-bytes,env:MAX_FETCH_BYTES" default:"268435456" help:"limit of piece bodies in fetches at once (bytes)"`
	ExportQueue    int           `arg:"--export-queue,env:EXPORT_QUEUE" default:"4096" help:"limit of pieces that wait for their export (count)"`
	Exporters      int           `arg:"--exporters,env:EXPORTERS" default:"2" help:"pieces exported at once (count)"`
	StoreLoss      float64       `arg:"--store-loss-probability,env:STORE_LOSS_PROBABILITY" default:"0.0001" help:"probability that a store is lost within 10 min; decides which pieces get a second copy (share, 0 to 1)"`
	PieceKeyFile   string        `arg:"--piece-key-file,env:PIECE_KEY_FILE" help:"file with the 32 bytes of the piece-name key; needed beside an engine (file)"`

	pieceKey piece.Key
}

// Validate returns all problems of the settings.
func (a *arguments) Validate() []failure.Problem {
	var c settings.Checker
	a.Registered.Check(&c, a.Listen, "agent-1")
	a.validateUpstream(&c)
	settings.Positive(&c, "--workers", a.Workers)
	settings.Positive(&c, "--max-queued", a.MaxQueued)
	settings.Positive(&c, "--max-fetch-bytes", a.MaxFetchBytes)
	settings.Positive(&c, "--export-queue", a.ExportQueue)
	settings.Positive(&c, "--exporters", a.Exporters)
	settings.Positive(&c, "--store-loss-probability", a.StoreLoss)
	if a.StoreLoss > 1 {
		c.AddProblem("--store-loss-probability", "must be at most 1, is %v", a.StoreLoss)
	}
	c.PositiveDurations(map[string]time.Duration{
		"--stale-set-limit": a.StaleSetLimit, "--drain-notice": a.DrainNotice, "--drain-limit": a.DrainLimit, "--set-grace": a.SetGrace,
		"--write-timeout": a.WriteTimeout, "--service-timeout": a.ServiceTimeout,
		"--store-ask-timeout": a.AskTimeout, "--fetch-slack": a.FetchSlack,
	})
	return c.Problems()
}

// validateUpstream checks that the agent is configured for exactly one engine or one service.
func (a *arguments) validateUpstream(c *settings.Checker) {
	switch {
	case a.Upstream == "" && a.Service == "":
		c.AddProblem("--upstream", "either --upstream or --service must be set")
	case a.Upstream != "" && a.Service != "":
		c.AddProblem("--service", "only one of --upstream and --service may be set")
	case a.Upstream != "":
		c.Address("--engine", a.Engine)
		c.KeyFile("--piece-key-file", a.PieceKeyFile, a.pieceKey[:])
	default:
		c.Address("--service-address", a.ServiceAddress)
	}
}

// serves returns the name of the upstream or service that the agent reports to control.
func (a *arguments) serves() string {
	if a.Upstream != "" {
		return a.Upstream
	}
	return a.Service
}

func (a *arguments) options() agent.Options {
	return agent.Options{
		ProcessID:      a.ProcessID,
		Upstream:       a.Upstream,
		Service:        a.Service,
		Workers:        a.Workers,
		MaxQueued:      a.MaxQueued,
		SetGrace:       a.SetGrace,
		WriteTimeout:   a.WriteTimeout,
		ServiceTimeout: a.ServiceTimeout,
		Pieces: kv.Options{
			LookupTimeout: a.AskTimeout, FetchSlack: a.FetchSlack, MaxFetchBytes: a.MaxFetchBytes,
			ExportQueue: a.ExportQueue, Exporters: a.Exporters, LossProbability: a.StoreLoss,
		},
	}
}
