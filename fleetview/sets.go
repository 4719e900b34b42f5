package fleetview

import (
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// setPartBytes is the size of the parts in which a set is sent. Small parts let other messages of the same link in between.
const setPartBytes = 16 << 10

// FetchSet implements the node service.
func (s *Server) FetchSet(q *nodepb.FetchSetRequest, stream nodepb.DRPCNode_FetchSetStream) error {
	state, _ := s.Group.State()
	if state == nil {
		return failure.New(failure.NotLeader, failure.NotRun, "no member of the group runs on this node")
	}
	if state.GetSetVersion() <= q.GetHaveVersion() {
		return failure.New(failure.SetVersionBehind, failure.NotRun, "this member has version %d of the set, the node has %d", state.GetSetVersion(), q.GetHaveVersion())
	}
	s.recordSet(state)
	newest, delta, againstHave, err := s.history.encode(q.GetHaveVersion(), q.GetHaveHash())
	if err != nil {
		return err
	}
	part := &nodepb.SetPart{
		SetVersion: newest.version, DocumentHash: newest.hash[:], AgainstHave: againstHave, DeltaBytes: uint64(len(delta)),
	}
	for !part.GetLast() {
		part.Data = delta[:min(len(delta), setPartBytes)]
		delta = delta[len(part.GetData()):]
		part.Last = len(delta) == 0
		if err := stream.Send(part); err != nil {
			return err
		}
		s.recordSent(len(part.GetData()))
		if !part.GetLast() {
			part = &nodepb.SetPart{}
		}
	}
	return nil
}

// recordSet keeps a set of the group as the base of later deltas.
func (s *Server) recordSet(state *nodepb.State) {
	if state.GetSetVersion() > 0 {
		s.history.record(state.GetSetVersion(), state.GetDocument())
	}
}

// recordSent counts bytes of sets that were sent.
func (s *Server) recordSent(bytes int) {
	if s.Metrics != nil {
		gometrics.GetOrRegisterCounter("fleetview.set_bytes_sent", s.Metrics).Inc(int64(bytes))
	}
}
