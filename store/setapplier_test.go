package store

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/linksched"
	"github.com/wasabishunt/wasabishunt/objectset"
)

// source is a controlclient.Source whose view is set by tests.
type source struct {
	mu      sync.Mutex
	view    controlclient.View
	changed chan struct{}
}

func (s *source) Current() controlclient.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *source) Observe(uint64) {}

func (s *source) set(view controlclient.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = view
	close(s.changed)
	s.changed = make(chan struct{})
}

// Guards against a store that does not apply a new set, and against a lost peer that changes the placement.
func TestSetApplierAppliesTheCurrentSet(t *testing.T) {
	s := open(t, newMemFS(), Settings{})
	applier := NewSetApplier("a")
	link := NewLink(0, applier.Order)
	defer link.Close()
	views := &source{changed: make(chan struct{})}
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	tasks.Go(func() { applier.Run(ctx, views, s, link) })
	defer tasks.Wait()
	defer cancel()
	view := controlclient.View{
		Set: &objectset.Set{
			Ranks:    []objectset.Rank{{Name: "counter", Order: 1}},
			Stores:   []objectset.Store{{Name: "a", LinkBytesPerSecond: 5e6}, {Name: "b", Address: "127.0.0.1:2"}},
			Accounts: []objectset.Account{{Name: "large", Weight: 3}},
		},
		Processes: map[string]controlclient.Process{"p": {Role: Role, Serves: "b", State: controlclient.Live}},
	}
	views.set(view)
	<-applier.PeersChanged()
	require.Eventually(t, func() bool { return len(applier.Peers()) == 1 }, 5*time.Second, time.Millisecond)
	assert.Equal(t, []Peer{{"b", "127.0.0.1:2"}}, applier.Peers())
	assert.Equal(t, 1, applier.Order("counter"))
	assert.Equal(t, unknownRankOrder, applier.Order("other"))
	_, rate := link.Wait("counter")
	assert.InDelta(t, 5e6, rate, 0)
	view.Processes = map[string]controlclient.Process{"p": {Role: Role, Serves: "b", State: controlclient.Dead}}
	views.set(view)
	require.Eventually(t, func() bool { return applier.Peers()[0].Address == "" }, 5*time.Second, time.Millisecond)
}

// Guards against a drain that interrupts a transfer or admits new ones.
func TestDrainWaitsForTransfers(t *testing.T) {
	link := NewLink(0, func(string) int { return 0 })
	defer link.Close()
	server := NewServer(open(t, newMemFS(), Settings{}), link, ServerOptions{QueueTimeout: 10 * time.Millisecond})
	release, err := server.admit(t.Context(), 1000)
	require.NoError(t, err)
	shortCtx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	require.Error(t, server.Drain(shortCtx))
	release()
	require.NoError(t, server.Drain(t.Context()))
	_, err = server.admit(t.Context(), 1)
	assert.True(t, failure.Is(err, failure.Overloaded))
}

// Guards against transfers that wait forever after the link's rate changes or the link is closed.
func TestRateChangeAndCloseReleaseTransfers(t *testing.T) {
	for _, release := range []func(*Link){
		func(l *Link) { l.SetRate(2) }, func(l *Link) { l.SetRate(0) }, (*Link).Close,
	} {
		link := NewLink(1, func(string) int { return 0 }) // One byte a second: the transfer ends in time only if released.
		transfer, err := link.Begin("urgent", 10*linkChunkBytes)
		require.NoError(t, err)
		taken := make(chan error, 1)
		go func() { taken <- takeAll(t.Context(), transfer, 10*linkChunkBytes) }()
		release(link)
		require.NoError(t, <-taken)
		transfer.End()
		link.Close()
	}
}

// Guards against a bulk transfer that waits forever after an urgent one has replaced it in a full queue.
func TestDisplacedTransferEnds(t *testing.T) {
	link := NewLink(1, func(string) int { return 0 }) // One byte a second: only the first chunk is granted.
	defer link.Close()
	begin := func(rank string) *Transfer {
		transfer, err := link.Begin(rank, 10*linkChunkBytes)
		require.NoError(t, err)
		return transfer
	}
	begin("urgent")
	bulk := begin(RankBulk)
	taken := make(chan error, 1)
	go func() { taken <- takeAll(t.Context(), bulk, 10*linkChunkBytes) }()
	for range linksched.Defaults(1).MaxQueued - 1 {
		begin("urgent")
	}
	require.ErrorContains(t, <-taken, string(failure.Overloaded))
	bulk.End()
}

// Guards against a link that exceeds its rate: 4 chunks at 4 MB/s take at least 3 chunk times.
func TestLinkKeepsItsRate(t *testing.T) {
	link := NewLink(4e6, func(string) int { return 0 })
	defer link.Close()
	begin := time.Now()
	transfer, err := link.Begin("urgent", 4*linkChunkBytes)
	require.NoError(t, err)
	require.NoError(t, takeAll(t.Context(), transfer, 4*linkChunkBytes))
	assert.GreaterOrEqual(t, time.Since(begin).Seconds(), 3*float64(linkChunkBytes)/4e6-maxGrantAhead.Seconds())
}
