package node

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/wasabishunt/wasabishunt/fleetview"
	"github.com/wasabishunt/wasabishunt/quarantine"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// Guards against nodes that each grant themselves a trial, because the question or its reply does not get through.
func TestNodesAskEachOtherForTrials(t *testing.T) {
	const nodes = 3
	ctx, cancel := context.WithCancel(t.Context())
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	var addresses []string
	var trials []*quarantine.Trials
	for range nodes {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		pool := rpcpool.New(rpcpool.Options{DialTimeout: permitDialTimeout})
		defer func() { _ = pool.Close() }()
		own := quarantine.NewTrials(quarantine.TrialsOptions{Self: listener.Addr().String(), Ask: askTrials(pool), Log: zap.NewNop()})
		mux := drpcmux.New()
		require.NoError(t, nodepb.DRPCRegisterNode(mux, &fleetview.Server{Trials: own.Grant}))
		tasks.Go(func() { _ = drpcserver.New(mux).Serve(ctx, listener) })
		addresses, trials = append(addresses, listener.Addr().String()), append(trials, own)
	}
	for _, own := range trials {
		own.SetNodes(addresses)
	}
	for key := range uint64(20) {
		granted := 0
		for _, own := range trials {
			wait := own.Acquire(ctx, []uint64{key})
			if wait == 0 {
				granted++
				continue
			}
			require.Greater(t, wait, time.Second, "the reply of the owner, not the advice without one")
		}
		require.Equal(t, 1, granted)
	}
}
