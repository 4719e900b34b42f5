package speed

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAnswer measures what one answer and one choice cost: a figure, an observation and the estimates of a sample of engines.
func BenchmarkAnswer(b *testing.B) {
	for _, count := range []int{15, 2600} {
		b.Run(fmt.Sprintf("instances-%d", count), func(b *testing.B) {
			now := time.Unix(1000, 0)
			table := NewTable(false)
			var instances []*Instance
			for k := range count {
				instances = append(instances, table.Instance(uint32(k+1), fmt.Sprint("i", k), "s"))
				table.ObserveFigure(instances[k], 100+k%150, now)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(100 * time.Microsecond)
				i := instances[n%count]
				table.ObserveFigure(i, 100+n%150, now)
				table.Observe(i, FirstEvent, time.Duration(80+n%40)*time.Millisecond, 80*time.Millisecond, now)
				for k := range 8 {
					_ = instances[(n+k)%count].Estimate(now)
				}
			}
		})
	}
}

// BenchmarkDigest measures the readings of a relay: at the target size the 100 nodes of its zone report 1,700 answers/s, of which one
// digest lists 96. It runs ten times a second, not for each request.
func BenchmarkDigest(b *testing.B) {
	for _, count := range []int{15, 2600} {
		b.Run(fmt.Sprintf("instances-%d", count), func(b *testing.B) {
			now := time.Unix(1000, 0)
			table := NewTable(false)
			for k := range count {
				table.ObserveFigure(table.Instance(uint32(k+1), fmt.Sprint("i", k), "s"), 100+150*(k%7/6), now.Add(time.Duration(k%1700)*time.Millisecond))
			}
			now = now.Add(1700 * time.Millisecond)
			b.ReportAllocs()
			for b.Loop() {
				_ = table.Digest(now)
			}
		})
	}
}
