package capacity

import (
	"context"
	"fmt"
	"sync"

	"github.com/wasabishunt/wasabishunt/controlclient"
)

// watchers are real watchers of one control group, each registered as one process.
type watchers struct {
	list    []*controlclient.Watcher
	running sync.WaitGroup
	stop    context.CancelFunc
	ctx     context.Context
}

func newWatchers(ctx context.Context) *watchers {
	ctx, stop := context.WithCancel(ctx)
	return &watchers{ctx: ctx, stop: stop}
}

// start starts further watchers of the group.
func (w *watchers) start(g *group, count int) {
	for range count {
		id := fmt.Sprintf("process-%05d", len(w.list))
		watcher := controlclient.NewWatcher(controlclient.WatcherOptions{
			Addresses: g.addresses, ProcessID: id, Role: "agent", Zone: "zone-1",
			Address: "127.0.0.1:7000", Serves: "upstream-" + id,
		})
		w.list = append(w.list, watcher)
		w.running.Go(func() { watcher.Run(w.ctx) })
	}
}

// await returns once all watchers satisfy the condition.
func (w *watchers) await(ctx context.Context, ready func(controlclient.View) bool) error {
	for _, watcher := range w.list {
		for {
			changed := watcher.Changed()
			if ready(watcher.Current()) {
				break
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

// awaitComplete waits until all watchers have the version and the complete membership.
func (w *watchers) awaitComplete(ctx context.Context, version uint64) error {
	return w.await(ctx, func(v controlclient.View) bool {
		return v.Version >= version && len(v.Processes) >= len(w.list)
	})
}

// awaitVersion waits until all watchers have the version.
func (w *watchers) awaitVersion(ctx context.Context, version uint64) error {
	return w.await(ctx, func(v controlclient.View) bool { return v.Version >= version })
}

// countUpdates counts the membership updates that the first watcher applies until the returned function is called.
// Updates in quick succession may be counted as one.
func (w *watchers) countUpdates(ctx context.Context) func() int {
	ctx, stop := context.WithCancel(ctx)
	done := make(chan int)
	go func() { done <- countRevisions(ctx, w.list[0]) }()
	return func() int {
		stop()
		return <-done
	}
}

func countRevisions(ctx context.Context, watcher *controlclient.Watcher) (count int) {
	last := watcher.Current().Revision
	for {
		changed := watcher.Changed()
		if revision := watcher.Current().Revision; revision != last {
			last = revision
			count++
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return count
		}
	}
}

// close stops the watchers.
func (w *watchers) close() {
	w.stop()
	w.running.Wait()
}
