package gateway

import "time"

const (
	// gapWindow is the time over which the gaps of a stream are averaged. A slow moment of an engine lasts several times as long.
	gapWindow = 250 * time.Millisecond
	// maxWriteTime is the time of a write from which a window is dropped: events wait for a slow caller, and the gaps don't show how fast
	// the instance is.
	maxWriteTime = 20 * time.Millisecond
)

// gapMeter measures the mean gap between the events of a stream.
type gapMeter struct {
	attempt gapRecorder
	// enabled is set if the gaps are used at all.
	enabled           bool
	began, arrivedAt  time.Time
	count             int
	isSlowedByWriting bool
}

// gapRecorder is implemented by placement.Attempt.
type gapRecorder interface {
	ObservesGaps(now time.Time) bool
	RecordGap(gap time.Duration, now time.Time)
}

func newGapMeter(attempt gapRecorder, now time.Time) *gapMeter {
	return &gapMeter{attempt: attempt, enabled: attempt.ObservesGaps(now)}
}

// arrived records that an event has arrived.
func (m *gapMeter) arrived(now time.Time) {
	if !m.enabled {
		return
	}
	m.arrivedAt = now
	if m.began.IsZero() {
		m.began = now
		return
	}
	m.count++
	if elapsed := now.Sub(m.began); elapsed >= gapWindow {
		if !m.isSlowedByWriting {
			m.attempt.RecordGap(elapsed/time.Duration(m.count), now)
		}
		m.began, m.count, m.isSlowedByWriting = now, 0, false
	}
}

// written records that the events that arrived last were written to the caller.
func (m *gapMeter) written(now time.Time) {
	if m.enabled && now.Sub(m.arrivedAt) > maxWriteTime {
		m.isSlowedByWriting = true
	}
}
