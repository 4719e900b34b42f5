package fleetview

import (
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/zeebo/blake3"

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
	hash := blake3.Sum256(state.GetDocument())
	part := &nodepb.SetPart{SetVersion: state.GetSetVersion(), DocumentBytes: uint64(len(state.GetDocument())), DocumentHash: hash[:]}
	rest := state.GetDocument()
	for !part.GetLast() {
		part.Data = rest[:min(len(rest), setPartBytes)]
		rest = rest[len(part.GetData()):]
		part.Last = len(rest) == 0
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

// recordSent counts bytes of sets that were sent.
func (s *Server) recordSent(bytes int) {
	if s.Metrics != nil {
		gometrics.GetOrRegisterCounter("fleetview.set_bytes_sent", s.Metrics).Inc(int64(bytes))
	}
}
