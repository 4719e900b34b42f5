package controlclient

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/supervise"
)

const (
	// silenceLimit is the time without a confirmation of the set, and without a byte on any stream, after which another member is
	// watched as well. It is far above a round trip and leaves time for two silent members within half a second.
	silenceLimit = 200 * time.Millisecond
	// maxAssistants limits the members watched beside that of the session: with seven voters, two silent ones beside a silent one of
	// the session leave the third. On a slow link each one adds a copy of the set.
	maxAssistants = 3
	// assistCheckInterval is the time between checks of the progress of the streams.
	assistCheckInterval = 25 * time.Millisecond
	// assistRetryDelay is the time for which a member whose stream ended is not asked again.
	assistRetryDelay = 500 * time.Millisecond
)

// assistants are the watch streams to other members beside the session. They only read: reports to several members would
// register the process at each of them in turn. Only run uses them.
type assistants struct {
	watcher *Watcher
	active  map[*watchedMember]struct{}
	ended   chan *watchedMember
	// retryAt is when a member whose stream ended may be asked again.
	retryAt map[string]time.Time
	tasks   sync.WaitGroup
}

// watchedMember is a member to which a watch stream is open or being opened.
type watchedMember struct {
	address string
	conn    atomic.Pointer[rpcpool.IdleConn]
	// bytes is the number of bytes that had arrived at progressAt, the time of the last progress. Only assistants.run uses them.
	bytes      int64
	progressAt time.Time
}

func (m *watchedMember) received() int64 {
	if conn := m.conn.Load(); conn != nil {
		return conn.Received()
	}
	return 0
}

// isSilent reports whether nothing has arrived for silenceLimit.
func (m *watchedMember) isSilent(now time.Time) bool {
	if bytes := m.received(); bytes > m.bytes || m.progressAt.IsZero() {
		m.bytes, m.progressAt = bytes, now
	}
	return now.Sub(m.progressAt) >= silenceLimit
}

// assist takes the set from other members whenever the session doesn't confirm it in time, until the context ends.
func (w *Watcher) assist(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.doubted:
			w.assistUntilConfirmed(ctx)
		}
	}
}

func (w *Watcher) assistUntilConfirmed(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	a := &assistants{watcher: w, active: map[*watchedMember]struct{}{}, ended: make(chan *watchedMember), retryAt: map[string]time.Time{}}
	defer a.tasks.Wait()
	defer cancel()
	defer w.answering.Store(nil)
	ticker := time.NewTicker(assistCheckInterval)
	defer ticker.Stop()
	for {
		since := w.unconfirmedSince()
		if since.IsZero() {
			return
		}
		if now := time.Now(); a.mayBegin(now, since) {
			a.begin(ctx, now, now.Sub(since))
		}
		select {
		case <-ctx.Done():
			return
		case ended := <-a.ended:
			delete(a.active, ended)
			w.answering.CompareAndSwap(ended, nil)
			a.retryAt[ended.address] = time.Now().Add(assistRetryDelay)
		case <-ticker.C:
		}
	}
}

// mayBegin reports whether another member may be watched: the set is unconfirmed for silenceLimit, and nothing arrives on any stream.
// A stream on which a set arrives goes on, because another one would begin the transfer anew.
func (a *assistants) mayBegin(now, since time.Time) bool {
	silent := now.Sub(since) >= silenceLimit
	if session := a.watcher.session.Load(); session != nil {
		silent = session.isSilent(now) && silent
	}
	for active := range a.active {
		silent = active.isSilent(now) && silent
		if active.bytes > 0 {
			a.watcher.answering.Store(active)
		}
	}
	return silent && len(a.active) < maxAssistants
}

// begin watches the next member that is not watched yet.
func (a *assistants) begin(ctx context.Context, now time.Time, unconfirmed time.Duration) {
	address, sessionAddress := a.next(now)
	if address == "" {
		return
	}
	w := a.watcher
	w.options.Log.Info("another control member watched", zap.String("member", sessionAddress), zap.String("other", address), zap.Duration("unconfirmed", unconfirmed))
	ctx, cancel := context.WithCancel(ctx)
	added := &watchedMember{address: address, progressAt: now}
	a.active[added] = struct{}{}
	a.tasks.Go(func() {
		defer cancel()
		_ = supervise.Call(w.options.Log, "watch of another control member", func() { w.watchBeside(ctx, added) })
		select {
		case a.ended <- added:
		case <-ctx.Done():
		}
	})
}

// next returns the member to watch next, and that of the session.
func (a *assistants) next(now time.Time) (address, sessionAddress string) {
	used := map[string]bool{}
	if session := a.watcher.session.Load(); session != nil {
		sessionAddress = session.address
		used[sessionAddress] = true
	}
	for active := range a.active {
		used[active.address] = true
	}
	for _, candidate := range a.watcher.directory.watchOrder(a.watcher.options.ProcessID) {
		if !used[candidate] && !now.Before(a.retryAt[candidate]) {
			return candidate, sessionAddress
		}
	}
	return "", sessionAddress
}

// watchBeside applies what another member sends, until its stream fails or the context ends.
func (w *Watcher) watchBeside(ctx context.Context, m *watchedMember) {
	conn, err := w.dialStream(ctx, m.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	m.conn.Store(conn)
	_ = w.watchStream(ctx, conn)
}
