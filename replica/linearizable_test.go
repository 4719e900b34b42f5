package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
)

type registerInput struct {
	write bool
	value uint64
}

// registerModel models a register with one number. The outputs of writes are not checked.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return output.(uint64) == state.(uint64), state
	},
}

// history collects the operations of all clients.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
	reads int
}

func (h *history) add(client int, in registerInput, call time.Duration, out uint64, returned time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: in, Call: int64(call), Output: out, Return: int64(returned)})
	if !in.write {
		h.reads++
	}
}

// enough reports whether the history holds enough reads and writes for a meaningful check.
func (h *history) enough() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads > 50 && len(h.ops)-h.reads > 50
}

// TestLinearizable guards against stale reads and lost or duplicated writes while leaders are isolated and return. A
// write of unknown outcome may take effect at any later time, one with execution not_run never.
func TestLinearizable(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3, func(o *Options) {
		o.SnapshotEvery, o.TrailingEntries, o.AckTimeout = 40, 10, 500*time.Millisecond
		o.Election = 300 * time.Millisecond
	})
	g.leader()
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	h := &history{start: time.Now()}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var clients sync.WaitGroup
	for client := range 6 {
		clients.Go(func() { h.client(ctx, g, client, rand.New(rand.NewPCG(seed, uint64(client)))) })
	}
	for range 3 {
		cutLeader(t, g)
	}
	require.Eventually(t, h.enough, failoverLimit, 5*time.Millisecond, "too few operations succeed")
	cancel()
	clients.Wait()
	t.Logf("%d operations, %d reads", len(h.ops), h.reads)
	require.Equal(t, porcupine.Ok, porcupine.CheckOperationsTimeout(registerModel, h.ops, 20*time.Second))
}

// cutLeader isolates the leader until another one is elected, and waits until the old one follows it.
func cutLeader(t *testing.T, g *group) {
	old := g.leader()
	g.isolate(old.options.ID)
	require.Eventually(t, func() bool {
		id, _ := g.other(old).Leader()
		return id != 0 && id != old.options.ID
	}, 2*failoverLimit, 5*time.Millisecond)
	g.heal()
	require.Eventually(t, func() bool {
		id, _ := old.Leader()
		return id != 0 && id != old.options.ID && old.Fresh()
	}, 2*failoverLimit, 5*time.Millisecond, "the old leader does not follow the new one")
}

// leader waits for a leader that is fresh.
func (g *group) leader() (leader *process) {
	require.Eventually(g.t, func() bool {
		for _, p := range g.members {
			if p.Status().Role == raft.Leader && p.Fresh() {
				leader = p
			}
		}
		return leader != nil
	}, 2*failoverLimit, 5*time.Millisecond, "no leader")
	return leader
}

func (g *group) other(p *process) *process {
	return g.members[p.options.ID%3+1]
}

// client writes distinct numbers and reads, on random members, at a bounded rate.
func (h *history) client(ctx context.Context, g *group, client int, random *rand.Rand) {
	pace := time.NewTicker(20 * time.Millisecond)
	defer pace.Stop()
	for n := uint64(1); ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-pace.C:
		}
		p := g.members[uint64(random.IntN(3)+1)]
		callCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		call := time.Since(h.start)
		if random.IntN(2) == 0 {
			if p.ReadBarrier(callCtx) == nil {
				h.add(client, registerInput{}, call, p.machine.get(), time.Since(h.start))
			}
			cancel()
			continue
		}
		in := registerInput{write: true, value: uint64(client+1)<<32 + n}
		if id, _ := p.Leader(); id != 0 {
			p = g.members[id]
		}
		_, err := p.Propose(callCtx, set(in.value))
		cancel()
		switch {
		case err == nil:
			h.add(client, in, call, 0, time.Since(h.start))
		case failure.Of(err).Execution != failure.NotRun:
			// Each write of unknown outcome gets a separate client id, because the operation has not returned.
			h.add(1000*(client+1)+int(n), in, call, 0, time.Hour)
		}
	}
}
