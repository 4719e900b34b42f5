package controlclient

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/supervise"
)

// Run watches control until the context ends or a newer incarnation fences this one. It returns after its goroutines
// have ended.
func (w *Watcher) Run(ctx context.Context) {
	defer func() { _ = w.client.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { supervise.Loop(ctx, w.options.Log, "watch of other control members", func() { w.assist(ctx) }) })
	tasks.Go(func() { supervise.Loop(ctx, w.options.Log, "members of control", func() { w.followMembers(ctx) }) })
	reconnects := newReconnects()
	w.beginPass(ctx, reconnects)
	for ctx.Err() == nil {
		address, wait := reconnects.next(w.sessionOrder(), time.Now())
		if address == "" {
			sleep(ctx, max(wait, minReconnectDelay))
			w.beginPass(ctx, reconnects)
			continue
		}
		started := time.Now()
		answered := w.runSession(ctx, address)
		if ctx.Err() != nil || w.Fenced() {
			return
		}
		w.directory.markUnresponsive(address)
		now := time.Now()
		sleep(ctx, reconnects.ended(address, now.Sub(started), answered, now))
	}
}

// beginPass refreshes the members if that is due, and makes them eligible again.
func (w *Watcher) beginPass(ctx context.Context, r *reconnects) {
	if time.Now().Before(r.refreshAt) {
		r.beginPass(nil)
		return
	}
	silent, responded := w.refreshMembers(ctx)
	r.refreshed(responded, time.Now())
	r.beginPass(silent)
}

// sessionOrder returns the members in the order in which sessions try them: a member that is known to answer first. A process behind two
// silent members would have no time left for the third one before its set is stale.
func (w *Watcher) sessionOrder() []string {
	order := w.directory.watchOrder(w.options.ProcessID)
	if m := w.answering.Load(); m != nil {
		order = append([]string{m.address}, order...)
	}
	return order
}

// refreshMembers updates the members and the leader from the first member that responds. It returns the members that were asked before
// and did not respond, and whether any responded. Each of these delays it by silenceLimit only.
func (w *Watcher) refreshMembers(ctx context.Context) (silent []string, responded bool) {
	ctx, cancel := context.WithCancel(ctx)
	var asking sync.WaitGroup
	defer asking.Wait()
	defer cancel()
	order := w.directory.watchOrder(w.options.ProcessID)
	type result struct {
		address string
		err     error
	}
	results := make(chan result, len(order))
	patience := time.NewTicker(silenceLimit)
	defer patience.Stop()
	asked := 0
	for responses := 0; responses < len(order); {
		if asked < len(order) {
			address := order[asked]
			asked++
			asking.Go(func() {
				_, err := w.client.StatusOf(ctx, address, true)
				results <- result{address, err}
			})
		}
		select {
		case <-ctx.Done():
			return nil, false
		case r := <-results:
			if r.err == nil {
				return slices.DeleteFunc(order[:asked], func(address string) bool { return address == r.address }), true
			}
			responses++
		case <-patience.C:
		}
	}
	return nil, false
}

// followMembers refreshes the members now and then until the context ends. Else a process whose session lasts while all members are
// replaced knows none of the new ones when it ends. It asks the member of the session, because a removed one may name an old group.
func (w *Watcher) followMembers(ctx context.Context) {
	ticker := time.NewTicker(w.options.MembersInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if session := w.session.Load(); session != nil && w.unconfirmedSince().IsZero() {
				_, _ = w.client.StatusOf(ctx, session.address, true)
			}
		}
	}
}
