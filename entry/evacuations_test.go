package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/serving/evacuation"
)

// Guards against calls of a plain service to agents in an evacuated zone, and against a refusal that does not tell the cause.
func TestServicesLeaveOutEvacuatedZones(t *testing.T) {
	sc := &serviceCall{call: &call{}, service: &objectset.Service{Name: "s", AgentAddresses: []string{"a1", "a2", "a3"}}}
	sc.call.view.Processes = map[string]controlclient.Process{
		"p1": {Address: "a1", Zone: "z1", State: controlclient.Live}, "p2": {Address: "a2", Zone: "z2", State: controlclient.Live},
		"p3": {Address: "a3", Zone: "z3", State: controlclient.Dead},
	}
	var none *evacuation.List
	require.ElementsMatch(t, []string{"a1", "a2"}, sc.agents())
	require.Empty(t, sc.evacuatedZones())
	sc.call.view.Evacuations, _, _ = none.Accept(1, []string{"z1", "z3"}, time.Now())
	require.Equal(t, []string{"a2"}, sc.agents())
	sc.call.view.Evacuations, _, _ = sc.call.view.Evacuations.Accept(2, []string{"z3", "z2", "z1"}, time.Now())
	require.Empty(t, sc.agents())
	require.Equal(t, []string{"z1", "z2"}, sc.evacuatedZones())
}
