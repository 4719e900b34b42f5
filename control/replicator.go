// Package control is the control member: the replicated state machine and the service over it.
//
// Lock order: Server.mu -> StateMachine.mu -> the locks of the Replicator. Apply is called by the Replicator
// without any of its locks held. No lock is held while a message is sent.
package control

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

// Replicator replicates commands and tells what is known about the group.
type Replicator interface {
	// Propose returns the applied result of a command. Its typed error says not_run if the command cannot have
	// entered the log, and unknown otherwise.
	Propose(ctx context.Context, command *controlpb.Command) (proto.Message, error)
	// ReadBarrier returns once the local state holds every command answered before the call.
	ReadBarrier(ctx context.Context) error
	// Leader returns the leader's id and address; 0 if it is not known.
	Leader() (id uint64, address string)
	// Fresh reports whether the local state is known to be current, see section 2.3 of the design.
	Fresh() bool
	// Members returns the members in force and the ids of removed ones.
	Members() *raftpb.Members
	// ChangeMembers adds a learner, promotes a learner or removes a member, one at a time.
	ChangeMembers(ctx context.Context, action string, member *raftpb.Member) error
	// Progress returns the term and the commit and applied indexes.
	Progress() (term, commit, applied uint64)
}
