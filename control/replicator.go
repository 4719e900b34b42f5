// Package control implements a control member: the replicated state machine and the drpc service on top of it.
//
// Lock order: Server.mu -> StateMachine.mu -> the locks of the Replicator. The Replicator calls Apply without holding
// any of its locks. No lock is held while a message is sent.
package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Replicator replicates commands and reports the state of the raft group.
type Replicator interface {
	// Propose replicates a command and returns the result of applying it. The execution of its error is not_run if the
	// command cannot have entered the log, and unknown otherwise.
	Propose(ctx context.Context, command *controlpb.Command) (proto.Message, error)
	// ReadBarrier returns once the local state includes every command that was acknowledged before the call.
	ReadBarrier(ctx context.Context) error
	// Leader returns the leader's id and address; the id is 0 if the leader is not known.
	Leader() (id uint64, address string)
	// Fresh reports whether the local state is known to be current, see section 2.3 of the design.
	Fresh() bool
	// StateAge returns how long ago the local state was known to be current, and false if it never was since the start.
	StateAge() (age time.Duration, known bool)
	// Members returns the current members and the ids of removed ones.
	Members() *raftpb.Members
	// ChangeMembers adds a learner, promotes a learner or removes a member, one at a time.
	ChangeMembers(ctx context.Context, action string, member *raftpb.Member) error
	// Progress returns the term and the commit and applied indexes.
	Progress() (term, commit, applied uint64)
}
