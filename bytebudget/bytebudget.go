// Package bytebudget bounds the bytes that the requests of a process hold at the same time, so that many large bodies or answers do not
// exhaust its memory.
package bytebudget

import (
	"io"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

// reservedShare is the part of the budget that is kept for owners with less than their fair share, so that one owner with many
// large requests does not keep the others out.
const reservedShare = 0.25

// Budget is a number of bytes that owners share. Budget.mu is a leaf lock: no other lock is acquired while it is held.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used int64
	// held is what each owner holds; owners without bytes are not listed.
	held map[string]int64
	// reclaimable holds what may be taken back for others, and reclaimableOf the sum of its bytes by owner; owners without bytes are not listed.
	reclaimable   map[*Reclaimable]struct{}
	reclaimableOf map[string]int64
}

// New returns a Budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, held: map[string]int64{}, reclaimable: map[*Reclaimable]struct{}{}, reclaimableOf: map[string]int64{}}
}

// Used returns the number of bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// acquire takes bytes for an owner and reports whether there was room for them. It takes reclaimable bytes back if that makes room.
func (b *Budget) acquire(owner string, bytes int64) bool {
	b.mu.Lock()
	reclaimed, ok := b.makeRoom(owner, bytes)
	if ok {
		b.add(owner, bytes)
	}
	b.mu.Unlock()
	for _, r := range reclaimed {
		r.onReclaim()
	}
	return ok
}

// add counts bytes of an owner, which are negative if they are released. The caller holds mu.
func (b *Budget) add(owner string, bytes int64) {
	b.used += bytes
	if b.held[owner] += bytes; b.held[owner] <= 0 {
		delete(b.held, owner)
	}
}

// hasRoom reports whether an owner may take bytes. Up to the reserve any owner may; from the reserve only those that stay within an equal
// share for each owner and a further one.
func (b *Budget) hasRoom(owner string, bytes int64) bool {
	return b.wouldHaveRoom(bytes, b.used, b.held[owner], len(b.held))
}

// wouldHaveRoom is hasRoom if so many bytes were used, an owner held a part of them, and there were so many owners with bytes.
func (b *Budget) wouldHaveRoom(bytes, used, held int64, owners int) bool {
	if used+bytes > b.limit {
		return false
	}
	if float64(used+bytes) <= (1-reservedShare)*float64(b.limit) {
		return true
	}
	if held == 0 {
		owners++
	}
	return held+bytes <= b.limit/int64(owners+1)
}

func (b *Budget) release(owner string, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(owner, -bytes)
}

// Holder is what one request holds. It is not safe for concurrent use.
type Holder struct {
	budget *Budget
	owner  string
	bytes  int64
	// Patience is how long the holder waits for room; 0 means that it does not wait.
	Patience time.Duration
}

// Holder returns a holder without bytes. Close must be called on it.
func (b *Budget) Holder(owner string) *Holder { return &Holder{budget: b, owner: owner} }

// waitInterval is the time between two attempts of a holder that waits for room.
const waitInterval = 5 * time.Millisecond

// Grow takes bytes and reports whether there was room for them.
func (h *Holder) Grow(bytes int64) bool {
	for begin := time.Now(); !h.budget.acquire(h.owner, bytes); time.Sleep(waitInterval) {
		if time.Since(begin) >= h.Patience {
			return false
		}
	}
	h.bytes += bytes
	return true
}

// Close releases all bytes of the holder.
func (h *Holder) Close() {
	if h.bytes > 0 {
		h.budget.release(h.owner, h.bytes)
		h.bytes = 0
	}
}

// ErrExhausted is returned by ReadAll if there is no room for more bytes.
var ErrExhausted = failure.New(failure.MemoryExhausted, failure.Unknown, "too many bytes of requests and answers are held in memory")

const (
	// firstBuffer is the size at which the buffer of a read begins. Most bodies are smaller.
	firstBuffer = 8 << 10
	// trustedBytes is the number of bytes after which a sender is trusted to send the rest that it has announced, which saves copies.
	trustedBytes = 128 << 10
)

// ReadAll reads until the end, at most limit+1 bytes, as io.ReadAll does of an io.LimitReader. size is the expected size, below 0 if it
// is unknown. Memory is taken as bytes arrive, so that a sender that announces much and sends little holds little.
func (h *Holder) ReadAll(r io.Reader, size, limit int64) ([]byte, error) {
	most := limit + 1
	if size >= 0 {
		// One byte more shows the end of the input without growing.
		most = min(most, size+1)
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			grown := min(most, max(firstBuffer, 2*int64(cap(buffer))))
			if size >= 0 && len(buffer) >= trustedBytes {
				grown = most
			}
			if grown <= int64(len(buffer)) {
				return buffer, nil
			}
			// The former buffer is garbage only once its bytes are copied.
			former := int64(cap(buffer))
			if !h.Grow(grown) {
				return buffer, ErrExhausted
			}
			buffer = append(make([]byte, 0, grown), buffer...)
			h.shrink(former)
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
}

func (h *Holder) shrink(bytes int64) {
	if bytes > 0 {
		h.budget.release(h.owner, bytes)
		h.bytes -= bytes
	}
}
