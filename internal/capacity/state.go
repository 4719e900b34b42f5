package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/wasabishunt/wasabishunt/control"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// stateSizes are the numbers of records in the state machine.
var stateSizes = []int{2_000, 5_000, 10_000}

// measureState measures the replicated state per record, with one member's state machine and no log.
func measureState(_ context.Context, o Options) ([]*Table, error) {
	results := &series{}
	for repeat := range o.Repeats {
		for _, size := range stateSizes {
			for name, fill := range map[string]func(*control.StateMachine, int){
				"finished booking with an answer of 200 bytes":     fillBookings,
				"accepted change (audit record, outcome and hash)": fillChanges,
				"registered process":                               fillProcesses,
			} {
				if err := recordState(results, repeat, size, name, fill); err != nil {
					return nil, err
				}
			}
		}
		progress("state: repeat %d", repeat)
	}
	return []*Table{results.table("State of a control member, bytes", "record")}, nil
}

func recordState(results *series, repeat, size int, name string, fill func(*control.StateMachine, int)) error {
	before, used := memory(), cpu()
	machine := control.NewStateMachine()
	fill(machine, size)
	results.add(repeat, name+": applying, CPU us", size, 1e6*(cpu()-used).Seconds())
	results.add(repeat, name+": memory", size, memory()-before)
	snapshot, err := machine.Snapshot()
	if err != nil {
		return err
	}
	results.add(repeat, name+": snapshot", size, float64(len(snapshot)))
	runtime.KeepAlive(machine)
	return nil
}

func fillBookings(machine *control.StateMachine, count int) {
	now, index := time.Now().UnixMilli(), uint64(0)
	apply := func(command *controlpb.Command) {
		index++
		command.UnixMs = now
		machine.Apply(index, command)
	}
	apply(&controlpb.Command{Command: &controlpb.Command_Presence{Presence: registrationOf(0)}})
	for number := range count {
		claim, dispatch, finish := bookingCommands(int64(number), now, 1)
		apply(&controlpb.Command{Command: &controlpb.Command_ClaimBooking{ClaimBooking: claim}})
		apply(&controlpb.Command{Command: &controlpb.Command_DispatchBooking{DispatchBooking: dispatch}})
		apply(&controlpb.Command{Command: &controlpb.Command_FinishBooking{FinishBooking: finish}})
	}
}

// fillChanges publishes changes of one account in a set of 100 accounts.
func fillChanges(machine *control.StateMachine, count int) {
	now, set := time.Now().UnixMilli(), newSet(15, 100)
	machine.Apply(1, &controlpb.Command{UnixMs: now, Command: &controlpb.Command_Publish{Publish: &controlpb.PublishCommand{
		Operator: operatorName, OperationId: "first", Document: set.Canonical(), PayloadHash: make([]byte, 32),
	}}})
	object := fmt.Appendf(nil, `{"name":"account-00050","key_sha256":[%q],"weight":2,"models":["model"],"services":[],"max_concurrent":1,"ranks":[]}`,
		sha256Hex("changed"))
	for number := range count {
		machine.Apply(uint64(number+2), &controlpb.Command{UnixMs: now, Command: &controlpb.Command_Publish{Publish: &controlpb.PublishCommand{
			Operator: operatorName, OperationId: fmt.Sprintf("%08x-0000-7000-8000-000000000000", number), ExpectVersion: uint64(number + 1),
			PayloadHash: make([]byte, 32), Delta: true,
			Changes: []*controlpb.ObjectChange{{Collection: "accounts", Name: "account-00050", Object: object}},
		}}})
	}
}

func fillProcesses(machine *control.StateMachine, count int) {
	for number := range count {
		machine.Apply(uint64(number+1), &controlpb.Command{
			UnixMs: time.Now().UnixMilli(), Command: &controlpb.Command_Presence{Presence: registrationOf(number)},
		})
	}
}

func registrationOf(number int) *controlpb.PresenceBatch {
	id := fmt.Sprintf("process-%05d", number)
	return &controlpb.PresenceBatch{MemberId: 1, Registrations: []*controlpb.PresenceRequest{{
		ProcessId: id, Incarnation: fmt.Sprintf("%08x-0000-7000-8000-000000000000", number), Role: "agent",
		Address: "127.0.0.1:7000", AvailabilityZone: "zone-1", Serves: "upstream-" + id, SetVersion: 1,
	}}}
}
