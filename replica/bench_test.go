package replica

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkPropose measures commands per second on loopback with real syncs, with many concurrent proposers.
func BenchmarkPropose(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			g := newGroup(b, size, nil)
			leader := g.leader()
			data := make([]byte, 256)
			var failed atomic.Int64
			b.SetParallelism(32)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := leader.Propose(context.Background(), data); err != nil {
						failed.Add(1)
					}
				}
			})
			b.StopTimer()
			require.Zero(b, failed.Load())
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
			b.ReportMetric(leader.metrics.syncMicros.Snapshot().Percentile(0.5), "sync-us")
		})
	}
}

// BenchmarkProposeAlone measures the latency of one command at a time.
func BenchmarkProposeAlone(b *testing.B) {
	g := newGroup(b, 3, nil)
	leader := g.leader()
	for b.Loop() {
		_, err := leader.Propose(context.Background(), set(1))
		require.NoError(b, err)
	}
}

// BenchmarkFailover measures the time from the loss of the leader to the next accepted write, with default timeouts.
func BenchmarkFailover(b *testing.B) {
	var total time.Duration
	for range b.N {
		b.StopTimer()
		g := newGroup(b, 3, nil)
		leader := g.leader()
		b.StartTimer()
		begin := time.Now()
		g.kill(leader.options.ID)
		g.write(2, failoverLimit)
		total += time.Since(begin)
	}
	b.ReportMetric(total.Seconds()/float64(b.N), "s/failover")
}

// BenchmarkRestart measures the start of a member with a log of 100,000 entries and no snapshot until Start returns, and
// as s/read until the member has won an election, applied the log and served a read.
func BenchmarkRestart(b *testing.B) {
	const entries = 100_000
	g := newGroup(b, 1, func(o *Options) { o.SnapshotEvery = 10 * entries })
	leader := g.leader()
	fill(b, leader, entries)
	leader.stop()
	var served time.Duration
	b.ResetTimer()
	for b.Loop() {
		begin := time.Now()
		p := g.start(g.first[0], nil)
		require.GreaterOrEqual(b, p.Status().LastIndex, uint64(entries))
		b.StopTimer()
		g.read(p)
		served += time.Since(begin)
		p.stop()
		b.StartTimer()
	}
	b.ReportMetric(served.Seconds()/float64(b.N), "s/read")
}

// fill writes commands from a bounded number of proposers.
func fill(b *testing.B, leader *process, count int64) {
	var remaining atomic.Int64
	remaining.Store(count)
	done := make(chan error, 256)
	for range cap(done) {
		go func() {
			var err error
			for err == nil && remaining.Add(-1) >= 0 {
				_, err = leader.Propose(context.Background(), make([]byte, 256))
			}
			done <- err
		}()
	}
	for range cap(done) {
		require.NoError(b, <-done)
	}
}
