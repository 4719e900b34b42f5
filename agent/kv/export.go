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

// Ran queues the prompt's pieces for export after a whole run. Pieces that a store could not deliver sooner than the
// engine recomputes them are not worth their place.
func (t *Ticket) Ran() {
	if t == nil {
		return
	}
	m, r := t.mover, &t.request
	if m.deps.Stores == nil {
		return
	}
	now := m.deps.Clock.Now()
	saves := recomputation(1, r.Engine().PrefillRate, 1)
	all := m.targets()
	for _, name := range r.Pieces {
		e := &export{name: name, scope: r.Scope, bytes: r.PieceBytes, saves: saves, used: now}
		e.value, e.copies = m.values.used(cachevalue.Entry{
			Name: name, Account: r.Scope.Account, Class: r.Scope.Account + "/" + r.Rank, Bytes: r.PieceBytes, Recompute: saves, LastUse: now,
		}, m.slowest(e, all))
		if !m.wanted(e, all, now) {
			continue
		}
		if m.exports.push(e) {
			m.counts.exportDropped.Inc(1)
		}
	}
}

// wanted reports whether stores may lack copies of the piece, and one that lacks it could deliver it sooner than the
// engine recomputes it.
func (m *Mover) wanted(e *export, all []target, now time.Time) bool {
	held, useful := 0, false
	for _, candidate := range candidates(e.name, all) {
		if m.sent.has(candidate.name, e.name, now) {
			held++
			continue
		}
		useful = useful || m.transfer(e, candidate) < e.saves
	}
	return useful && held < e.copies
}

// transfer is the time of a piece on an idle link.
func (m *Mover) transfer(e *export, t target) time.Duration {
	return time.Duration(float64(e.bytes) / max(1, m.configured(t)) * float64(time.Second))
}

// slowest is the longest transfer to a store that may hold the piece.
func (m *Mover) slowest(e *export, all []target) time.Duration {
	longest := time.Duration(0)
	for _, candidate := range candidates(e.name, all) {
		longest = max(longest, m.transfer(e, candidate))
	}
	return longest
}

func (m *Mover) configured(t target) float64 {
	if t.limit > 0 {
		return t.limit
	}
	return m.options.AssumedBytesPerSecond
}

// exportAll is one exporter.
func (m *Mover) exportAll(ctx context.Context) {
	limits := map[string]*rate.Limiter{}
	for {
		e := m.exports.pop(m.resident.riskyBefore())
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

// export puts a piece into the first stores that may hold it and lack it, until there are enough copies. The body is
// read first: the engine may evict the piece while the link is waited for.
func (m *Mover) export(ctx context.Context, e *export, limits map[string]*rate.Limiter) {
	ctx, cancel := context.WithTimeout(ctx, m.options.ExportTimeout)
	defer cancel()
	lacking, held := m.lacking(ctx, e)
	if len(lacking) == 0 || held >= e.copies {
		return
	}
	body, err := m.read(ctx, e)
	if err != nil {
		m.counts.exportFailed.Inc(1)
		m.deps.Log.Debug("piece not exported", zap.String("piece", e.name.String()), zap.Error(err))
		return
	}
	for _, holder := range lacking {
		if held >= e.copies {
			return
		}
		if err := m.put(ctx, e, holder, body, limiter(limits, holder, m.options.Exporters)); err != nil {
			m.counts.exportFailed.Inc(1)
			m.deps.Log.Info("piece not stored", zap.String("piece", e.name.String()), zap.String("store", holder.name), zap.Error(err))
			continue
		}
		held++
	}
}

// lacking asks the stores that may hold the piece until there are enough copies. It returns those that lack it and the
// number that hold it.
func (m *Mover) lacking(ctx context.Context, e *export) (list []target, held int) {
	for _, holder := range candidates(e.name, m.targets()) {
		now := m.deps.Clock.Now()
		switch {
		case held >= e.copies:
			return list, held
		case m.sent.has(holder.name, e.name, now):
			held++
			continue
		case !m.health.usable(holder.address, now):
			continue
		}
		asking, cancel := context.WithTimeout(ctx, m.options.PutTimeout)
		holding, err := m.deps.Stores.Has(asking, holder.address, e.scope.Account, store.RankBulk, []piece.Name{e.name})
		cancel()
		switch {
		case err != nil && ctx.Err() == nil:
			m.unreachable(holder)
		case err != nil:
		case holding.Held[0]:
			m.health.succeeded(holder.address)
			m.counts.held.Inc(1)
			m.sent.add(holder.name, e.name, now)
			held++
		default:
			m.health.succeeded(holder.address)
			list = append(list, holder)
		}
	}
	return list, held
}

func (m *Mover) read(ctx context.Context, e *export) ([]byte, error) {
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

// limiter returns this exporter's part of the limit of a store's link.
func limiter(limits map[string]*rate.Limiter, t target, exporters int) *rate.Limiter {
	if t.limit <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	part := rate.Limit(t.limit / float64(exporters))
	if limits[t.address] == nil || limits[t.address].Limit() != part {
		limits[t.address] = rate.NewLimiter(part, limiterBurst)
	}
	return limits[t.address]
}

// limiterBurst is how many bytes may be sent at once at the limit of a link.
const limiterBurst = 1 << 20

func (m *Mover) put(ctx context.Context, e *export, holder target, body []byte, limit *rate.Limiter) error {
	if err := waitFor(ctx, limit, len(body)); err != nil {
		return err
	}
	header := piece.Header{
		Name: e.name, Length: int64(len(body)), Tokens: piece.TokensPerPiece, RecomputeMs: e.saves.Milliseconds(),
		Checksum: piece.Sum(body), Account: e.scope.Account, WeightVersion: e.scope.WeightVersion,
	}
	ctx, cancel := context.WithTimeout(ctx, m.options.PutTimeout)
	defer cancel()
	started := m.deps.Clock.Now()
	outcome, err := m.deps.Stores.PutIdle(ctx, holder.address, header, body, store.RankBulk, started.Sub(e.used))
	now := m.deps.Clock.Now()
	if err != nil {
		m.unreachable(holder)
		return err
	}
	m.health.succeeded(holder.address)
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

// waitFor takes the bytes from the limiter in parts of at most its burst.
func waitFor(ctx context.Context, limit *rate.Limiter, bytes int) error {
	for bytes > 0 && limit.Limit() != rate.Inf {
		part := min(bytes, limit.Burst())
		if err := limit.WaitN(ctx, part); err != nil {
			return failure.Wrap(err, failure.DeadlineExceeded, failure.NotRun, "wait for the link")
		}
		bytes -= part
	}
	return nil
}

// watchCapacity reads the engine's cache capacity, which tells how soon pieces are evicted.
func (m *Mover) watchCapacity(ctx context.Context) {
	ticker := time.NewTicker(m.options.LoadPoll)
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
