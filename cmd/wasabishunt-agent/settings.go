package main

import (
	"os"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/agent/kv"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/settings"
)

// arguments are the flags and environment variables of the agent.
type arguments struct {
	ProcessID      string        `arg:"--process-id,env:WASABISHUNT_AGENT_PROCESS_ID" help:"unique id of this process"`
	Listen         string        `arg:"--listen,env:WASABISHUNT_AGENT_LISTEN" default:"127.0.0.1:7300" help:"IP address and port for entries"`
	Advertise      string        `arg:"--advertise,env:WASABISHUNT_AGENT_ADVERTISE" help:"IP address and port reported to control; default is that of --listen"`
	Metrics        string        `arg:"--metrics,env:WASABISHUNT_AGENT_METRICS" help:"IP address and port of the metrics page; default none"`
	SourceIP       string        `arg:"--source-ip,env:WASABISHUNT_AGENT_SOURCE_IP" help:"source IP address of connections to other processes; default is chosen by the kernel"`
	Control        []string      `arg:"--control,env:WASABISHUNT_AGENT_CONTROL" help:"IP addresses and ports of control members"`
	Zone           string        `arg:"--zone,env:WASABISHUNT_AGENT_ZONE" help:"availability zone"`
	Upstream       string        `arg:"--upstream,env:WASABISHUNT_AGENT_UPSTREAM" help:"name of the upstream beside this agent"`
	Engine         string        `arg:"--engine,env:WASABISHUNT_AGENT_ENGINE" help:"IP address and port of the engine"`
	Service        string        `arg:"--service,env:WASABISHUNT_AGENT_SERVICE" help:"name of the plain service beside this agent"`
	ServiceAddress string        `arg:"--service-address,env:WASABISHUNT_AGENT_SERVICE_ADDRESS" help:"IP address and port of the plain service"`
	StaleSetLimit  time.Duration `arg:"--stale-set-limit,env:WASABISHUNT_AGENT_STALE_SET_LIMIT" default:"4s" help:"no new work after so long without confirmation of the set"`
	DrainLimit     time.Duration `arg:"--drain-limit,env:WASABISHUNT_AGENT_DRAIN_LIMIT" default:"10m" help:"time for running calls when the agent stops"`
	Workers        int           `arg:"--workers,env:WASABISHUNT_AGENT_WORKERS" default:"32" help:"runs given to the engine at once"`
	MaxQueued      int           `arg:"--max-queued,env:WASABISHUNT_AGENT_MAX_QUEUED" default:"1024" help:"limit of queued requests"`
	SetGrace       time.Duration `arg:"--set-grace,env:WASABISHUNT_AGENT_SET_GRACE" default:"1s" help:"work sent under an older set version is taken for so long"`
	WriteTimeout   time.Duration `arg:"--write-timeout,env:WASABISHUNT_AGENT_WRITE_TIMEOUT" default:"10s" help:"time for one write to an entry"`
	ServiceTimeout time.Duration `arg:"--service-timeout,env:WASABISHUNT_AGENT_SERVICE_TIMEOUT" default:"30s" help:"time for one call of the plain service"`
	AskTimeout     time.Duration `arg:"--store-ask-timeout,env:WASABISHUNT_AGENT_STORE_ASK_TIMEOUT" default:"100ms" help:"time for a store to tell which pieces it holds"`
	FetchSlack     time.Duration `arg:"--fetch-slack,env:WASABISHUNT_AGENT_FETCH_SLACK" default:"100ms" help:"time that a fetch may take beyond the recomputation that it replaces"`
	MaxFetchBytes  int64         `arg:"--max-fetch-bytes,env:WASABISHUNT_AGENT_MAX_FETCH_BYTES" default:"268435456" help:"limit of piece bodies in fetches at once, in bytes"`
	ExportQueue    int           `arg:"--export-queue,env:WASABISHUNT_AGENT_EXPORT_QUEUE" default:"4096" help:"limit of pieces that wait for their export"`
	Exporters      int           `arg:"--exporters,env:WASABISHUNT_AGENT_EXPORTERS" default:"2" help:"pieces exported at once"`
	PieceKeyFile   string        `arg:"--piece-key-file,env:WASABISHUNT_AGENT_PIECE_KEY_FILE" help:"file with the 32 bytes of the piece-name key; needed beside an engine"`
	LogLevel       zapcore.Level `arg:"--log-level,env:WASABISHUNT_AGENT_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`

	pieceKey piece.Key
}

// Validate lists all faults of the settings.
func (a *arguments) Validate() []failure.Problem {
	var c settings.Checker
	c.Required("process-id", a.ProcessID)
	c.Address("listen", a.Listen)
	if a.Advertise == "" {
		a.Advertise = a.Listen
	}
	c.Address("advertise", a.Advertise)
	c.OptionalIP("source-ip", a.SourceIP)
	if a.Metrics != "" {
		c.Address("metrics", a.Metrics)
	}
	c.Addresses("control", a.Control)
	c.Required("zone", a.Zone)
	a.validateUpstream(&c)
	settings.Positive(&c, "workers", a.Workers)
	settings.Positive(&c, "max-queued", a.MaxQueued)
	settings.Positive(&c, "max-fetch-bytes", a.MaxFetchBytes)
	settings.Positive(&c, "export-queue", a.ExportQueue)
	settings.Positive(&c, "exporters", a.Exporters)
	durations := map[string]time.Duration{
		"stale-set-limit": a.StaleSetLimit, "drain-limit": a.DrainLimit, "set-grace": a.SetGrace,
		"write-timeout": a.WriteTimeout, "service-timeout": a.ServiceTimeout,
		"store-ask-timeout": a.AskTimeout, "fetch-slack": a.FetchSlack,
	}
	for name, value := range durations {
		settings.Positive(&c, name, int64(value))
	}
	return c.Problems()
}

// validateUpstream checks that the agent stands beside exactly one engine or one service.
func (a *arguments) validateUpstream(c *settings.Checker) {
	switch {
	case a.Upstream == "" && a.Service == "":
		c.Fail("upstream", "either upstream or service must be set")
	case a.Upstream != "" && a.Service != "":
		c.Fail("service", "only one of upstream and service may be set")
	case a.Upstream != "":
		c.Address("engine", a.Engine)
		a.readPieceKey(c)
	default:
		c.Address("service-address", a.ServiceAddress)
	}
}

func (a *arguments) readPieceKey(c *settings.Checker) {
	if a.PieceKeyFile == "" {
		c.Fail("piece-key-file", "must be set")
		return
	}
	key, err := os.ReadFile(a.PieceKeyFile)
	switch {
	case err != nil:
		c.Fail("piece-key-file", "%s", err.Error())
	case len(key) != len(a.pieceKey):
		c.Fail("piece-key-file", "must hold exactly %d bytes, holds %d", len(a.pieceKey), len(key))
	default:
		copy(a.pieceKey[:], key)
	}
}

// serves is the name that the agent reports to control.
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
			AskTimeout: a.AskTimeout, FetchSlack: a.FetchSlack, MaxFetchBytes: a.MaxFetchBytes,
			ExportQueue: a.ExportQueue, Exporters: a.Exporters,
		},
	}
}
