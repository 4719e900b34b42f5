package gateway

import gometrics "github.com/rcrowley/go-metrics"

type meters struct {
	requests, failed, refused, retries, broken, resumed, crashes, quarantined, trials, aboveShare, shortages, readAhead, slowCallers gometrics.Counter
	// cached, fetched and recomputed count prompt tokens as estimated when requests were sent.
	cached, fetched, recomputed gometrics.Counter
	firstByte, total            gometrics.Timer
}

func newMeters(r gometrics.Registry) meters {
	return meters{
		requests: gometrics.GetOrRegisterCounter("gateway.requests", r), failed: gometrics.GetOrRegisterCounter("gateway.failed", r),
		refused: gometrics.GetOrRegisterCounter("gateway.refused", r), retries: gometrics.GetOrRegisterCounter("gateway.retries", r),
		broken: gometrics.GetOrRegisterCounter("gateway.broken", r), resumed: gometrics.GetOrRegisterCounter("gateway.resumed", r),
		cached: gometrics.GetOrRegisterCounter("gateway.cached_tokens", r), fetched: gometrics.GetOrRegisterCounter("gateway.fetched_tokens", r),
		recomputed: gometrics.GetOrRegisterCounter("gateway.reread_tokens", r),
		crashes:    gometrics.GetOrRegisterCounter("gateway.crashes", r), quarantined: gometrics.GetOrRegisterCounter("gateway.quarantined", r),
		trials:     gometrics.GetOrRegisterCounter("gateway.quarantine_trials", r),
		aboveShare: gometrics.GetOrRegisterCounter("gateway.above_share", r), shortages: gometrics.GetOrRegisterCounter("gateway.shortages", r),
		readAhead: gometrics.GetOrRegisterCounter("gateway.read_ahead", r), slowCallers: gometrics.GetOrRegisterCounter("gateway.slow_callers", r),
		firstByte: gometrics.GetOrRegisterTimer("gateway.first_byte", r), total: gometrics.GetOrRegisterTimer("gateway.total", r),
	}
}
