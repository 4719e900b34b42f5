package scenarios

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/internal/fleet"
	"github.com/wasabishunt/wasabishunt/internal/workload"
	"github.com/wasabishunt/wasabishunt/prompt"
)

var (
	storeLoss = flag.Bool("store-loss", false, "runs TestStoreLoss")
	// agentArguments allows measuring one build under several settings.
	agentArguments = flag.String("agent-arguments", "", "further arguments of the agents in TestStoreLoss, separated by spaces")
)

// Sizes of the measurement: the prompts have several times as many pieces as both engines can cache.
const (
	lossPrompts = 16
	lossTokens  = 8_010 // Four pieces and a part.
	lossCache   = 16_000
	// settleTime is how long the counters must not change before they are read.
	settleTime = 2 * time.Second
	// lossTimeout limits one wait.
	lossTimeout = time.Minute
)

// TestStoreLoss measures the costs and savings of a second copy of pieces: prompts are repeated before, during and after
// the loss of one of two stores, which restarts empty. It prints figures for docs/measurements.md and fails only if a
// request fails. It runs only with -store-loss.
func TestStoreLoss(t *testing.T) {
	if !*storeLoss {
		t.Skip("no -store-loss")
	}
	m := &lossRun{t: t, caller: workload.NewCaller()}
	m.start()
	t.Cleanup(m.caller.Close)
	m.round("first use")
	m.round("return with both stores")
	require.NoError(t, m.process("store-1").Kill())
	require.NoError(t, os.RemoveAll(m.fleet.DataDir("store-1")))
	m.round("return with one store")
	require.NoError(t, m.fleet.Start("store-1"))
	started := time.Now()
	last := m.settle()
	t.Logf("the empty store has %d pieces again %.1f s after its start", last["store-1 wasabishunt_store_pieces"], m.lastChange.Sub(started).Seconds())
	m.round("return after the refill")
}

type lossRun struct {
	t      *testing.T
	fleet  *fleet.Fleet
	caller *workload.Caller
	// lastChange is when a counter last changed.
	lastChange time.Time
}

func (m *lossRun) start() {
	directory := m.t.TempDir()
	shape := fleet.Shape{
		Controls: 3, Entries: 1, Stores: 2, Accounts: 1,
		Upstreams: []fleet.UpstreamShape{{CacheTokens: lossCache}, {CacheTokens: lossCache}},
	}
	f, err := fleet.New(shape, programs(m.t), directory)
	require.NoError(m.t, err)
	m.t.Cleanup(f.Close)
	m.fleet = f
	for _, name := range f.Names() {
		var extraArgs []string
		if strings.HasPrefix(name, "agent-") {
			extraArgs = strings.Fields(*agentArguments)
		}
		require.NoError(m.t, f.Start(name, extraArgs...))
	}
	document, err := json.Marshal(f.ObjectSet())
	require.NoError(m.t, err)
	path := filepath.Join(directory, "set.json")
	require.NoError(m.t, os.WriteFile(path, document, 0o600))
	_, err = f.OperateUntilDone(m.t.Context(), lossTimeout, fleet.Operator, "publish", path, "--expect-version", "0")
	require.NoError(m.t, err)
	require.NoError(m.t, f.AwaitReady(m.t.Context(), 0))
	result, err := f.Operate(m.t.Context(), fleet.Operator, "watch", "--wait", "10s")
	require.NoError(m.t, err)
	require.Zero(m.t, result.ExitCode, result.Stdout+result.Stderr)
}

func (m *lossRun) process(name string) interface{ Kill() error } {
	p, err := m.fleet.Process(name)
	require.NoError(m.t, err)
	return p
}

// round sends each prompt once, waits until all exports have ended, and prints the tokens and bytes that were needed.
func (m *lossRun) round(label string) {
	before := m.counters()
	var total, cached int64
	for i := range lossPrompts {
		answer := m.ask(i)
		require.True(m.t, answer.Complete, "%v", answer.Failure)
		total += answer.PromptTokens
		cached += answer.CachedTokens
	}
	after := m.settle()
	sum := func(name string) (n int64) {
		for key, value := range after {
			if strings.HasSuffix(key, name) {
				n += value - before[key]
			}
		}
		return n
	}
	m.t.Logf("%s: %d of %d prompt tokens computed, exported %d bytes, fetched %d bytes, store-1 holds %d bytes, store-2 %d",
		label, total-cached, total, sum("pieces_exported_bytes"), sum("pieces_fetched_bytes"),
		after["store-1 wasabishunt_store_disk_bytes"], after["store-2 wasabishunt_store_disk_bytes"])
}

func (m *lossRun) ask(topic int) workload.Answer {
	var rulebook strings.Builder
	for i := range lossTokens {
		fmt.Fprintf(&rulebook, "topic%d-%d ", topic, i)
	}
	ctx, cancel := context.WithTimeout(m.t.Context(), lossTimeout)
	defer cancel()
	return m.caller.Ask(ctx, m.fleet.EntryURL(0), workload.Question{
		Account: fleet.AccountName(0), Key: fleet.AccountKey(0), Model: fleet.Model, Tokens: 4,
		Messages: []prompt.Message{{Role: "system", Content: rulebook.String()}, {Role: "user", Content: "question"}},
	})
}

// settle waits until no counter of agents and stores has changed for a while, and returns them.
func (m *lossRun) settle() map[string]int64 {
	last := m.counters()
	m.lastChange = time.Now()
	ctx, cancel := context.WithTimeout(m.t.Context(), lossTimeout)
	defer cancel()
	require.NoError(m.t, fleet.Poll(ctx, func() error {
		now := m.counters()
		if fmt.Sprint(now) != fmt.Sprint(last) {
			last, m.lastChange = now, time.Now()
		}
		if time.Since(m.lastChange) < settleTime {
			return &unsettledError{}
		}
		return nil
	}))
	return last
}

type unsettledError struct{}

func (*unsettledError) Error() string { return "counters still change" }

// counters reads the metrics of pieces from agents and stores; a process that does not answer is skipped.
func (m *lossRun) counters() map[string]int64 {
	all := map[string]int64{}
	for _, name := range []string{"agent-1", "agent-2", "store-1", "store-2"} {
		metrics, err := m.fleet.Metrics(m.t.Context(), name)
		if err != nil {
			continue
		}
		for metric, value := range metrics {
			if strings.Contains(metric, "_pieces_") || strings.Contains(metric, "_store_") {
				all[name+" "+metric] = int64(value)
			}
		}
	}
	return all
}
