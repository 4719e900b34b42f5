package upstreamlimit

import (
	"context"
	"testing"
	"time"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// BenchmarkAcquire measures what the path of each request pays.
func BenchmarkAcquire(b *testing.B) {
	for name, limits := range map[string]int{"no limit": 0, "limits of others": 100} {
		b.Run(name, func(b *testing.B) {
			l, now := newTestLimiter(), time.Now()
			for hash := range uint32(limits) {
				l.apply("node", encodeNotice(hash, Notice{PerSecond: 1, Limited: true, At: now}, now), now)
			}
			instance := &upstreams.Instance{ID: "i-0123456789abcdef0", Born: 1_700_000_000_000}
			b.ReportAllocs()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					permit, _ := l.Acquire(context.Background(), instance, false, "request")
					if !l.MaySend(instance, permit, now) {
						b.Error("no limit, no permit")
					}
				}
			})
		})
	}
}

// BenchmarkWaits measures what each choice among instances pays for those with limits to which this node has tried to send.
func BenchmarkWaits(b *testing.B) {
	for name, limits := range map[string]int{"no limit": 0, "100 limits": 100} {
		b.Run(name, func(b *testing.B) {
			l, now := newTestLimiter(), time.Now()
			for hash := range uint32(limits) {
				l.apply("node", encodeNotice(hash, Notice{PerSecond: 1, Limited: true, At: now}, now), now)
				l.core.Next(hash, false, now)
			}
			b.ReportAllocs()
			for b.Loop() {
				l.Waits(false, now)
			}
		})
	}
}
