package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// BenchmarkDecision measures the choice of an engine for one long prompt, at the numbers of engines of the
// users' sites and of the target size.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{12, 15, 47, 2600} {
		b.Run(fmt.Sprintf("engines-%d", engines), func(b *testing.B) {
			tracker := NewTracker()
			var list []*upstreams.Instance
			for i := range engines {
				list = append(list, instance(fmt.Sprint("i", i)))
				tracker.state(list[i].Key()).setVersion("m", 1)
				tracker.Begin(list[i], Work{Salt: "v1", Parts: document(fmt.Sprint("d", i)).Parts, CacheTokens: 50_000})
			}
			b.ReportAllocs()
			for request := 0; b.Loop(); request++ {
				q := document(fmt.Sprint("d", request%1000))
				q.Seed, q.TokenTransfer = fmt.Sprint(request), time.Microsecond
				if best, _ := tracker.Choose(list, time.Now(), q, Pauses{}); best == nil {
					b.Fatal("no engine")
				}
			}
		})
	}
}
