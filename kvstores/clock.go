package kvstores

import "time"

// engineClock is a time on the clock of engines and stores, with the local time at which it was received.
type engineClock struct {
	ms         float64
	receivedAt time.Time
}

// read returns the time in ms, 0 if none was received.
func (c engineClock) read(now time.Time) float64 {
	if c.ms <= 0 {
		return 0
	}
	return c.ms + float64(now.Sub(c.receivedAt))/float64(time.Millisecond)
}

// SetClock sets the time on the clock of engines and stores.
func (d *Directory) SetClock(ms float64) {
	if ms <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clock = engineClock{ms: ms, receivedAt: d.now()}
}

// FetchDeadline returns the time on the clock of engines and stores at which a fetch that begins now must have ended,
// in ms; 0 if the clock is not known.
func (d *Directory) FetchDeadline(limit time.Duration) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.read(d.now())
	if now == 0 {
		return 0
	}
	return int64(now + float64(limit)/float64(time.Millisecond))
}
