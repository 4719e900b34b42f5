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

// neverReturned is the return time of writes of unknown outcome, which may take effect at any later time.
const neverReturned = time.Hour

// checkLimit is the time for a check.
const checkLimit = 20 * time.Second

// check checks a history. Any verdict but Ok fails the test and logs the history.
func check(t *testing.T, ops []porcupine.Operation) {
	verdict := porcupine.CheckOperationsTimeout(registerModel, boundUnknownWrites(ops), checkLimit)
	if verdict == porcupine.Ok {
		return
	}
	for _, op := range ops {
		t.Logf("client %d write %t value %d call %d output %d return %d",
			op.ClientId, op.Input.(registerInput).write, op.Input.(registerInput).value, op.Call, op.Output, op.Return)
	}
	require.Equal(t, porcupine.Ok, verdict)
}

// boundUnknownWrites returns a history with the same verdict that takes less time to check. Written values are distinct. A write of
// unknown outcome whose value no read returns may as well take effect after all other operations, so it is left out. One whose
// value is read takes effect before the first such read returns. Otherwise the checker tries all subsets of the writes that
// have not returned, each time that a read does not match.
func boundUnknownWrites(ops []porcupine.Operation) []porcupine.Operation {
	firstReturn := map[uint64]int64{}
	for _, op := range ops {
		if op.Input.(registerInput).write {
			continue
		}
		value := op.Output.(uint64)
		if first, ok := firstReturn[value]; !ok || op.Return < first {
			firstReturn[value] = op.Return
		}
	}
	var bounded []porcupine.Operation
	for _, op := range ops {
		in := op.Input.(registerInput)
		if in.write && op.Return == int64(neverReturned) {
			first, read := firstReturn[in.value]
			if !read {
				continue
			}
			op.Return = max(op.Call, first)
		}
		bounded = append(bounded, op)
	}
	return bounded
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
	check(t, h.ops)
}

// Guards against a check that ends without a verdict because many writes have an unknown outcome, and against one that then
// accepts a stale read, a read of a value that is never written, or a value that returns.
func TestManyUnknownWritesAreChecked(t *testing.T) {
	t.Parallel()
	const first, second, unwritten = 1, 2, 3
	var ops []porcupine.Operation
	add := func(write bool, value uint64, call, returned time.Duration) {
		op := porcupine.Operation{ClientId: len(ops), Input: registerInput{}, Call: int64(call), Output: value, Return: int64(returned)}
		if write {
			op.Input, op.Output = registerInput{write: true, value: value}, uint64(0)
		}
		ops = append(ops, op)
	}
	now := time.Duration(0)
	next := func() time.Duration { now++; return now }
	add(true, first, next(), next())
	for i := range 40 {
		add(true, uint64(100+i), next(), neverReturned)
	}
	for range 10 {
		add(false, first, next(), next())
	}
	add(false, 120, next(), next())
	add(true, second, next(), next())
	for range 10 {
		add(false, second, next(), next())
	}
	verdict := func(extra ...uint64) porcupine.CheckResult {
		whole, end := ops, now
		defer func() { ops, now = whole, end }()
		for _, value := range extra {
			add(false, value, next(), next())
		}
		return porcupine.CheckOperationsTimeout(registerModel, boundUnknownWrites(ops), checkLimit)
	}
	require.Equal(t, porcupine.Ok, verdict())
	require.Equal(t, porcupine.Ok, verdict(121, 139), "writes of unknown outcome take effect late")
	require.Equal(t, porcupine.Illegal, verdict(first))
	require.Equal(t, porcupine.Illegal, verdict(unwritten))
	require.Equal(t, porcupine.Illegal, verdict(120))
	require.Equal(t, porcupine.Illegal, verdict(121, second))
	require.Equal(t, porcupine.Illegal, verdict(121, 139, 121))
}

// Guards against a bounded history whose verdict differs from that of the whole one.
func TestBoundUnknownWritesKeepsTheVerdict(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(1, 1))
	verdicts := map[porcupine.CheckResult]int{}
	for range 20_000 {
		var ops []porcupine.Operation
		for i := range 9 {
			call := random.Int64N(20)
			op := porcupine.Operation{ClientId: i, Input: registerInput{}, Call: call, Output: uint64(random.IntN(6)), Return: call + 1 + random.Int64N(10)}
			if i < 5 {
				op.Input, op.Output = registerInput{write: true, value: uint64(i + 1)}, uint64(0)
				if i < 3 {
					op.Return = int64(neverReturned)
				}
			}
			ops = append(ops, op)
		}
		want := porcupine.CheckOperationsTimeout(registerModel, ops, checkLimit)
		require.Equal(t, want, porcupine.CheckOperationsTimeout(registerModel, boundUnknownWrites(ops), checkLimit), "%v", ops)
		verdicts[want]++
	}
	require.Greater(t, verdicts[porcupine.Ok], 1000)
	require.Greater(t, verdicts[porcupine.Illegal], 1000)
}

// cutLeader isolates the leader until another one is elected, and waits until the old one follows it. The old one may also be elected again by
// then, in a newer term: its own term does not change while it is isolated.
func cutLeader(t *testing.T, g *group) {
	old := g.leader()
	defer g.logStatesIfFailed()
	g.isolate(old.options.ID)
	require.Eventually(t, func() bool {
		id, _ := g.other(old).Leader()
		return id != 0 && id != old.options.ID
	}, 2*failoverLimit, 5*time.Millisecond, "no other leader is elected")
	term := g.other(old).Status().Term
	g.heal()
	require.Eventually(t, func() bool {
		id, _ := old.Leader()
		return id != 0 && old.Status().Term >= term && old.Fresh()
	}, 2*failoverLimit, 5*time.Millisecond, "the old leader does not return")
}

func (g *group) logStatesIfFailed() {
	if !g.t.Failed() {
		return
	}
	for id, p := range g.members {
		s := p.Status()
		g.t.Logf("member %d: role %v, term %d, leader %d, commit %d, last %d, fresh %t", id, s.Role, s.Term, s.Leader, s.Commit, s.LastIndex, p.Fresh())
	}
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
			h.add(1000*(client+1)+int(n), in, call, 0, neverReturned)
		}
	}
}
