package linksched

import "time"

// meter is an exponential average of bandwidth over busy time.
type meter struct {
	rate   float64
	weight float64 // Busy seconds behind the rate.
	window time.Duration
}

func (m *meter) observe(bytes int64, busy time.Duration) {
	if bytes <= 0 || busy <= 0 {
		return
	}
	seconds := busy.Seconds()
	keep := max(0, 1-seconds/m.window.Seconds())
	total := m.weight*keep + seconds
	m.rate = (m.rate*m.weight*keep + float64(bytes)) / total
	m.weight = total
}
