package store

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/linksched"
)

// RankBulk is the rank of background transfers, such as refill. Transfers of all other ranks have priority over it.
const RankBulk = "bulk"

// Link limits the store's transfers to the configured bandwidth and schedules them by rank. Chunks are granted by time
// and not by the progress of the receiver, so a slow receiver does not delay other transfers.
type Link struct {
	// order gives the order of a rank.
	order func(rank string) int

	mu        sync.Mutex
	schedule  *linksched.Link // nil without a limit
	rate      float64
	transfers map[string]*Transfer
	sequence  uint64
	// freeAt is the time at which the chunks granted so far have been transferred.
	freeAt time.Time
	timer  *time.Timer
	closed bool
}

// Transfer is one transfer that uses the link.
type Transfer struct {
	link    *Link
	id      string
	granted int64
	// displaced is set when a more urgent transfer has replaced this one in a full queue.
	displaced bool
	wake      chan struct{}
}

// linkChunkBytes is the amount of data after which a transfer may be preempted.
const linkChunkBytes = chunkBytes

// bulkOrder is the order of bulk transfers in wait estimates, after that of every rank.
const bulkOrder = 1 << 30

// maxGrantAhead is how far ahead of time chunks may be granted, so that not every short chunk has to wait for a timer.
const maxGrantAhead = time.Millisecond

// NewLink returns a link. A rate of 0 bytes per second means no limit.
func NewLink(bytesPerSecond float64, order func(rank string) int) *Link {
	l := &Link{order: order, transfers: map[string]*Transfer{}}
	l.SetRate(bytesPerSecond)
	return l
}

// SetRate changes the bandwidth. Transfers in progress finish without a limit, because they are not in the new
// schedule.
func (l *Link) SetRate(bytesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bytesPerSecond == l.rate && (l.schedule != nil || bytesPerSecond == 0) {
		return
	}
	for id := range l.transfers {
		l.unlimitLocked(id)
	}
	l.rate, l.schedule = bytesPerSecond, nil
	if bytesPerSecond > 0 {
		settings := linksched.Defaults(bytesPerSecond)
		settings.ChunkBytes = linkChunkBytes
		l.schedule = linksched.New(settings)
	}
}

// Begin queues a transfer.
func (l *Link) Begin(rank string, bytes int64) (*Transfer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	t := &Transfer{link: l, id: strconv.FormatUint(l.sequence, 10), wake: make(chan struct{}, 1)}
	if l.schedule == nil || l.closed {
		t.granted = bytes
		return t, nil
	}
	displaced, ok := l.schedule.Push(linksched.Transfer{ID: t.id, Bytes: bytes, Order: l.order(rank), Bulk: rank == RankBulk})
	if !ok {
		return nil, failure.New(failure.Overloaded, failure.NotRun, "the queue of the link is full")
	}
	if old := l.transfers[displaced]; old != nil {
		delete(l.transfers, displaced)
		old.displaced = true
		old.signal()
	}
	l.transfers[t.id] = t
	l.grantDueLocked(time.Now())
	return t, nil
}

// Take waits until the transfer may send more data and returns the number of bytes, at most want.
func (t *Transfer) Take(ctx context.Context, want int64) (int64, error) {
	for {
		n, displaced := t.take(want)
		if n > 0 || want == 0 {
			return n, nil
		}
		if displaced {
			return 0, failure.New(failure.Overloaded, failure.Unknown, "a more urgent transfer replaced this one in the full queue of the link")
		}
		select {
		case <-t.wake:
		case <-ctx.Done():
			return 0, failure.Wrap(ctx.Err(), failure.DeadlineExceeded, failure.Unknown, "wait for the link")
		}
	}
}

func (t *Transfer) take(want int64) (n int64, displaced bool) {
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	n = min(t.granted, want)
	t.granted -= n
	return n, t.displaced
}

// End removes the transfer from the link. It may be called before the whole transfer was granted.
func (t *Transfer) End() {
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	if t.link.transfers[t.id] == t {
		delete(t.link.transfers, t.id)
		t.link.schedule.Cancel(t.id)
		t.link.grantDueLocked(time.Now())
	}
}

// unlimitLocked removes a transfer from the schedule and lets it continue without a limit.
func (l *Link) unlimitLocked(id string) {
	t := l.transfers[id]
	delete(l.transfers, id)
	t.granted = 1 << 62
	t.signal()
}

func (t *Transfer) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// grantDueLocked grants the chunks that are due and sets a timer for the next one.
func (l *Link) grantDueLocked(now time.Time) {
	if l.schedule == nil || l.closed {
		return
	}
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	for l.freeAt.Sub(now) <= maxGrantAhead {
		grant, ok := l.schedule.Next()
		if !ok {
			return
		}
		elapsed := time.Duration(float64(grant.Bytes) / l.rate * float64(time.Second))
		l.freeAt = l.freeAt.Add(elapsed)
		l.schedule.Done(elapsed)
		l.grantLocked(grant)
	}
	l.resetTimerLocked(l.freeAt.Sub(now))
}

func (l *Link) grantLocked(grant linksched.Grant) {
	t := l.transfers[grant.ID]
	if t == nil {
		return
	}
	t.granted += grant.Bytes
	t.signal()
	if grant.Last {
		delete(l.transfers, grant.ID)
	}
}

func (l *Link) resetTimerLocked(wait time.Duration) {
	if l.timer == nil {
		l.timer = time.AfterFunc(wait, l.grantDue)
		return
	}
	l.timer.Reset(wait)
}

func (l *Link) grantDue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grantDueLocked(time.Now())
}

// Wait returns the estimated time until a new transfer of the rank would start, and the bandwidth, which is 0 without a
// limit.
func (l *Link) Wait(rank string) (time.Duration, float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.schedule == nil {
		return 0, 0
	}
	order := l.order(rank)
	if rank == RankBulk {
		order = bulkOrder
	}
	return max(time.Until(l.freeAt), 0) + l.schedule.Wait(order), l.rate
}

// Close lets all transfers continue without a limit and stops the timer.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.timer != nil {
		l.timer.Stop()
	}
	for id := range l.transfers {
		l.unlimitLocked(id)
	}
}
