package kv

import (
	"errors"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
)

// counts are the metrics of a Mover.
type counts struct {
	fetched, fetchedBytes, missed, corrupt, foreign, failed, refusedImports gometrics.Counter
	exported, exportedBytes, exportFailed, exportDropped, held              gometrics.Counter
	waits                                                                   gometrics.Counter
}

func newCounts(registry gometrics.Registry) counts {
	counter := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter(name, registry) }
	return counts{
		fetched: counter("pieces.fetched"), fetchedBytes: counter("pieces.fetched_bytes"), missed: counter("pieces.missed"),
		corrupt: counter("pieces.corrupt"), foreign: counter("pieces.foreign"), failed: counter("pieces.fetch_failed"),
		refusedImports: counter("pieces.import_failed"), exported: counter("pieces.exported"), exportedBytes: counter("pieces.exported_bytes"),
		exportFailed: counter("pieces.export_failed"), exportDropped: counter("pieces.export_dropped"), held: counter("pieces.held"),
		waits: counter("pieces.awaited"),
	}
}

// countFetchFailure counts a failed fetch by its cause, and reports whether it counts as a failure of the store.
func (c *counts) countFetchFailure(err error) (storeFailed bool) {
	formatErr, isFormat := errors.AsType[*piece.FormatError](err)
	switch {
	case failure.Is(err, failure.NotFound):
		c.missed.Inc(1)
		return false
	case isFormat && formatErr.Reason == piece.Mismatch:
		c.foreign.Inc(1)
	case isFormat:
		c.corrupt.Inc(1)
	default:
		c.failed.Inc(1)
	}
	return true
}
