package fleetview

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against a node that never finds the core because the addresses of former members, which nodes tell each other without an age, take
// all its streams.
func TestSearchReachesAddressesBehindFormerMembers(t *testing.T) {
	t.Parallel()
	var former []string
	for i := range 3 * maxStreams {
		former = append(former, fmt.Sprintf("10.0.0.%d:1", i))
	}
	const seed = "10.0.1.1:1"
	var mu sync.Mutex
	dialed := map[string]int{}
	watcher := &Watcher{
		Node: "n", Contacts: func() []string { return former }, Seeds: func() []string { return []string{seed} }, Log: zap.NewNop(),
		Dial: func(_ context.Context, address string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			dialed[address]++
			return nil, errors.New("no route")
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	tasks.Go(func() { watcher.Run(ctx) })
	require.Eventually(t, func() bool {
		mu.Lock()
		defer mu.Unlock()
		return dialed[seed] > 0
	}, 5*searchInterval, 10*time.Millisecond)
}
