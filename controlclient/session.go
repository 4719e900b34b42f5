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

// unconfirmedIntervals without a confirmation end a session, so that the process moves to another member
// before its set becomes stale.
const unconfirmedIntervals = 2

// maxDial limits connection set-up to one member, because other members may be reachable.
const maxDial = time.Second

// session watches one member until the stream or the presence reports fail.
func (w *Watcher) session(ctx context.Context, address string) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var presence sync.WaitGroup
	presence.Go(func() { cancel(w.reportPresence(ctx, address)) })
	err := w.stream(ctx, address)
	cancel(err)
	presence.Wait()
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		w.options.Log.Warn("control session ended", zap.String("member", address), zap.Error(cause))
	}
}

// stream applies the updates of one WatchSet stream.
func (w *Watcher) stream(ctx context.Context, address string) error {
	conn, err := rpcpool.DialFrom(ctx, w.options.SourceIP, address, min(maxDial, w.options.CallTimeout))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A half-open connection sends no heartbeat; closing the stream ends the blocked receive.
	silence := time.AfterFunc(w.options.CallTimeout, cancel)
	defer silence.Stop()
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
		silence.Reset(w.options.CallTimeout)
		if parts, err = w.apply(update, parts); err != nil {
			return err
		}
	}
}

// apply handles one update. It returns the parts of a snapshot that is not complete yet.
func (w *Watcher) apply(update *controlpb.SetUpdate, parts []byte) ([]byte, error) {
	switch {
	case update.GetSnapshot() != nil:
		return w.applySnapshot(update.GetSnapshot(), parts)
	case update.GetDelta() != nil:
		return nil, w.applyDelta(update.GetDelta())
	case update.GetMembership() != nil:
		w.adoptMembership(update.GetMembership())
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
	w.adoptSet(set, snapshot.Version)
	return nil, nil
}

// applyDelta refuses a gap: the session then restarts from the version in force.
func (w *Watcher) applyDelta(delta *controlpb.SetDelta) error {
	view := w.Current()
	if delta.ToVersion <= view.Version {
		return nil
	}
	if view.Set == nil || delta.FromVersion != view.Version {
		return failure.New(failure.SetVersionBehind, failure.NotRun,
			"delta from version %d does not fit version %d", delta.FromVersion, view.Version)
	}
	set, err := objectset.Patch(view.Set, delta.Changes)
	if err != nil {
		return err
	}
	w.adoptSet(set, delta.ToVersion)
	return nil
}

// reportPresence reports to one member every second until it fails or the member is not fresh.
func (w *Watcher) reportPresence(ctx context.Context, address string) error {
	conn, err := rpcpool.DialFrom(ctx, w.options.SourceIP, address, min(maxDial, w.options.CallTimeout))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	client := controlpb.NewDRPCControlClient(conn)
	ticker := time.NewTicker(w.options.PresenceInterval)
	defer ticker.Stop()
	confirmedAt := w.options.Clock.Now()
	for {
		confirmed, err := w.presenceOnce(ctx, client)
		if err != nil {
			return err
		}
		now := w.options.Clock.Now()
		if confirmed || w.Current().Set == nil {
			confirmedAt = now
		}
		if now.Sub(confirmedAt) >= unconfirmedIntervals*w.options.PresenceInterval {
			return failure.New(failure.StaleSet, failure.NotRun, "%s does not confirm the object set", address)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-w.kick:
		}
	}
}

func (w *Watcher) presenceOnce(ctx context.Context, client controlpb.DRPCControlClient) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, w.options.CallTimeout)
	defer cancel()
	version, observed := w.versions()
	sent := w.options.Clock.Now()
	answer, err := client.ReportPresence(ctx, &controlpb.PresenceRequest{
		ProcessId: w.options.ProcessID, Incarnation: w.incarnation, Role: w.options.Role, Address: w.options.Address,
		AvailabilityZone: w.options.Zone, Serves: w.options.Serves,
		SetVersion: version, ObservedVersion: observed, Draining: w.options.Draining(),
	})
	if err != nil {
		return false, err
	}
	if answer.Failure != nil {
		if answer.Failure.Kind == string(failure.Fenced) {
			w.fence()
		}
		return false, FromFailure(answer.Failure)
	}
	return w.confirm(sent, answer), nil
}
