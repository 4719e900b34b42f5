package coregroup

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// fullState returns a state in which every field has a value, and one that only a later release knows.
func fullState(t *testing.T) *nodepb.State {
	t.Helper()
	state := &nodepb.State{
		SetVersion: 3, Document: []byte("set"), Weights: []*nodepb.WeightVersion{{Model: "m", Version: 2}}, Formed: true, EvacuationsRevision: 4,
		EvacuatedZones: []string{"z"}, EvacuationCalls: []*nodepb.SetEvacuation{{AvailabilityZone: "z", Evacuated: true, OperationId: "o", UnixMs: 9}},
		EvacuationsChangedUnixMs: 9, RequiredWeights: []*nodepb.WeightVersion{{Model: "m", Version: 1}},
	}
	fields := state.ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		require.True(t, state.ProtoReflect().Has(fields.Get(i)), "no value for %s", fields.Get(i).Name())
	}
	later, err := proto.Marshal(&nodepb.PublishSet{Document: []byte("later")})
	require.NoError(t, err)
	// Field 2 of PublishSet with the number 1000.
	state.ProtoReflect().SetUnknown(append([]byte{0xc2, 0x3e}, later[1:]...))
	return state
}

// Guards against a command that loses what other commands have stored: the naming of weights dropped the time of the last change of the evacuated
// zones, and a member of an earlier release would drop the fields of a later one from its snapshots.
func TestCommandsKeepTheRestOfTheState(t *testing.T) {
	for _, command := range []*nodepb.Command{
		{Change: &nodepb.Command_Publish{Publish: &nodepb.PublishSet{Version: 5, Document: []byte("set")}}},
		{Change: &nodepb.Command_NameWeights{NameWeights: &nodepb.WeightVersion{Model: "m", Version: 3}}},
		{Change: &nodepb.Command_RequireWeights{RequireWeights: &nodepb.WeightVersion{Model: "m", Version: 2}}},
		evacuationCommand("y", true, "p"),
	} {
		m := newMachine()
		before := fullState(t)
		require.NoError(t, m.Restore(encode(t, before)))
		m.Apply(1, encode(t, command))
		after, _ := m.read()
		require.False(t, proto.Equal(before, after), "the command changes nothing")
		require.Equal(t, before.ProtoReflect().GetUnknown(), after.ProtoReflect().GetUnknown())
		changed := map[protoreflect.Name]bool{}
		switch command.GetChange().(type) {
		case *nodepb.Command_Publish:
			changed["set_version"] = true
		case *nodepb.Command_NameWeights:
			changed["weights"] = true
		case *nodepb.Command_RequireWeights:
			changed["required_weights"] = true
		case *nodepb.Command_SetEvacuation:
			changed["evacuated_zones"], changed["evacuations_revision"], changed["evacuation_calls"], changed["evacuations_changed_unix_ms"] = true, true, true, true
		}
		before.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
			if !changed[field.Name()] {
				require.True(t, value.Equal(after.ProtoReflect().Get(field)), "%s after %v", field.Name(), command)
			}
			return true
		})
	}
}
