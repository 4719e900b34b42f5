// Package linksched schedules transfers over one link of limited bandwidth: by rank, in chunks, with bulk transfers
// preempted by any other, and with the measured bandwidth of the link. The package is pure: callers pass in the time
// and serialize calls.
package linksched

import (
	"cmp"
	"slices"
	"time"

	"github.com/wasabishunt/wasabishunt/ratemeter"
)

// Transfer is one piece to move.
type Transfer struct {
	ID    string
	Bytes int64
	// Order is the order of the rank for which the transfer runs; 0 is the most urgent.
	Order int
	// Bulk marks transfers such as refill and exports, which run only within BulkShare or when nothing else is queued.
	Bulk bool
}

// Settings of a Link.
type Settings struct {
	// ChunkBytes is the quantum after which a transfer may be preempted; default 1 MiB.
	ChunkBytes int64
	// MaxQueued bounds queued transfers; default 1024.
	MaxQueued int
	// BulkShare is the share of the link that bulk transfers keep under load, 0 to 1; default 0.05.
	BulkShare float64
	// BytesPerSecond is the configured bandwidth, used until it has been measured.
	BytesPerSecond float64
	// Window is the busy time over which a measurement decays; default 2 s.
	Window time.Duration
}

// Defaults returns the default settings for a link of the configured bandwidth.
func Defaults(bytesPerSecond float64) Settings {
	return Settings{
		ChunkBytes: 1 << 20, MaxQueued: 1024, BulkShare: 0.05,
		BytesPerSecond: bytesPerSecond, Window: 2 * time.Second,
	}
}

// Grant allows one chunk of a transfer.
type Grant struct {
	ID    string
	Bytes int64
	// Last is true for the chunk that completes the transfer.
	Last bool
}

// Link schedules the transfers of one link. One chunk is in progress at a time.
type Link struct {
	settings Settings
	queue    []*transfer // By class, then arrival.
	current  *transfer
	chunk    int64
	// bulkCredit is the number of bytes that bulk transfers are entitled to ahead of others.
	bulkCredit float64
	measured   *ratemeter.Meter
	queued     int64
}

type transfer struct {
	Transfer
	remaining int64
}

// configuredWeight is the weight of the configured bandwidth in measurements, as busy time.
const configuredWeight = 10 * time.Millisecond

// New returns an idle link.
func New(settings Settings) *Link {
	return &Link{settings: settings, measured: ratemeter.New(settings.BytesPerSecond, configuredWeight, settings.Window)}
}

// Push queues a transfer. It reports false if the queue is full. In a full queue a transfer that is not bulk
// displaces the last bulk transfer: Push returns the displaced ID, whose owner the caller must notify, because it
// gets no further grant.
func (l *Link) Push(t Transfer) (displaced string, ok bool) {
	if len(l.queue) >= l.settings.MaxQueued {
		if displaced, ok = l.displaceBulk(t); !ok {
			return "", false
		}
	}
	next := &transfer{Transfer: t, remaining: max(1, t.Bytes)}
	position, _ := slices.BinarySearchFunc(l.queue, next, func(a, b *transfer) int {
		return cmp.Or(cmp.Compare(a.class(), b.class()), -1) // After all of its class.
	})
	l.queue = slices.Insert(l.queue, position, next)
	l.queued += next.remaining
	return displaced, true
}

func (l *Link) displaceBulk(t Transfer) (displaced string, ok bool) {
	last := l.queue[len(l.queue)-1]
	if !last.Bulk || t.Bulk || last == l.current {
		return "", false
	}
	l.Cancel(last.ID)
	return last.ID, true
}

// bulkClass sorts after the order of every rank.
const bulkClass = 1 << 30

func (t *transfer) class() int {
	if t.Bulk {
		return bulkClass
	}
	return t.Order
}

// Next grants the next chunk, or nothing while one is in progress or none is queued.
func (l *Link) Next() (Grant, bool) {
	if l.current != nil || len(l.queue) == 0 {
		return Grant{}, false
	}
	l.current = l.choose()
	l.chunk = min(l.current.remaining, l.settings.ChunkBytes)
	return Grant{ID: l.current.ID, Bytes: l.chunk, Last: l.chunk == l.current.remaining}, true
}

// choose returns the first transfer, or the first bulk transfer if bulk transfers have credit for a chunk.
func (l *Link) choose() *transfer {
	first := l.queue[0]
	if first.Bulk || l.bulkCredit < float64(l.settings.ChunkBytes) {
		return first
	}
	bulk := slices.IndexFunc(l.queue, func(t *transfer) bool { return t.Bulk })
	if bulk < 0 {
		return first
	}
	return l.queue[bulk]
}

// Done records that the granted chunk took the given time. The last chunk ends the transfer.
func (l *Link) Done(elapsed time.Duration) {
	t := l.current
	if t == nil {
		return
	}
	l.current = nil
	l.measured.Observe(l.chunk, elapsed)
	l.charge(t, l.chunk)
	t.remaining -= l.chunk
	if t.remaining <= 0 {
		l.drop(t)
	}
}

// charge uses up the credit of bulk transfers, or adds their share of the bytes of another transfer.
func (l *Link) charge(t *transfer, bytes int64) {
	l.queued -= bytes
	if t.Bulk {
		l.bulkCredit = max(0, l.bulkCredit-float64(bytes))
		return
	}
	l.bulkCredit = min(float64(l.settings.ChunkBytes), l.bulkCredit+float64(bytes)*l.settings.BulkShare)
}

func (l *Link) drop(t *transfer) {
	if position := slices.Index(l.queue, t); position >= 0 {
		l.queue = slices.Delete(l.queue, position, position+1)
	}
}

// Cancel removes a transfer. A chunk in progress no longer blocks the link.
func (l *Link) Cancel(id string) bool {
	position := slices.IndexFunc(l.queue, func(t *transfer) bool { return t.ID == id })
	if position < 0 {
		return false
	}
	t := l.queue[position]
	if l.current == t {
		l.current = nil
	}
	l.queued -= t.remaining
	l.drop(t)
	return true
}

// Wait estimates the time until a new transfer of the order would start.
func (l *Link) Wait(order int) time.Duration {
	bytes := int64(0)
	for _, t := range l.queue {
		if t == l.current || t.class() <= order {
			bytes += l.bytesAhead(t, order)
		}
	}
	return l.TransferTime(bytes)
}

// bytesAhead is the part of a queued transfer that is sent before a new one of the order.
func (l *Link) bytesAhead(t *transfer, order int) int64 {
	if t.class() <= order {
		return t.remaining
	}
	return min(t.remaining, l.settings.ChunkBytes)
}

// TransferTime returns how long the link needs for the bytes at its measured bandwidth.
func (l *Link) TransferTime(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / max(1, l.measured.Rate()) * float64(time.Second))
}

// BytesPerSecond returns the measured bandwidth.
func (l *Link) BytesPerSecond() float64 { return l.measured.Rate() }

// Queued returns the number of bytes not yet transferred.
func (l *Link) Queued() int64 { return l.queued }
