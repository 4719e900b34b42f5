package capacity

import (
	"context"
	"time"

	"github.com/wasabishunt/wasabishunt/objectset"
)

const (
	// changesPerSize is the number of changes published at each size.
	changesPerSize = 5
	// controlMembers is the size of the control group that is watched.
	controlMembers = 3
	// completeTimeout limits the wait until all watchers have the set and the complete membership.
	completeTimeout = 2 * time.Minute
)

// controlRun is one repeat with one number of accounts.
type controlRun struct {
	group    *group
	watchers *watchers
	options  Options
	set      *objectset.Set
	repeat   int
	results  *series
	// idleCPU is the processor time and idleBytes the traffic in bytes, both per second without changes.
	idleCPU, idleBytes float64
}

// measureControl measures idle watchers, one change, and starting processes.
func measureControl(ctx context.Context, o Options) ([]*Table, error) {
	var tables []*Table
	for _, accounts := range o.Accounts {
		results := &series{}
		for repeat := range o.Repeats {
			if err := runControl(ctx, o, accounts, repeat, results); err != nil {
				return tables, err
			}
		}
		title := "Control group of 3 members and its watchers, " + plural(accounts, "account") + " and 15 upstreams in the set"
		tables = append(tables, results.table(title, "watcher"))
	}
	return tables, nil
}

// measureIdle measures groups without watchers.
func measureIdle(ctx context.Context, o Options) ([]*Table, error) {
	results := &series{}
	for repeat := range o.Repeats {
		for _, members := range []int{3, 5, 7} {
			if err := runIdle(ctx, o, repeat, members, results); err != nil {
				return nil, err
			}
		}
		progress("idle: repeat %d", repeat)
	}
	return []*Table{results.table("Control group without watchers, 100 accounts in the set", "member")}, nil
}

func runIdle(ctx context.Context, o Options, repeat, members int, results *series) error {
	before := memory()
	g, err := startGroup(o.Dir, members)
	if err != nil {
		return err
	}
	defer func() { _ = g.close() }()
	if err := g.publish(ctx, newSet(15, 100)); err != nil {
		return err
	}
	results.add(repeat, "live memory of the group, MB", members, (memory()-before)/1e6)
	began, used, bytes := time.Now(), cpu(), g.traffic.total()
	if err := pause(ctx, o.Rest); err != nil {
		return err
	}
	elapsed := time.Since(began).Seconds()
	results.add(repeat, "CPU of the group, ms per s", members, 1000*(cpu()-used).Seconds()/elapsed)
	results.add(repeat, "bytes/s between members", members, (g.traffic.total()-bytes)/elapsed)
	return nil
}

func runControl(ctx context.Context, o Options, accounts, repeat int, results *series) error {
	g, err := startGroup(o.Dir, controlMembers)
	if err != nil {
		return err
	}
	defer func() { _ = g.close() }()
	r := &controlRun{group: g, watchers: newWatchers(ctx), options: o, set: newSet(15, accounts), repeat: repeat, results: results}
	defer r.watchers.close()
	if err := g.publish(ctx, r.set); err != nil {
		return err
	}
	for _, count := range o.Watchers {
		if err := r.measureAtSize(ctx, count); err != nil {
			return err
		}
		progress("control: repeat %d, %d accounts, %d watchers", repeat, accounts, count)
	}
	return nil
}

func (r *controlRun) measureAtSize(ctx context.Context, count int) error {
	ctx, cancel := context.WithTimeout(ctx, completeTimeout)
	defer cancel()
	if err := r.startProcesses(ctx, count-len(r.watchers.list)); err != nil {
		return err
	}
	if err := r.measureIdleUse(ctx); err != nil {
		return err
	}
	if err := r.measureChanges(ctx); err != nil {
		return err
	}
	return r.measureStart(ctx)
}

// add records a value at the current number of watchers.
func (r *controlRun) add(name string, value float64) {
	r.results.add(r.repeat, name, len(r.watchers.list), value)
}

// startProcesses starts many processes at once, as after the loss of a zone.
func (r *controlRun) startProcesses(ctx context.Context, count int) error {
	began, used, bytes := time.Now(), cpu(), r.group.traffic.total()
	r.watchers.start(r.group, count)
	if err := r.watchers.awaitComplete(ctx, r.group.version); err != nil {
		return err
	}
	started := float64(count)
	r.add("all new processes started together: time until each has the set and knows all, s", time.Since(began).Seconds())
	r.add("the same: CPU per new process, ms", 1000*(cpu()-used).Seconds()/started)
	r.add("the same: bytes per new process, kB", (r.group.traffic.total()-bytes)/started/1000)
	return nil
}

// measureIdleUse measures the use while nothing changes.
func (r *controlRun) measureIdleUse(ctx context.Context) error {
	r.add("live memory of group and watchers, MB", memory()/1e6)
	began, used, bytes := time.Now(), cpu(), r.group.traffic.total()
	if err := pause(ctx, r.options.Rest); err != nil {
		return err
	}
	elapsed := time.Since(began).Seconds()
	r.idleCPU = (cpu() - used).Seconds() / elapsed
	r.add("at rest: CPU, ms per s", 1000*r.idleCPU)
	r.idleBytes = (r.group.traffic.total() - bytes) / elapsed
	r.add("at rest: bytes/s", r.idleBytes)
	return nil
}

// measureChanges publishes changes of one account each. The idle use is subtracted.
func (r *controlRun) measureChanges(ctx context.Context) error {
	began, used, bytes := time.Now(), cpu(), r.group.traffic.total()
	var slowest time.Duration
	for range changesPerSize {
		published := time.Now()
		r.set.Accounts[len(r.set.Accounts)/2].Weight++
		if err := r.group.publish(ctx, r.set); err != nil {
			return err
		}
		if err := r.watchers.awaitVersion(ctx, r.group.version); err != nil {
			return err
		}
		slowest = max(slowest, time.Since(published))
	}
	elapsed := time.Since(began).Seconds()
	r.add("slowest of 5 changes: publish to in force on all, ms", 1000*slowest.Seconds())
	r.add("one change: CPU, ms", 1000*((cpu()-used).Seconds()-r.idleCPU*elapsed)/changesPerSize)
	r.add("one change: bytes", (r.group.traffic.total()-bytes-r.idleBytes*elapsed)/changesPerSize)
	return nil
}

// measureStart starts one more process while the others watch; it remains as one of the watchers.
func (r *controlRun) measureStart(ctx context.Context) error {
	size := len(r.watchers.list)
	began, used, bytes := time.Now(), cpu(), r.group.traffic.total()
	r.watchers.start(r.group, 1)
	if err := r.watchers.awaitComplete(ctx, r.group.version); err != nil {
		return err
	}
	elapsed := time.Since(began).Seconds()
	add := func(name string, value float64) { r.results.add(r.repeat, name, size, value) }
	add("one process starts: time until all know it, ms", 1000*elapsed)
	add("one process starts: CPU, ms", 1000*((cpu()-used).Seconds()-r.idleCPU*elapsed))
	add("one process starts: kB", (r.group.traffic.total()-bytes-r.idleBytes*elapsed)/1000)
	return nil
}
