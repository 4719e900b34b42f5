package fleetview

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
	// silenceLimit is the time without a byte after which another core member is asked beside the silent one. It is half of
	// minStallLimit: waiting for the end of each transfer, a node behind two stalled members was 1.6 s late.
	silenceLimit = minStallLimit / 2
	// maxTransfers limits concurrent transfers. On a link with a long queue each one adds a copy of the set.
	maxTransfers = 3
	// transferCheckInterval is the time between checks of the progress of transfers.
	transferCheckInterval = 25 * time.Millisecond
)

// transfers are the fetches in progress. Only setFetcher.run uses them.
type transfers struct {
	fetcher *setFetcher
	active  map[*transfer]struct{}
	ended   chan *transfer
	tasks   sync.WaitGroup
}

// transfer is one fetch of a set from a core member.
type transfer struct {
	address string
	have    uint64
	begun   time.Time
	cancel  context.CancelFunc
	conn    atomic.Pointer[rpcpool.IdleConn]
	// bytes is the number of bytes that had arrived at progressAt, the time of the last progress.
	bytes      int64
	progressAt time.Time
	// set and err are the outcome, valid once the transfer is sent to ended.
	set PublishedSet
	err error
}

func newTransfers(f *setFetcher) *transfers {
	return &transfers{fetcher: f, active: map[*transfer]struct{}{}, ended: make(chan *transfer)}
}

// received returns the number of bytes that have arrived.
func (t *transfer) received() int64 {
	if conn := t.conn.Load(); conn != nil {
		return conn.Received()
	}
	return 0
}

// mayBegin reports whether a transfer may begin: none is in progress, or nothing arrives on any of them.
func (t *transfers) mayBegin(now time.Time) bool {
	for active := range t.active {
		if now.Sub(active.progressAt) < silenceLimit {
			return false
		}
	}
	return len(t.active) < maxTransfers
}

// begin starts a transfer.
func (t *transfers) begin(ctx context.Context, address string, have PublishedSet, stallLimit time.Duration) {
	f, now := t.fetcher, time.Now()
	for silent := range t.active {
		f.watcher.Log.Info("the transfer of a published set is silent", zap.String("address", silent.address), zap.Uint64("have_version", have.Version),
			zap.Int64("received_bytes", silent.bytes), zap.Duration("after", now.Sub(silent.begun)), zap.String("other", address))
	}
	fetchCtx, cancel := context.WithCancel(ctx)
	added := &transfer{address: address, have: have.Version, begun: now, progressAt: now, cancel: cancel}
	t.active[added] = struct{}{}
	f.begin(address)
	t.tasks.Go(func() {
		defer cancel()
		panicked := supervise.Call(f.watcher.Log, "transfer of a set", func() {
			added.set, added.err = f.fetch(fetchCtx, address, have, stallLimit, &added.conn)
		})
		if panicked != nil {
			added.err = panicked
		}
		select {
		case t.ended <- added:
		case <-fetchCtx.Done():
		}
	})
}

// await waits until a transfer ends, for transferCheckInterval at most.
func (t *transfers) await(ctx context.Context) {
	timer := time.NewTimer(transferCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case ended := <-t.ended:
		t.finish(ctx, ended)
	case <-timer.C:
		t.recordProgress(time.Now())
	}
}

// recordProgress ends the silent transfers once another one progresses, so that the rest of the set crosses the link once.
func (t *transfers) recordProgress(now time.Time) {
	var progressing *transfer
	for active := range t.active {
		if bytes := active.received(); bytes > active.bytes {
			active.bytes, active.progressAt = bytes, now
			if progressing == nil || bytes > progressing.bytes {
				progressing = active
			}
		}
	}
	if progressing != nil {
		t.keepOnly(progressing)
	}
}

// keepOnly ends all transfers but one; nil ends all. Their outcomes are ignored.
func (t *transfers) keepOnly(kept *transfer) {
	for active := range t.active {
		if active != kept {
			delete(t.active, active)
			t.fetcher.end(active.address, false)
			active.cancel()
		}
	}
}

// finish applies the outcome of a transfer, unless it was given up for another one.
func (t *transfers) finish(ctx context.Context, ended *transfer) {
	if _, active := t.active[ended]; !active {
		return
	}
	f := t.fetcher
	delete(t.active, ended)
	f.end(ended.address, ended.err != nil)
	elapsed := time.Since(ended.begun)
	if ended.err != nil {
		if ctx.Err() == nil {
			f.watcher.Log.Info("a published set was not fetched", zap.String("address", ended.address), zap.Uint64("have_version", ended.have),
				zap.Int64("received_bytes", ended.received()), zap.Duration("after", elapsed), zap.Error(ended.err))
		}
		return
	}
	t.keepOnly(nil)
	set := ended.set
	set.FetchedIn, set.TransferredBytes = elapsed, ended.received()
	f.recordSet(set)
	_ = supervise.Call(f.watcher.Log, "published set", func() { f.watcher.OnSet(set) })
}
