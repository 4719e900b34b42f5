// Command wasabishunt-standin runs a stand-in for one component of the platform: an engine, a plain service, the VM list
// or the weight store.
package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/logging"
	"github.com/wasabishunt/wasabishunt/settings"
)

// options of the command line; exactly one subcommand is required.
type options struct {
	Engine  *engineOptions  `arg:"subcommand:engine" help:"model engine"`
	Service *serviceOptions `arg:"subcommand:service" help:"plain service"`
	VMList  *vmlistOptions  `arg:"subcommand:vmlist" help:"lagging list of live and leaving VMs"`
	Weights *weightsOptions `arg:"subcommand:weights" help:"rate-limited weight store"`

	Listen string `arg:"--listen,env:LISTEN" default:"127.0.0.1:0" help:"IP address and port to listen on"`
}

// simulator is the stand-in for one component.
type simulator interface {
	Validate(c *settings.Checker)
	// Build returns the handler, a name for the log, and a function that ends the stand-in's goroutines.
	Build() (handler http.Handler, name string, closeSimulator func())
}

func (o *options) simulator() simulator {
	switch {
	case o.Engine != nil:
		return o.Engine
	case o.Service != nil:
		return o.Service
	case o.VMList != nil:
		return o.VMList
	case o.Weights != nil:
		return o.Weights
	default:
		return nil
	}
}

// Validate returns all problems of the settings.
func (o *options) Validate() []failure.Problem {
	var c settings.Checker
	c.Address("--listen", o.Listen)
	if s := o.simulator(); s != nil {
		s.Validate(&c)
	} else {
		c.AddProblem("subcommand", "must be set")
	}
	return c.Problems()
}

func main() { os.Exit(run()) }

func run() int {
	var o options
	ok, code := settings.Parse(&o, "wasabishunt-standin", os.Args[1:], os.Stdout, os.Stderr)
	if !ok {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	handler, name, closeSimulator := o.simulator().Build()
	log := logging.New("standin", name, zapcore.InfoLevel)
	if err := serve(ctx, o.Listen, handler, closeSimulator, log); err != nil {
		log.Error("process failed", zap.Error(err))
		return 1
	}
	return 0
}
