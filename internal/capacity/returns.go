package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

const (
	// returningProcesses is the number of processes in one of 8 zones, out of 3,000.
	returningProcesses = 375
	// returnInterval spreads the registrations over 2.6 s. The registered processes send no second report, so the
	// measurement must end before they are declared dead after 3 s.
	returnInterval = 7 * time.Millisecond
)

// measureReturns measures the cost for the remaining processes when the processes of a lost zone register again. The
// returning processes only register; their reads are part of the measurement "control".
func measureReturns(ctx context.Context, o Options) ([]*Table, error) {
	results := &series{}
	for repeat := range o.Repeats {
		for _, count := range o.Watchers {
			if err := runReturns(ctx, o, repeat, count, results); err != nil {
				return nil, err
			}
			progress("returns: repeat %d, %d watchers", repeat, count)
		}
	}
	return []*Table{results.table(fmt.Sprintf("%d processes register, one each %s, 100 accounts in the set", returningProcesses, returnInterval), "watcher")}, nil
}

func runReturns(ctx context.Context, o Options, repeat, count int, results *series) error {
	ctx, cancel := context.WithTimeout(ctx, completeTimeout)
	defer cancel()
	g, err := startGroup(o.Dir, controlMembers)
	if err != nil {
		return err
	}
	defer func() { _ = g.close() }()
	r := &controlRun{group: g, watchers: newWatchers(ctx), options: o, set: newSet(15, 100), repeat: repeat, results: &series{}}
	defer r.watchers.close()
	if err := g.publish(ctx, r.set); err != nil {
		return err
	}
	if err := r.startProcesses(ctx, count); err != nil {
		return err
	}
	if err := r.measureIdleUse(ctx); err != nil {
		return err
	}
	r.results = results
	return r.measureZoneReturn(ctx)
}

// measureZoneReturn registers the processes and waits until all watchers have them. The idle use is subtracted.
func (r *controlRun) measureZoneReturn(ctx context.Context) error {
	updates := r.watchers.countUpdates(ctx)
	began, used, bytes := time.Now(), cpu(), r.group.traffic.total()
	if err := r.group.registerReturning(ctx); err != nil {
		return err
	}
	expected := len(r.watchers.list) + returningProcesses
	err := r.watchers.await(ctx, func(v controlclient.View) bool { return len(v.Processes) >= expected })
	if err != nil {
		return err
	}
	elapsed := time.Since(began).Seconds()
	r.add("time until all watchers know all, s", elapsed)
	r.add("membership updates to one watcher", float64(updates()))
	r.add("CPU, ms", 1000*((cpu()-used).Seconds()-r.idleCPU*elapsed))
	r.add("bytes", r.group.traffic.total()-bytes-r.idleBytes*elapsed)
	return nil
}

// registerReturning registers the returning processes with the members in turn.
func (g *group) registerReturning(ctx context.Context) error {
	pool := rpcpool.New(rpcpool.Options{})
	defer func() { _ = pool.Close() }()
	for number := range returningProcesses {
		if err := pause(ctx, returnInterval); err != nil {
			return err
		}
		request := registrationOf(number).Registrations[0]
		request.ProcessId = "returning-" + request.ProcessId
		if err := reportTo(ctx, pool, g.addresses[number%len(g.addresses)], request); err != nil {
			return err
		}
	}
	return nil
}

func reportTo(ctx context.Context, pool *rpcpool.Pool, address string, request *controlpb.PresenceRequest) error {
	conn := pool.Get(ctx, address)
	defer func() { _ = conn.Close() }()
	answer, err := controlpb.NewDRPCControlClient(conn).ReportPresence(ctx, request)
	if err == nil && answer.Failure != nil {
		err = controlclient.FromFailure(answer.Failure)
	}
	return err
}
