package kv

import (
	"context"
	"io"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/wasabishunt/wasabishunt/cachevalue"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/store"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

// QueueExports queues the prompt's pieces for export after a completed run. It skips pieces that no store could deliver
// faster than the engine recomputes them.
func (s *Session) QueueExports() {
	if s == nil {
		return
	}
	m, r := s.mover, &s.request
	if m.deps.Stores == nil {
		return
	}
	now := m.deps.Clock.Now()
	recompute := recomputeTime(1, r.Engine().PrefillRate, 1)
	targets := m.targets()
	for _, name := range r.Pieces {
		e := &export{name: name, scope: r.Scope, bytes: r.PieceBytes, recomputeTime: recompute, lastUse: now}
		e.value, e.copies = m.values.recordUse(cachevalue.Entry{
			Name: name, Account: r.Scope.Account, Class: r.Scope.Account + "/" + r.Rank, Bytes: r.PieceBytes, Recompute: recompute, LastUse: now,
		}, m.maxTransferTime(e, targets))
		if !m.needsExport(e, targets, now) {
			continue
		}
		if m.exports.push(e) {
			m.counts.exportDropped.Inc(1)
		}
	}
}

// needsExport reports whether too few stores are known to hold the piece, and at least one of the other stores could deliver
// it faster than the engine recomputes it.
func (m *Mover) needsExport(e *export, targets []target, now time.Time) bool {
	held, useful := 0, false
	for _, candidate := range candidates(e.name, targets) {
		if m.sent.has(candidate.name, e.name, now) {
			held++
			continue
		}
		useful = useful || m.transferTime(e, candidate) < e.recomputeTime
	}
	return useful && held < e.copies
}

// transferTime returns the transfer time of a piece on an idle link.
func (m *Mover) transferTime(e *export, t target) time.Duration {
	return time.Duration(float64(e.bytes) / max(1, m.linkBandwidth(t)) * float64(time.Second))
}

// maxTransferTime returns the longest transfer time to a store that may hold the piece.
func (m *Mover) maxTransferTime(e *export, targets []target) time.Duration {
	longest := time.Duration(0)
	for _, candidate := range candidates(e.name, targets) {
		longest = max(longest, m.transferTime(e, candidate))
	}
	return longest
}

func (m *Mover) linkBandwidth(t target) float64 {
	if t.limit > 0 {
		return t.limit
	}
	return m.options.AssumedBytesPerSecond
}

// runExporter exports queued pieces until ctx ends.
func (m *Mover) runExporter(ctx context.Context) {
	limits := map[string]*rate.Limiter{}
	for {
		e := m.exports.pop(m.resident.evictionRiskBefore())
		if e == nil {
			select {
			case <-ctx.Done():
				return
			case <-m.exports.wake:
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		m.export(ctx, e, limits)
	}
}

// export copies a piece to stores that lack it, in order of preference, until there are enough copies. It reads the body
// before it waits for the link, because the engine may evict the piece during the wait.
func (m *Mover) export(ctx context.Context, e *export, limits map[string]*rate.Limiter) {
	ctx, cancel := context.WithTimeout(ctx, m.options.ExportTimeout)
	defer cancel()
	lacking, held := m.storesLacking(ctx, e)
	if len(lacking) == 0 || held >= e.copies {
		return
	}
	body, err := m.readPiece(ctx, e)
	if err != nil {
		m.counts.exportFailed.Inc(1)
		m.deps.Log.Debug("piece not exported", zap.String("piece", e.name.String()), zap.Error(err))
		return
	}
	for _, holder := range lacking {
		if held >= e.copies {
			return
		}
		if err := m.putPiece(ctx, e, holder, body, limiter(limits, holder, m.options.Exporters)); err != nil {
			m.counts.exportFailed.Inc(1)
			m.deps.Log.Info("piece not stored", zap.String("piece", e.name.String()), zap.String("store", holder.name), zap.Error(err))
			continue
		}
		held++
	}
}

// storesLacking queries the stores that may hold the piece, in order of preference, until enough of them hold it. It returns
// the stores that lack the piece and the number of stores that hold it.
func (m *Mover) storesLacking(ctx context.Context, e *export) (lacking []target, held int) {
	for _, holder := range candidates(e.name, m.targets()) {
		now := m.deps.Clock.Now()
		switch {
		case held >= e.copies:
			return lacking, held
		case m.sent.has(holder.name, e.name, now):
			held++
			continue
		case !m.health.allow(holder.address, now):
			continue
		}
		lookupCtx, cancel := context.WithTimeout(ctx, m.options.PutTimeout)
		result, err := m.deps.Stores.Has(lookupCtx, holder.address, e.scope.Account, store.RankBulk, []piece.Name{e.name})
		cancel()
		switch {
		case err != nil && ctx.Err() == nil:
			m.recordUnreachable(holder)
		case err != nil:
		case result.Held[0]:
			m.health.recordSuccess(holder.address)
			m.counts.held.Inc(1)
			m.sent.add(holder.name, e.name, now)
			held++
		default:
			m.health.recordSuccess(holder.address)
			lacking = append(lacking, holder)
		}
	}
	return lacking, held
}

func (m *Mover) readPiece(ctx context.Context, e *export) ([]byte, error) {
	body, err := m.deps.Engine.ExportKV(ctx, engine.PieceRef{
		Name: e.name.String(), Model: e.scope.Model, WeightVersion: e.scope.WeightVersion, CacheScope: e.scope.Account,
		Tokens: piece.TokensPerPiece,
	})
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	data, err := io.ReadAll(io.LimitReader(body, piece.MaxBodyBytes+1))
	if err != nil {
		return nil, failure.Wrap(err, failure.UpstreamFailed, failure.Ran, "read a piece from the engine")
	}
	return data, nil
}

// limiter returns the limiter for one exporter's share of a link's bandwidth.
func limiter(limits map[string]*rate.Limiter, t target, exporters int) *rate.Limiter {
	if t.limit <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	part := rate.Limit(t.limit / float64(exporters))
	if limits[t.address] == nil || limits[t.address].Limit() != part {
		limits[t.address] = rate.NewLimiter(part, limiterBurstBytes)
	}
	return limits[t.address]
}

// limiterBurstBytes is how many bytes may be sent at once on a limited link.
const limiterBurstBytes = 1 << 20

func (m *Mover) putPiece(ctx context.Context, e *export, holder target, body []byte, limit *rate.Limiter) error {
	if err := waitForLink(ctx, limit, len(body)); err != nil {
		return err
	}
	header := piece.Header{
		Name: e.name, Length: int64(len(body)), Tokens: piece.TokensPerPiece, RecomputeMs: e.recomputeTime.Milliseconds(),
		Checksum: piece.Sum(body), Account: e.scope.Account, WeightVersion: e.scope.WeightVersion,
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.PutTimeout)
	defer cancel()
	started := m.deps.Clock.Now()
	outcome, err := m.deps.Stores.PutIdle(ctx, holder.address, header, body, store.RankBulk, started.Sub(e.lastUse))
	now := m.deps.Clock.Now()
	if err != nil {
		m.recordUnreachable(holder)
		return err
	}
	m.health.recordSuccess(holder.address)
	if outcome == store.RefusedBusy {
		// Another agent writes the same piece there. If that fails, the piece is offered again with its next use.
		m.counts.held.Inc(1)
		return nil
	}
	if outcome != store.Stored {
		return failure.New(failure.Overloaded, failure.NotRun, "store refuses a piece: %s", outcome)
	}
	m.sent.add(holder.name, e.name, now)
	m.counts.exported.Inc(1)
	m.counts.exportedBytes.Inc(header.Length)
	return nil
}

// waitForLink waits until the limiter allows the bytes, in parts of at most its burst.
func waitForLink(ctx context.Context, limit *rate.Limiter, bytes int) error {
	for bytes > 0 && limit.Limit() != rate.Inf {
		part := min(bytes, limit.Burst())
		if err := limit.WaitN(ctx, part); err != nil {
			return failure.Wrap(err, failure.DeadlineExceeded, failure.NotRun, "wait for the link")
		}
		bytes -= part
	}
	return nil
}

// watchCapacity polls the engine's cache capacity, which determines how soon pieces are evicted.
func (m *Mover) watchCapacity(ctx context.Context) {
	ticker := time.NewTicker(m.options.LoadPollInterval)
	defer ticker.Stop()
	for {
		if load, err := m.deps.Engine.Load(ctx); err == nil {
			m.resident.setCapacity(load.CacheCapacity)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
