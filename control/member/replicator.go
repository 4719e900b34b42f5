// Package member assembles one control member: replica, state machine, service and status port.
package member

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/control"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
	"github.com/wasabishunt/wasabishunt/replica"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// commandDecoder decodes log entries for the state machine.
type commandDecoder struct{ *control.StateMachine }

// Apply executes one log entry. An entry that cannot be decoded is skipped on every member.
func (c commandDecoder) Apply(index uint64, encoded []byte) proto.Message {
	command := &controlpb.Command{}
	if err := proto.Unmarshal(encoded, command); err != nil {
		return nil
	}
	return c.StateMachine.Apply(index, command)
}

// Snapshot captures the state; the returned function encodes it.
func (c commandDecoder) Snapshot() func() ([]byte, error) { return c.Capture() }

// replicator implements control.Replicator; it encodes commands for the replica.
type replicator struct{ replica *replica.Replica }

var _ control.Replicator = replicator{}

// Propose replicates a command and returns its applied result.
func (r replicator) Propose(ctx context.Context, command *controlpb.Command) (proto.Message, error) {
	encoded, err := proto.Marshal(command)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "encode command")
	}
	return r.replica.Propose(ctx, encoded)
}

// ReadBarrier waits until the state includes everything committed before the call.
func (r replicator) ReadBarrier(ctx context.Context) error { return r.replica.ReadBarrier(ctx) }

// Leader returns the id and address of the leader.
func (r replicator) Leader() (uint64, string) { return r.replica.Leader() }

// Fresh reports whether the applied state is known to be current.
func (r replicator) Fresh() bool { return r.replica.Fresh() }

// StateAge returns how long ago the applied state was known to be current.
func (r replicator) StateAge() (age time.Duration, known bool) { return r.replica.StateAge() }

// Members returns the current members and the ids of removed ones.
func (r replicator) Members() *raftpb.Members {
	return r.replica.Status().Members
}

// ChangeMembers replicates one change of the group's members.
func (r replicator) ChangeMembers(ctx context.Context, action string, member *raftpb.Member) error {
	_, err := r.replica.ChangeMembers(ctx, raft.Change{Kind: raft.ChangeKind(action), Member: member})
	return err
}

// Progress returns the term and the commit and applied indexes.
func (r replicator) Progress() (term, commit, applied uint64) {
	s := r.replica.Status()
	return s.Term, s.Commit, s.Applied
}
