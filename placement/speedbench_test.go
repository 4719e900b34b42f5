package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// BenchmarkSlowness measures what estimates of speeds add to a choice: the same choices with and without them. Engines answer 190 times
// a second, so most have no recent figure.
func BenchmarkSlowness(b *testing.B) {
	for _, count := range []int{15, 2600} {
		for _, isPlain := range []bool{false, true} {
			for _, isActive := range []bool{false, true} {
				b.Run(fmt.Sprintf("instances-%d/plain-%v/estimates-%v", count, isPlain, isActive), func(b *testing.B) {
					tracker, now := NewTracker(), time.Now()
					var list []*upstreams.Instance
					for i := range count {
						list = append(list, instance(fmt.Sprint("i", i)))
						attempt := tracker.Begin(list[i], Work{})
						if isActive && i < 190 {
							attempt.RecordSpeed(100+i%150, now)
						}
					}
					b.ReportAllocs()
					for request := 0; b.Loop(); request++ {
						q := &Request{Seed: fmt.Sprint(request), Tokens: 800}
						if !isPlain {
							q.CacheTokens = 50_000
						}
						if best, _ := tracker.Choose(list, now.Add(time.Duration(request)*time.Microsecond), q, Pauses{}); best == nil {
							b.Fatal("no instance")
						}
					}
				})
			}
		}
	}
}
