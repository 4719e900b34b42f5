package control

import (
	"context"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// snapshotPartBytes is the size of the parts in which a set is sent. drpc refuses messages above 4 MiB.
const snapshotPartBytes = 1 << 20

// watch is a watch stream and the position up to which it was sent updates.
type watch struct {
	stream   controlpb.DRPCControl_WatchSetStream
	version  uint64
	revision uint64
}

// WatchSet streams the set and membership changes. The first read of a starting process is linearizable, so that the
// process never starts with an older set than the one it used before its restart.
func (s *Server) WatchSet(q *controlpb.WatchSetRequest, stream controlpb.DRPCControl_WatchSetStream) error {
	select {
	case s.watchers <- struct{}{}:
		defer func() { <-s.watchers }()
	default:
		return failure.New(failure.Overloaded, failure.NotRun, "this member has %d watchers", cap(s.watchers))
	}
	w := &watch{stream: stream, version: q.FromVersion, revision: q.FromMembershipRevision}
	if q.FromVersion == 0 {
		if err := s.waitForBarrier(stream.Context()); err != nil {
			return err
		}
	}
	return s.serveWatch(w)
}

func (s *Server) waitForBarrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.CallTimeout)
	defer cancel()
	return s.replicator.ReadBarrier(ctx)
}

func (s *Server) serveWatch(w *watch) error {
	heartbeat := time.NewTicker(s.options.HeartbeatInterval)
	defer heartbeat.Stop()
	// The membership changes that the watcher is missing at its start are sent without throttling.
	if err := w.sendMemberships(s.machine.membershipChangesSince(w.revision)); err != nil {
		return err
	}
	for {
		setChanged, published := s.machine.SetChanged(), s.memberships.published()
		if err := s.sendUpdates(w); err != nil {
			return err
		}
		select {
		case <-w.stream.Context().Done():
			return w.stream.Context().Err()
		case <-s.closing:
			return failure.New(failure.Draining, failure.NotRun, "this member is stopping")
		case <-setChanged:
		case <-published:
		case <-heartbeat.C:
			if err := s.sendHeartbeat(w); err != nil {
				return err
			}
		}
	}
}

func (s *Server) sendHeartbeat(w *watch) error {
	version, revision := s.machine.Positions()
	return w.stream.Send(&controlpb.SetUpdate{Update: &controlpb.SetUpdate_Heartbeat{
		Heartbeat: &controlpb.WatchHeartbeat{Version: version, MembershipRevision: revision},
	}})
}

func (s *Server) sendUpdates(w *watch) error {
	deltas, document, current := s.machine.setChangesSince(w.version)
	if document != nil {
		if err := sendSnapshot(w, document, current); err != nil {
			return err
		}
		w.version = current
	}
	for _, delta := range deltas {
		if err := w.stream.Send(&controlpb.SetUpdate{Update: &controlpb.SetUpdate_Delta{Delta: delta}}); err != nil {
			return err
		}
		w.version = delta.ToVersion
	}
	return w.sendMemberships(s.memberships.after(w.revision, s.machine))
}

func (w *watch) sendMemberships(update *controlpb.MembershipUpdate) error {
	if update == nil {
		return nil
	}
	w.revision = update.Revision
	return w.stream.Send(&controlpb.SetUpdate{Update: &controlpb.SetUpdate_Membership{Membership: update}})
}

func sendSnapshot(w *watch, document []byte, version uint64) error {
	for {
		part := document[:min(snapshotPartBytes, len(document))]
		document = document[len(part):]
		err := w.stream.Send(&controlpb.SetUpdate{Update: &controlpb.SetUpdate_Snapshot{
			Snapshot: &controlpb.SetSnapshot{Version: version, Document: part, More: len(document) > 0},
		}})
		if err != nil || len(document) == 0 {
			return err
		}
	}
}
