package detection

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against measuring an implementation that never reaches agreement.
func TestGroupAgreesOnFailedProcess(t *testing.T) {
	g := NewGroup(64, rand.New(rand.NewPCG(1, 1)))
	g.Fail(7)
	for range 64 {
		g.Cycle()
		if g.Agreed(7) {
			require.Equal(t, 63, g.Detected(7))
			return
		}
	}
	t.Fatal("no agreement after 64 cycles")
}

// Reports cycles to agreement, bytes that one process sends in a cycle, and memory of one process.
func BenchmarkMatrixProbing(b *testing.B) {
	for _, n := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("processes=%d", n), func(b *testing.B) {
			var cycles, bytes float64
			for i := range b.N {
				g := NewGroup(n, rand.New(rand.NewPCG(uint64(i), 7)))
				g.Fail(n / 2)
				for !g.Agreed(n / 2) {
					g.Cycle()
					cycles++
				}
				bytes += float64(g.Bytes)
			}
			b.ReportMetric(cycles/float64(b.N), "cycles")
			b.ReportMetric(bytes/cycles/float64(n), "B/process/cycle")
			b.ReportMetric(float64(NewGroup(n, nil).MatrixBytes()), "B/process-memory")
		})
	}
}
