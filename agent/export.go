package agent

import (
	"bytes"
	"context"
	"io"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/store"
	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

// newReader reads a body that is in memory.
func newReader(body []byte) io.Reader { return bytes.NewReader(body) }

// export is a piece that the engine has computed and that its stores shall keep.
type export struct {
	name   piece.Name
	ref    engine.PieceRef
	header piece.Header
}

// offerExports queues the pieces that a run has computed. When the queue is full they are not kept:
// a lost piece only costs its recomputation.
func (a *Agent) offerExports(j *job, cachedTokens int64) {
	if a.deps.Stores == nil {
		return
	}
	prefill, _ := a.rates.current()
	var recomputeMs int64
	if prefill > 0 {
		recomputeMs = int64(piece.TokensPerPiece / prefill * 1000)
	}
	for _, name := range j.pieces[min(int64(len(j.pieces)), cachedTokens/piece.TokensPerPiece):] {
		header := piece.Header{
			Name: name, Generation: 1, Tokens: piece.TokensPerPiece, RecomputeMs: recomputeMs,
			Account: j.account.Name, WeightVersion: j.request.GetWeightVersion(),
		}
		select {
		case a.exports <- export{name: name, ref: a.pieceRef(j, name), header: header}:
		default:
			a.count("pieces.export_dropped")
		}
	}
}

// exportPieces copies queued pieces to their stores until ctx ends.
func (a *Agent) exportPieces(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-a.exports:
			if err := a.exportPiece(ctx, e); err != nil {
				a.count("pieces.export_failed")
				a.deps.Log.Debug("piece not kept", zap.String("piece", e.name.String()), zap.Error(err))
			}
		}
	}
}

// exportPiece reads the piece from the engine once and writes it to each of its stores that lacks it, as a bulk
// transfer that gives way to fetches.
func (a *Agent) exportPiece(ctx context.Context, e export) error {
	lacking := a.lacking(ctx, e)
	if len(lacking) == 0 {
		return nil
	}
	body, err := a.readKV(ctx, e.ref)
	if err != nil {
		return err
	}
	e.header.Length = int64(len(body))
	e.header.Checksum = piece.Sum(body)
	for _, address := range lacking {
		outcome, err := a.deps.Stores.Put(ctx, address, e.header, body, store.RankBulk)
		if err != nil {
			return err
		}
		if outcome == store.Stored {
			a.count("pieces.exported")
		}
	}
	return nil
}

// lacking returns the live stores that should hold the piece and do not.
func (a *Agent) lacking(ctx context.Context, e export) []string {
	view := a.deps.Source.Current()
	if view.Set == nil {
		return nil
	}
	live := liveStores(view)
	var lacking []string
	for name := range holders(view.Set, []piece.Name{e.name}) {
		if live[name] == "" {
			continue
		}
		holding, err := a.deps.Stores.Has(ctx, live[name], e.header.Account, store.RankBulk, []piece.Name{e.name})
		if err == nil && !holding.Held[0] {
			lacking = append(lacking, live[name])
		}
	}
	return lacking
}

func (a *Agent) readKV(ctx context.Context, ref engine.PieceRef) ([]byte, error) {
	reader, err := a.deps.Engine.ExportKV(ctx, ref)
	if err != nil {
		return nil, err
	}
	defer func() { _ = reader.Close() }()
	body, err := io.ReadAll(io.LimitReader(reader, piece.MaxBodyBytes))
	if err != nil {
		return nil, failure.Wrap(err, failure.UpstreamFailed, failure.Ran, "read a piece from the engine")
	}
	return body, nil
}
