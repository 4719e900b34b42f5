package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a factor that changes decisions of deployments without shares, that admits more requests when it is lower, or that
// makes requests late which are admitted because their account is below its share.
func TestFactorScalesTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, maxMs int) time.Duration {
			return time.Duration(rapid.IntRange(0, maxMs).Draw(t, name)) * time.Millisecond
		}
		f := Forecast{Wait: duration("wait", 3000), Service: duration("service", 500), Queue: duration("queue", 3000), Reused: duration("reused", 300)}
		r := Requirements{
			Target: duration("target", 2000), TimeLeft: duration("left", 15_000), Short: rapid.Bool().Draw(t, "short"),
			Limits: QueueLimits{LargeService: duration("large", 500), MaxQueue: duration("max queue", 2000)},
		}
		admit := func(factor float64) bool {
			r.Factor = factor
			admitted, retry := Admit(r, f)
			require.True(t, admitted || retry <= max(minRetryAfter, time.Duration(maxRetryShare*float64(r.TimeLeft))))
			return admitted
		}
		require.Equal(t, admit(0), admit(1))
		low, high := rapid.Float64Range(0.2, 1.1).Draw(t, "low"), rapid.Float64Range(0.2, 1.1).Draw(t, "high")
		if low, high = min(low, high), max(low, high); admit(low) {
			require.True(t, admit(high))
		}
		if !r.Short && r.Target > 0 && admit(1.1) {
			require.LessOrEqual(t, f.Wait+r.Limits.LargeService, r.Target)
		}
	})
}
