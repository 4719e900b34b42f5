// Command wasabishunt-node runs a node of the users' platform: an entry, and with a state disk also a core member.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/wasabishunt/wasabishunt/coregroup"
	"github.com/wasabishunt/wasabishunt/logging"
	"github.com/wasabishunt/wasabishunt/metrics"
	"github.com/wasabishunt/wasabishunt/node"
	"github.com/wasabishunt/wasabishunt/platform"
)

type arguments struct {
	LogLevel zapcore.Level `arg:"--log-level,env:WASABISHUNT_NODE_LOG_LEVEL" default:"info" help:"debug, info, warn or error"`
	Metrics  string        `arg:"--metrics,env:WASABISHUNT_NODE_METRICS" default:":9464" help:"address of /metrics, empty for none"`
	Internal string        `arg:"--internal-listen,env:WASABISHUNT_NODE_INTERNAL_LISTEN" help:"address to listen on for other nodes where it differs from the one that they call, as behind a relay"`
	// Limits of an upstream's response; a faulty upstream may exceed them.
	MaxHeadBytes   int64 `arg:"--max-head-bytes,env:WASABISHUNT_NODE_MAX_HEAD_BYTES" default:"65536" help:"largest head of an upstream's answer (bytes)"`
	MaxAnswerBytes int64 `arg:"--max-answer-bytes,env:WASABISHUNT_NODE_MAX_ANSWER_BYTES" default:"4194304" help:"largest answer of an upstream that is not a stream (bytes)"`
	MaxEventBytes  int   `arg:"--max-event-bytes,env:WASABISHUNT_NODE_MAX_EVENT_BYTES" default:"262144" help:"largest event of a stream (bytes)"`
}

// validate returns an error that names the first invalid argument found.
func (a *arguments) validate() error {
	for name, value := range map[string]int64{
		"--max-head-bytes": a.MaxHeadBytes, "--max-answer-bytes": a.MaxAnswerBytes, "--max-event-bytes": int64(a.MaxEventBytes),
	} {
		if value <= 0 {
			return &platform.SettingsError{Field: name, Problem: "must be positive"}
		}
	}
	return nil
}

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	var args arguments
	arg.MustParse(&args)
	settings, err := platform.ReadSettings()
	if err == nil {
		err = args.validate()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if err := run(args, settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func run(args arguments, settings platform.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	sink := logging.NewSink(os.Stdout, logging.DefaultQueue)
	defer sink.Close()
	settings.Node.InternalListen = args.Internal
	settings.Node.UpstreamLimits = node.UpstreamLimits{HeadBytes: args.MaxHeadBytes, AnswerBytes: args.MaxAnswerBytes, EventBytes: args.MaxEventBytes}
	injector := wire(args, settings, sink)
	log := do.MustInvoke[*zap.Logger](injector)
	process, err := do.Invoke[*node.Node](injector)
	if err != nil {
		return err
	}
	go reload(ctx, hangup, process, log)
	if args.Metrics != "" {
		serveMetrics(args.Metrics, do.MustInvoke[gometrics.Registry](injector), log)
	}
	return process.Run(ctx)
}

// wire registers the constructors of the process's components.
func wire(args arguments, settings platform.Settings, sink *logging.Sink) do.Injector {
	i := do.New()
	do.ProvideValue(i, settings)
	do.ProvideValue(i, logging.NewWithSink(sink, "node", settings.Node.Name, args.LogLevel))
	do.ProvideValue[gometrics.Registry](i, gometrics.NewRegistry())
	do.Provide(i, provideNode)
	return i
}

func provideNode(i do.Injector) (*node.Node, error) {
	settings := do.MustInvoke[platform.Settings](i)
	log := do.MustInvoke[*zap.Logger](i)
	parts := node.Parts{
		Dialect:   platform.Dialect{},
		Lister:    &platform.InstanceList{Address: settings.ListAddress, Client: platform.NewClient()},
		Stores:    &platform.StoreClient{Client: platform.NewClient()},
		Engines:   &platform.EngineClient{Client: platform.NewClient()},
		DecodeSet: platform.DecodeSet,
	}
	if settings.ControlListen != "" {
		listener, err := net.Listen("tcp", settings.ControlListen)
		if err != nil {
			return nil, err
		}
		parts.Operators = func(group *coregroup.Group, setEvacuation func(ctx context.Context, zone string, evacuated bool) error) (*http.Server, net.Listener) {
			operator := &platform.Operator{Group: group, SetEvacuation: setEvacuation, ControlPort: settings.ControlPort, Log: log}
			return operator.Server(), listener
		}
	}
	return node.New(settings.Node, parts, log, do.MustInvoke[gometrics.Registry](i)), nil
}

// settingsInterval is the time between reads of the settings file, which may change without a SIGHUP.
const settingsInterval = 5 * time.Second

// reload reads the settings at each SIGHUP and each settingsInterval, and applies changed seeds.
func reload(ctx context.Context, hangup <-chan os.Signal, process *node.Node, log *zap.Logger) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signaled = true
		case <-ticker.C:
		}
		settings, err := platform.ReadSettings()
		if err != nil {
			log.Error("changed settings cannot be used", zap.Error(err))
			continue
		}
		process.SetZones(settings.Node.Zones)
		if signaled || !slices.Equal(settings.Node.Seeds, process.Seeds()) {
			process.SetSeeds(settings.Node.Seeds)
			log.Info("settings read again", zap.Strings("seeds", settings.Node.Seeds))
		}
	}
}

func serveMetrics(address string, registry gometrics.Registry, log *zap.Logger) {
	server := &http.Server{Addr: address, Handler: metrics.Handler(registry)}
	go func() {
		if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
			log.Warn("metrics are not served", zap.String("address", address), zap.Error(err))
		}
	}()
}
