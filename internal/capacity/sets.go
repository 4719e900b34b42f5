package capacity

import (
	"context"
	"fmt"
	"maps"
	"runtime"
	"time"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/routing"
)

// patchRounds is the number of timed repeats of a change.
const patchRounds = 200

// processCounts are the sizes of a membership table.
var processCounts = []int{100, 1000, 3000}

// measureSets measures one process's copy of the set, a change of one account, an entry's routing index and the membership
// table.
func measureSets(_ context.Context, o Options) ([]*Table, error) {
	accounts, upstreams, index, processes := &series{}, &series{}, &series{}, &series{}
	for repeat := range o.Repeats {
		for _, count := range o.Accounts {
			if err := measureSet(accounts, repeat, count, newSet(15, count)); err != nil {
				return nil, err
			}
		}
		for _, count := range o.Upstreams {
			set := newSet(count, 100)
			if err := measureSet(upstreams, repeat, count, set); err != nil {
				return nil, err
			}
			measureIndex(index, repeat, count, set)
		}
		for _, count := range processCounts {
			measureProcesses(processes, repeat, count)
		}
		progress("sets: repeat %d", repeat)
	}
	return []*Table{
		accounts.table("Set copy in one process, by accounts (15 upstreams)", "account"),
		upstreams.table("Set copy in one process, by upstreams (100 accounts)", "upstream"),
		index.table("Routing index of an entry, all upstreams of one model", "upstream"),
		processes.table("Membership table of one process; a change copies it", "process"),
	}, nil
}

func measureSet(results *series, repeat, size int, set *objectset.Set) error {
	document := set.Canonical()
	before, used := memory(), cpu()
	copied, err := objectset.FromCanonical(document)
	if err != nil {
		return err
	}
	results.add(repeat, "read a whole set: CPU ms", size, 1000*(cpu()-used).Seconds())
	results.add(repeat, "memory, bytes", size, memory()-before)
	results.add(repeat, "document, bytes", size, float64(len(document)))
	changed := *copied
	changed.Accounts = append([]objectset.Account(nil), copied.Accounts...)
	changed.Accounts[len(changed.Accounts)/2].Weight = 2
	changes := objectset.Diff(copied, &changed)
	if len(changes) != 1 {
		return measurementError("%d changes instead of 1", len(changes))
	}
	allocated, used := allocations(), cpu()
	for range patchRounds {
		if _, err := objectset.Patch(copied, changes); err != nil {
			return err
		}
	}
	results.add(repeat, "apply one change: CPU us", size, 1e6*(cpu()-used).Seconds()/patchRounds)
	results.add(repeat, "apply one change: allocated bytes", size, (allocations()-allocated)/patchRounds)
	runtime.KeepAlive(set)
	runtime.KeepAlive(document)
	return nil
}

func measureIndex(results *series, repeat, size int, set *objectset.Set) {
	states := map[string]controlclient.ProcessState{}
	for _, upstream := range set.Upstreams {
		states[upstream.Name] = controlclient.Live
	}
	before, began := memory(), time.Now()
	index := routing.BuildIndex(set, states, nil, nil)
	results.add(repeat, "build: wall clock us", size, 1e6*time.Since(began).Seconds())
	results.add(repeat, "memory, bytes", size, memory()-before)
	states[set.Upstreams[0].Name] = controlclient.Leaving
	began = time.Now()
	next := routing.BuildIndex(set, states, nil, index)
	results.add(repeat, "rebuild after one upstream leaves: wall clock us", size, 1e6*time.Since(began).Seconds())
	runtime.KeepAlive(next)
	runtime.KeepAlive(index)
}

func measureProcesses(results *series, repeat, size int) {
	before := memory()
	processes := make(map[string]controlclient.Process, size)
	for i := range size {
		id := fmt.Sprintf("process-%05d", i)
		processes[id] = controlclient.Process{
			ID: id, Role: string([]byte("agent")), Address: fmt.Sprintf("127.0.0.1:%d", i), Zone: string([]byte("zone-1")),
			Serves: "upstream-" + id, Epoch: uint64(i), State: controlclient.Live,
		}
	}
	results.add(repeat, "memory, bytes", size, memory()-before)
	allocated, used := allocations(), cpu()
	for range patchRounds {
		processes = maps.Clone(processes)
	}
	results.add(repeat, "copy: CPU us", size, 1e6*(cpu()-used).Seconds()/patchRounds)
	results.add(repeat, "copy: allocated bytes", size, (allocations()-allocated)/patchRounds)
	runtime.KeepAlive(processes)
}

// allocations returns the bytes allocated since the process started.
func allocations() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.TotalAlloc)
}
