package agent

import (
	"time"

	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/admission"
	"github.com/wasabishunt/wasabishunt/agent/kv"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
	"github.com/wasabishunt/wasabishunt/sched"
)

// newMover returns the mover of an engine's pieces, or nil for a plain service.
func newMover(a *Agent) *kv.Mover {
	if a.deps.Engine == nil {
		return nil
	}
	return kv.New(a.options.Pieces, kv.Dependencies{
		Source: a.deps.Source, Engine: a.deps.Engine, Stores: a.deps.Stores, Cache: a.cache,
		Clock: a.deps.Clock, Registry: a.deps.Registry, Log: a.deps.Log,
	})
}

// preparePieces brings missing pieces of the job's prompt into the engine before the job is queued. Meanwhile it sends
// heartbeats to the entry; an error means that the entry has disconnected.
func (a *Agent) preparePieces(stream agentpb.DRPCAgent_GenerateStream, j *job, cancel func()) error {
	if len(j.pieces) == 0 {
		return nil
	}
	done := make(chan *kv.Session, 1)
	go func() { done <- a.pieces.Prepare(j.ctx, a.pieceRequest(j)) }() // Does not leak: each return path receives from done.
	heartbeat := time.NewTicker(a.options.Heartbeat)
	defer heartbeat.Stop()
	var sendErr error
	for {
		select {
		case j.session = <-done:
			j.cachedTokens = a.cache.prefixTokens(j.pieces)
			j.decisions = append(j.decisions, j.session.Decisions...)
			return sendErr
		case <-heartbeat.C:
			if sendErr == nil {
				sendErr = stream.Send(a.acceptedEvent(j))
			}
			if sendErr != nil {
				cancel()
			}
		}
	}
}

// refetchEvicted brings back pieces that the engine has evicted while the job was queued. The job already holds its run
// slot, but a fetch must still be faster than the recomputation.
func (a *Agent) refetchEvicted(j *job) {
	if j.session == nil || a.cache.prefixTokens(j.pieces) >= j.cachedTokens {
		return
	}
	j.session.Refetch(j.ctx)
	j.decisions = append(j.decisions, "kv: pieces were evicted while the request was queued")
	j.decisions = append(j.decisions, j.session.Decisions...)
	j.cachedTokens = a.cache.prefixTokens(j.pieces)
}

func (a *Agent) pieceRequest(j *job) kv.Request {
	deadline, _ := j.ctx.Deadline()
	return kv.Request{
		ID: j.id, Rank: j.rank.Name, Scope: pieceScope(j.account, j.request), Pieces: j.pieces, PromptTokens: j.promptTokens,
		PieceBytes: pieceBytes(a.deps.Source.Current().Set, j.request.GetModel()), Deadline: deadline,
		Engine: func() kv.EngineState { return a.engineState(j) },
	}
}

func pieceBytes(set *objectset.Set, model string) int64 {
	found, _ := lo.Find(set.Models, func(m objectset.Model) bool { return m.Name == model })
	return found.BytesPerToken * piece.TokensPerPiece
}

// engineState returns the state of the engine for a fetch plan of the job.
func (a *Agent) engineState(j *job) kv.EngineState {
	now := a.deps.Clock.Now()
	prefill, _ := a.rates.current()
	wait := a.weights.expectedWait()
	runTime := a.rates.runTime()
	tokens := max(0, j.promptTokens-a.cache.prefixTokens(j.pieces))
	a.mu.Lock()
	defer a.mu.Unlock()
	first := admission.Estimate(
		admission.Request{Account: j.account.Name, Rank: j.rank.Name, VersionWait: wait, PromptTokens: tokens},
		admission.State{Now: now, Ahead: a.queue.AheadOf(j.rank.Name, j.account.Name, tokens), PrefillRate: prefill, RunTime: runTime},
	)
	state := kv.EngineState{PrefillRate: prefill, LongShare: 1}
	if prefill > 0 {
		state.PrefillWait = max(0, first-time.Duration(float64(tokens)/prefill*float64(time.Second)))
	}
	if a.queue.Load().QueuedRequests > 0 {
		state.LongShare = sched.Defaults().LongShare
	}
	return state
}
