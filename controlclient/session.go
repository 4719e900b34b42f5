package controlclient

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc/drpcconn"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// maxUnconfirmedIntervals is the number of presence intervals without a confirmation after which a session ends, so
// that the process moves to another member before its set becomes stale.
const maxUnconfirmedIntervals = 2

// maxDialTime limits the connection set-up to one member, because other members may be reachable.
const maxDialTime = time.Second

// runSession watches one member and reports presence to it until either fails. It returns whether the member sent anything.
func (w *Watcher) runSession(ctx context.Context, address string) (answered bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	member := &watchedMember{address: address}
	w.session.Store(member)
	defer w.session.Store(nil)
	w.doubt()
	conn, err := w.dialStream(ctx, address)
	if err != nil {
		w.logSessionEnd(address, err)
		return false
	}
	defer func() { _ = conn.Close() }()
	member.conn.Store(conn)
	var presenceAnswered atomic.Bool
	var presence sync.WaitGroup
	presence.Go(func() { cancel(w.reportPresence(ctx, address, conn.Received, &presenceAnswered)) })
	err = w.watchStream(ctx, conn)
	cancel(err)
	presence.Wait()
	w.logSessionEnd(address, context.Cause(ctx))
	return presenceAnswered.Load() || conn.Received() > 0
}

func (w *Watcher) logSessionEnd(address string, cause error) {
	if cause != nil && !errors.Is(cause, context.Canceled) {
		w.options.Log.Warn("control session ended", zap.String("member", address), zap.Error(cause))
	}
}

// dialStream opens the connection of a WatchSet stream. It is closed if nothing arrives for CallTimeout, for example on a
// half-open connection.
func (w *Watcher) dialStream(ctx context.Context, address string) (*rpcpool.IdleConn, error) {
	raw, err := rpcpool.DialTCP(ctx, w.options.SourceIP, address, min(maxDialTime, w.options.CallTimeout))
	if err != nil {
		return nil, err
	}
	return rpcpool.NewIdleConn(raw, w.options.CallTimeout), nil
}

// watchStream applies the updates of one WatchSet stream.
func (w *Watcher) watchStream(ctx context.Context, idle *rpcpool.IdleConn) error {
	conn := drpcconn.New(idle)
	defer func() { _ = conn.Close() }()
	view := w.Current()
	stream, err := controlpb.NewDRPCControlClient(conn).WatchSet(ctx, &controlpb.WatchSetRequest{
		ProcessId: w.options.ProcessID, Role: w.options.Role, AvailabilityZone: w.options.Zone,
		FromVersion: view.Version, FromMembershipRevision: view.Revision,
	})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	var parts []byte
	for {
		update, err := stream.Recv()
		if idle.TimedOut() {
			return failure.New(failure.DeadlineExceeded, failure.NotRun, "nothing arrived on the stream for %s", w.options.CallTimeout)
		}
		if err != nil {
			return err
		}
		if parts, err = w.applyUpdate(update, parts); err != nil {
			return err
		}
	}
}

// applyUpdate applies one update. It returns the received parts of a snapshot that is not complete yet.
func (w *Watcher) applyUpdate(update *controlpb.SetUpdate, parts []byte) ([]byte, error) {
	switch {
	case update.GetSnapshot() != nil:
		return w.applySnapshot(update.GetSnapshot(), parts)
	case update.GetDelta() != nil:
		return nil, w.applyDelta(update.GetDelta())
	case update.GetMembership() != nil:
		w.applyMembership(update.GetMembership())
	}
	return parts, nil
}

func (w *Watcher) applySnapshot(snapshot *controlpb.SetSnapshot, parts []byte) ([]byte, error) {
	if len(parts)+len(snapshot.Document) > objectset.MaxDocumentBytes {
		return nil, failure.New(failure.BodyTooLarge, failure.NotRun, "object set from control is too large")
	}
	parts = append(parts, snapshot.Document...)
	if snapshot.More {
		return parts, nil
	}
	set, err := objectset.FromCanonical(parts)
	if err != nil {
		return nil, err
	}
	w.applySet(set, snapshot.Version)
	return nil, nil
}

// applyDelta fails if versions are missing before the delta. The session then restarts from the current version.
func (w *Watcher) applyDelta(delta *controlpb.SetDelta) error {
	view := w.Current()
	if delta.ToVersion <= view.Version {
		return nil
	}
	if view.Set == nil || delta.FromVersion != view.Version {
		return failure.New(failure.SetVersionBehind, failure.NotRun,
			"delta from version %d cannot be applied to version %d", delta.FromVersion, view.Version)
	}
	set, err := objectset.Patch(view.Set, delta.Changes)
	if err != nil {
		return err
	}
	w.applySet(set, delta.ToVersion)
	return nil
}

// minTransferBytes is the number of bytes in a presence interval that shows that a set is on its way; heartbeats are smaller.
const minTransferBytes = 4 << 10

// reportPresence reports to one member at each presence interval until a report fails or the member has not confirmed
// the set for maxUnconfirmedIntervals. While a newer set arrives, the session goes on: another one would begin the transfer anew.
// received returns the number of bytes that have arrived on the stream of the session; answered is set once the member responds to a report.
func (w *Watcher) reportPresence(ctx context.Context, address string, received func() int64, answered *atomic.Bool) error {
	conn, err := rpcpool.DialFrom(ctx, w.options.SourceIP, address, min(maxDialTime, w.options.CallTimeout))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	client := controlpb.NewDRPCControlClient(conn)
	ticker := time.NewTicker(w.options.PresenceInterval)
	defer ticker.Stop()
	confirmedAt, arrived := w.options.Clock.Now(), received()
	for {
		confirmed, err := w.sendPresence(ctx, client, answered)
		if err != nil {
			return err
		}
		now := w.options.Clock.Now()
		if confirmed == setConfirmed || confirmed == newerSet && received()-arrived >= minTransferBytes || w.Current().Set == nil {
			confirmedAt, arrived = now, received()
		}
		if now.Sub(confirmedAt) >= maxUnconfirmedIntervals*w.options.PresenceInterval {
			return failure.New(failure.StaleSet, failure.NotRun, "%s does not confirm the object set", address)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-w.reportNow:
		}
	}
}

func (w *Watcher) sendPresence(ctx context.Context, client controlpb.DRPCControlClient, answered *atomic.Bool) (confirmation, error) {
	ctx, cancel := context.WithTimeout(ctx, w.options.CallTimeout)
	defer cancel()
	version, observed := w.versions()
	sent := w.options.Clock.Now()
	w.doubt()
	response, err := client.ReportPresence(ctx, &controlpb.PresenceRequest{
		ProcessId: w.options.ProcessID, Incarnation: w.incarnation, Role: w.options.Role, Address: w.options.Address,
		AvailabilityZone: w.options.Zone, Serves: w.options.Serves,
		SetVersion: version, ObservedVersion: observed, Draining: w.options.Draining(),
	})
	if err != nil {
		return notConfirmed, err
	}
	answered.Store(true)
	if response.Failure != nil {
		if response.Failure.Kind == string(failure.Fenced) {
			w.fence()
		}
		return notConfirmed, FromFailure(response.Failure)
	}
	return w.confirm(sent, response), nil
}
