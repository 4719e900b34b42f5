package controlclient

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

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

// runSession watches one member and reports presence to it until either fails.
func (w *Watcher) runSession(ctx context.Context, address string) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var presence sync.WaitGroup
	presence.Go(func() { cancel(w.reportPresence(ctx, address)) })
	err := w.watchStream(ctx, address)
	cancel(err)
	presence.Wait()
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		w.options.Log.Warn("control session ended", zap.String("member", address), zap.Error(cause))
	}
}

// watchStream applies the updates of one WatchSet stream.
func (w *Watcher) watchStream(ctx context.Context, address string) error {
	conn, err := rpcpool.DialFrom(ctx, w.options.SourceIP, address, min(maxDialTime, w.options.CallTimeout))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Without messages for CallTimeout, for example on a half-open connection, the stream is canceled, which ends a
	// blocked Recv.
	receiveTimeout := time.AfterFunc(w.options.CallTimeout, cancel)
	defer receiveTimeout.Stop()
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
		if err != nil {
			return err
		}
		receiveTimeout.Reset(w.options.CallTimeout)
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

// reportPresence reports to one member at each presence interval until a report fails or the member has not confirmed
// the set for maxUnconfirmedIntervals.
func (w *Watcher) reportPresence(ctx context.Context, address string) error {
	conn, err := rpcpool.DialFrom(ctx, w.options.SourceIP, address, min(maxDialTime, w.options.CallTimeout))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	client := controlpb.NewDRPCControlClient(conn)
	ticker := time.NewTicker(w.options.PresenceInterval)
	defer ticker.Stop()
	confirmedAt := w.options.Clock.Now()
	for {
		confirmed, err := w.sendPresence(ctx, client)
		if err != nil {
			return err
		}
		now := w.options.Clock.Now()
		if confirmed || w.Current().Set == nil {
			confirmedAt = now
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

func (w *Watcher) sendPresence(ctx context.Context, client controlpb.DRPCControlClient) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, w.options.CallTimeout)
	defer cancel()
	version, observed := w.versions()
	sent := w.options.Clock.Now()
	response, err := client.ReportPresence(ctx, &controlpb.PresenceRequest{
		ProcessId: w.options.ProcessID, Incarnation: w.incarnation, Role: w.options.Role, Address: w.options.Address,
		AvailabilityZone: w.options.Zone, Serves: w.options.Serves,
		SetVersion: version, ObservedVersion: observed, Draining: w.options.Draining(),
	})
	if err != nil {
		return false, err
	}
	if response.Failure != nil {
		if response.Failure.Kind == string(failure.Fenced) {
			w.fence()
		}
		return false, FromFailure(response.Failure)
	}
	return w.confirm(sent, response), nil
}
