package coregroup

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// Guards against a time of the last change that a call without effect moves on: nodes that start would need permits for no reason.
func TestTimeOfTheLastChangeOfEvacuations(t *testing.T) {
	t.Parallel()
	state := &nodepb.State{}
	for _, c := range []struct {
		evacuated    bool
		at, recorded int64
	}{{true, 10, 10}, {true, 20, 10}, {false, 30, 30}, {false, 40, 30}} {
		setEvacuation(state, &nodepb.SetEvacuation{AvailabilityZone: "z", Evacuated: c.evacuated, UnixMs: c.at})
		require.Equal(t, c.recorded, state.GetEvacuationsChangedUnixMs())
	}
}
