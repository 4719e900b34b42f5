// Package coregroup runs the replicated group that stores what operators publish: object sets, the current weight
// version of each model and the evacuated availability zones.
package coregroup

import (
	"sync"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// machine is the state machine of the group. It keeps the highest version of the object set and of each model's weights, the weights that are
// outdated, and the evacuated availability zones.
// machine.mu is a leaf lock: no other lock is acquired while it is held.
type machine struct {
	mu    sync.RWMutex
	state *nodepb.State
	// changed is closed and replaced at each change.
	changed chan struct{}
}

func newMachine() *machine {
	return &machine{state: &nodepb.State{}, changed: make(chan struct{})}
}

// Apply executes one command. A command that cannot be decoded is ignored, on all members alike.
func (m *machine) Apply(_ uint64, encoded []byte) proto.Message {
	command := &nodepb.Command{}
	if err := proto.Unmarshal(encoded, command); err != nil {
		return &nodepb.Result{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// The state is replaced and never changed in place, because readers and snapshots may hold the old one.
	next := shallowCopy(m.state)
	if !apply(next, command) {
		return &nodepb.Result{}
	}
	m.replace(next)
	return &nodepb.Result{Changed: true}
}

// shallowCopy returns a state with the values of another one, also of fields that this release does not know. Lists and the document are shared.
func shallowCopy(state *nodepb.State) *nodepb.State {
	next := &nodepb.State{}
	state.ProtoReflect().Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		next.ProtoReflect().Set(field, value)
		return true
	})
	next.ProtoReflect().SetUnknown(state.ProtoReflect().GetUnknown())
	return next
}

func apply(next *nodepb.State, command *nodepb.Command) (changed bool) {
	switch change := command.GetChange().(type) {
	case *nodepb.Command_Publish:
		if change.Publish.GetVersion() <= next.GetSetVersion() {
			return false
		}
		next.SetVersion, next.Document = change.Publish.GetVersion(), change.Publish.GetDocument()
		return true
	case *nodepb.Command_NameWeights:
		return nameWeights(next, change.NameWeights)
	case *nodepb.Command_RequireWeights:
		return requireWeights(next, change.RequireWeights)
	case *nodepb.Command_Formed:
		changed = !next.GetFormed()
		next.Formed = true
		return changed
	case *nodepb.Command_SetEvacuation:
		return setEvacuation(next, change.SetEvacuation)
	}
	return false
}

func (m *machine) replace(next *nodepb.State) {
	m.state = next
	m.notify()
}

// notify wakes up the readers of the state. The caller holds m.mu.
func (m *machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// becameFresh wakes up the readers of the state, which send on with it whether it is fresh.
func (m *machine) becameFresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notify()
}

// Snapshot captures the state.
func (m *machine) Snapshot() func() ([]byte, error) {
	state, _ := m.read()
	return func() ([]byte, error) {
		data, err := proto.Marshal(state)
		if err != nil {
			return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "encode the state")
		}
		return data, nil
	}
}

// Restore replaces the state.
func (m *machine) Restore(snapshot []byte) error {
	state := &nodepb.State{}
	if err := proto.Unmarshal(snapshot, state); err != nil {
		return failure.Wrap(err, failure.StorageFailed, failure.NotRun, "decode a snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.replace(state)
	return nil
}

// read returns the state, which must not be changed, and a channel that is closed at the next change.
func (m *machine) read() (*nodepb.State, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state, m.changed
}
