package capacity

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a slope that includes the fixed part.
func TestSlope(t *testing.T) {
	growth, base := slope([]point{{50, 1150}, {100, 1300}, {400, 2200}})
	require.InDelta(t, 3, growth, 1e-9)
	require.InDelta(t, 1000, base, 1e-9)
}

// Guards against a measurement that fails, omits values or leaks goroutines, at small sizes.
func TestMeasurementsAtSmallSizes(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
	defer cancel()
	options := Options{
		Watchers: []int{1, 3}, Accounts: []int{10, 100}, Upstreams: []int{2, 15},
		Repeats: 1, Rest: 10 * time.Millisecond, Dir: t.TempDir(),
	}
	for _, name := range []string{"control", "returns", "idle", "sets", "queue"} {
		tables, err := Measurements()[name](ctx, options)
		require.NoError(t, err, name)
		require.NotEmpty(t, tables, name)
		for _, table := range tables {
			var text strings.Builder
			require.NoError(t, table.Write(&text))
			require.NotEmpty(t, table.Rows, table.Title)
			require.NotContains(t, text.String(), "NaN", table.Title)
		}
	}
}
