// Package daemon holds what the main functions of all programs share: settings, signals and exit codes.
package daemon

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/settings"
)

// DrainFlag is set once the process is stopping.
type DrainFlag struct{ atomic.Bool }

// Main parses the settings of a program and serves until SIGINT or SIGTERM. It returns the exit code. The injector
// that wire returns must provide a *zap.Logger.
func Main[A settings.Validator](program string, args A, wire func(A) do.Injector, serve func(context.Context, do.Injector, A) error) int {
	if ok, code := settings.Parse(args, program, os.Args[1:], os.Stdout, os.Stderr); !ok {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	injector := wire(args)
	log := do.MustInvoke[*zap.Logger](injector)
	if err := serve(ctx, injector, args); err != nil {
		log.Error("process failed", zap.Error(err))
		return 1
	}
	return 0
}
