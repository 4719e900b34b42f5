// Command wasabishunt-control runs one control member.
package main

import (
	"context"
	"net"
	"os"
	"strconv"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/control"
	"github.com/wasabishunt/wasabishunt/control/member"
	"github.com/wasabishunt/wasabishunt/daemon"
	"github.com/wasabishunt/wasabishunt/logging"
	"github.com/wasabishunt/wasabishunt/replica"
	"github.com/wasabishunt/wasabishunt/upstream/vmlist"
)

func main() {
	os.Exit(daemon.Main("wasabishunt-control", &arguments{}, wire, serve))
}

func serve(ctx context.Context, i do.Injector, args *arguments) error {
	log := do.MustInvoke[*zap.Logger](i)
	controlMember, err := do.Invoke[*member.Member](i)
	if err != nil {
		return err
	}
	log.Info("listening", zap.String("address", args.Listen), zap.String("status", args.Status))
	return controlMember.Run(ctx)
}

// listeners are the sockets of a control member. They are opened before the replica, so that a port in use is reported
// before the replicated log is opened.
type listeners struct{ rpc, status net.Listener }

// wire registers the constructors of the process's components.
func wire(args *arguments) do.Injector {
	i := do.New()
	do.ProvideValue(i, args)
	do.ProvideValue(i, logging.New("control", strconv.FormatUint(args.MemberID, 10), args.LogLevel))
	do.Provide(i, func(do.Injector) (gometrics.Registry, error) { return gometrics.NewRegistry(), nil })
	do.Provide(i, listen)
	do.Provide(i, open)
	return i
}

func listen(i do.Injector) (*listeners, error) {
	args := do.MustInvoke[*arguments](i)
	rpc, err := net.Listen("tcp", args.Listen)
	if err != nil {
		return nil, err
	}
	status, err := net.Listen("tcp", args.Status)
	if err != nil {
		_ = rpc.Close()
		return nil, err
	}
	return &listeners{rpc, status}, nil
}

func open(i do.Injector) (*member.Member, error) {
	args := do.MustInvoke[*arguments](i)
	log := do.MustInvoke[*zap.Logger](i)
	registry := do.MustInvoke[gometrics.Registry](i)
	ports, err := do.Invoke[*listeners](i)
	if err != nil {
		return nil, err
	}
	return member.Open(member.Options{
		Replica: replica.Options{
			ID: args.MemberID, Group: args.Group, Address: args.Advertise, Dir: args.DataDir, SourceIP: args.SourceIP,
			Bootstrap: args.members, SnapshotEvery: args.SnapshotEvery, Logger: log, Metrics: registry,
		},
		Control:  args.control(log, registry),
		Listener: ports.rpc, Status: ports.status, Log: log, Metrics: registry,
	})
}

func (a *arguments) control(log *zap.Logger, registry gometrics.Registry) control.Options {
	options := control.Options{
		MemberID: a.MemberID, SourceIP: a.SourceIP, CallTimeout: a.CallTimeout, Operators: a.operators, OperatorsFile: a.OperatorsFile, VMListInterval: a.VMListInterval,
		BookingRetention: a.BookingRetention, DeadAfter: a.DeadAfter,
		MaxWatchers: a.MaxWatchers, MaxPending: a.MaxPending, Log: log, Metrics: registry,
	}
	if a.VMListURL != "" {
		options.VMList = vmlist.NewReader(a.VMListURL, 0)
	}
	return options
}
