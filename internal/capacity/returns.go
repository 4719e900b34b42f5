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
	// returning is one of 8 zones of 3,000 processes.
	returning = 375
	// returnInterval spreads the registrations over 2.6 s. The registered processes send no second report, so the
	// measurement must end before they are declared dead after 3 s.
	returnInterval = 7 * time.Millisecond
)

// measureReturns measures what the registrations of a zone that comes back cost the processes that stayed. The
// returning processes only register: their own reads are measured with "control".
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
	return []*Table{results.table(fmt.Sprintf("%d processes register, one each %s, 100 accounts in the set", returning, returnInterval), "watcher")}, nil
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
	if err := r.rest(ctx); err != nil {
		return err
	}
	r.results = results
	return r.zoneReturns(ctx)
}

// zoneReturns registers the processes and waits until all watchers know them. The use at rest is taken off.
func (r *controlRun) zoneReturns(ctx context.Context) error {
	updates := r.watchers.countUpdates(ctx)
	began, used, bytes := time.Now(), cpu(), r.group.traffic.total()
	if err := r.group.register(ctx); err != nil {
		return err
	}
	expected := len(r.watchers.list) + returning
	err := r.watchers.await(ctx, func(v controlclient.View) bool { return len(v.Processes) >= expected })
	if err != nil {
		return err
	}
	elapsed := time.Since(began).Seconds()
	r.add("time until all watchers know all, s", elapsed)
	r.add("membership updates to one watcher", float64(updates()))
	r.add("CPU, ms", 1000*((cpu()-used).Seconds()-r.restCPU*elapsed))
	r.add("bytes", r.group.traffic.total()-bytes-r.restBytes*elapsed)
	return nil
}

// register reports the returning processes to the members in turn.
func (g *group) register(ctx context.Context) error {
	pool := rpcpool.New(rpcpool.Options{})
	defer func() { _ = pool.Close() }()
	for number := range returning {
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
