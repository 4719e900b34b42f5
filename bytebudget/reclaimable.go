package bytebudget

// Reclaimable is memory that is taken back if others need its room. It is safe for concurrent use.
type Reclaimable struct {
	budget *Budget
	owner  string
	// onReclaim is called once the bytes were taken back, without a lock of this package.
	onReclaim func()

	// The budget's mu protects the fields below.
	bytes int64
	// ended is set once the bytes were taken back or Close was called.
	ended bool
}

// Reclaimable returns memory without bytes. If its bytes are taken back for others, onReclaim is called on the goroutine that needs them; it
// must drop what the bytes were taken for, and must not block. Close must be called on the result.
func (b *Budget) Reclaimable(owner string, onReclaim func()) *Reclaimable {
	r := &Reclaimable{budget: b, owner: owner, onReclaim: onReclaim}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reclaimable[r] = struct{}{}
	return r
}

// Grow takes bytes and reports whether there was room for them. If there is none, memory of the owner that holds most is taken back, which
// may be r itself: it then returns false, without a call of onReclaim.
func (r *Reclaimable) Grow(bytes int64) bool {
	b := r.budget
	b.mu.Lock()
	if r.ended {
		b.mu.Unlock()
		return false
	}
	reclaimed, ok := b.makeRoom(r.owner, bytes)
	ok = ok && !r.ended
	if ok {
		b.addReclaimable(r.owner, bytes)
		r.bytes += bytes
	}
	b.mu.Unlock()
	for _, other := range reclaimed {
		if other != r {
			other.onReclaim()
		}
	}
	return ok
}

// Shrink releases bytes. It does nothing once the bytes were taken back.
func (r *Reclaimable) Shrink(bytes int64) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if !r.ended {
		r.bytes -= bytes
		r.budget.addReclaimable(r.owner, -bytes)
	}
}

// Close releases all bytes. onReclaim may still be in progress when it returns.
func (r *Reclaimable) Close() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.end(r)
}

// end releases the bytes of r. The caller holds mu.
func (b *Budget) end(r *Reclaimable) {
	if r.ended {
		return
	}
	r.ended = true
	delete(b.reclaimable, r)
	if r.bytes > 0 {
		b.addReclaimable(r.owner, -r.bytes)
		r.bytes = 0
	}
}

// makeRoom reports whether there is room for bytes of an owner, and takes reclaimable bytes back as far as needed for that. It takes none if
// all of them are not enough. The caller holds mu, and calls onReclaim of those returned after it has released it.
func (b *Budget) makeRoom(owner string, bytes int64) (reclaimed []*Reclaimable, ok bool) {
	if b.hasRoom(owner, bytes) {
		return nil, true
	}
	if !b.canMakeRoom(owner, bytes) {
		return nil, false
	}
	for !b.hasRoom(owner, bytes) {
		r := b.mostExpendable()
		if r == nil {
			return reclaimed, false
		}
		b.end(r)
		reclaimed = append(reclaimed, r)
	}
	return reclaimed, true
}

// canMakeRoom reports whether there would be room if all reclaimable bytes were taken back. Its cost grows with the owners of such bytes only:
// requests without room may ask every few ms.
func (b *Budget) canMakeRoom(owner string, bytes int64) bool {
	if len(b.reclaimableOf) == 0 {
		return false
	}
	used, owners := b.used, len(b.held)
	for o, reclaimable := range b.reclaimableOf {
		used -= reclaimable
		if b.held[o] == reclaimable {
			owners--
		}
	}
	return b.wouldHaveRoom(bytes, used, b.held[owner]-b.reclaimableOf[owner], owners)
}

// addReclaimable counts reclaimable bytes of an owner, which are negative if they are released. The caller holds mu.
func (b *Budget) addReclaimable(owner string, bytes int64) {
	if b.reclaimableOf[owner] += bytes; b.reclaimableOf[owner] <= 0 {
		delete(b.reclaimableOf, owner)
	}
	b.add(owner, bytes)
}

// mostExpendable returns the largest reclaimable memory of the owner that holds most of it, so that an owner with many small ones does not
// displace those of others. It returns nil if there is none with bytes.
func (b *Budget) mostExpendable() *Reclaimable {
	sums := b.reclaimableOf
	var found *Reclaimable
	for r := range b.reclaimable {
		if r.bytes > 0 && (found == nil || sums[r.owner] > sums[found.owner] || sums[r.owner] == sums[found.owner] && r.bytes > found.bytes) {
			found = r
		}
	}
	return found
}
