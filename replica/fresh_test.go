package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against readers that learn only at their next poll that a restarted member has the current state.
func TestOnFreshIsCalledWhenTheStateBecomesFresh(t *testing.T) {
	t.Parallel()
	calls := 0
	r := &Replica{started: time.Now(), options: Options{OnFresh: func() { calls++ }}}
	never, past, future := time.Duration(0), r.now()-time.Second, r.now()+time.Hour
	for i, step := range []struct {
		until time.Duration
		calls int
	}{{never, 0}, {past, 0}, {future, 1}, {future + time.Second, 1}, {past, 1}, {future, 2}} {
		r.setFreshUntil(step.until)
		require.Equal(t, step.calls, calls, "step %d", i)
	}
}
