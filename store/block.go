package store

import (
	"sync"
	"sync/atomic"
)

const (
	// blockQuantum is the unit in bytes to which block sizes are rounded up, so that pieces of similar length can reuse
	// each other's blocks.
	blockQuantum = 64 << 10
	// maxFreeBytes limits the total size of free blocks kept for reuse.
	maxFreeBytes = 128 << 20
)

// block is the memory of one body. It returns to its pool when the last reference is released and may then be reused
// for another piece, so it must not be read without a reference.
type block struct {
	pool *blockPool
	data []byte
	refs atomic.Int32
}

func (b *block) retain() { b.refs.Add(1) }

func (b *block) release() {
	if b.refs.Add(-1) == 0 {
		b.pool.put(b)
	}
}

// blockPool recycles blocks. mu is a leaf lock: no other lock is acquired while it is held.
type blockPool struct {
	mu   sync.Mutex
	free map[int][]*block
	// bytes is the capacity of all free blocks.
	bytes int64
	// onFree is called with each freed block, so that tests can overwrite it. It may be nil.
	onFree func([]byte)
}

func newBlockPool(onFree func([]byte)) *blockPool {
	return &blockPool{free: map[int][]*block{}, onFree: onFree}
}

// get returns a block of the given length with one reference. Its content is undefined.
func (p *blockPool) get(length int64) *block {
	capacity := int((length + blockQuantum - 1) / blockQuantum * blockQuantum)
	b := p.popFree(capacity)
	if b == nil {
		b = &block{pool: p, data: make([]byte, capacity)}
	}
	b.data = b.data[:length]
	b.refs.Store(1)
	return b
}

func (p *blockPool) popFree(capacity int) *block {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.free[capacity]
	if len(list) == 0 {
		return nil
	}
	b := list[len(list)-1]
	p.free[capacity] = list[:len(list)-1]
	p.bytes -= int64(capacity)
	return b
}

func (p *blockPool) put(b *block) {
	if p.onFree != nil {
		p.onFree(b.data[:cap(b.data)])
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bytes+int64(cap(b.data)) > maxFreeBytes {
		return
	}
	p.free[cap(b.data)] = append(p.free[cap(b.data)], b)
	p.bytes += int64(cap(b.data))
}
