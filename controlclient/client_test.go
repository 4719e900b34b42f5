package controlclient

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// TestOutcomeAtTheTimeLimit guards against a call whose answers say that its outcome is not known, and that is reported as not
// run when its time ends, which an operator would take as leave to change something else.
func TestOutcomeAtTheTimeLimit(t *testing.T) {
	const limit = 500 * time.Millisecond
	lost := &controlpb.Failure{Kind: string(ProposalLost), Execution: string(failure.Unknown)}
	refused := &controlpb.Failure{Kind: string(failure.NoQuorum), Execution: string(failure.NotRun)}
	unreachable := failure.New(failure.NoUpstream, failure.NotRun, "connect")
	for name, c := range map[string]struct {
		// first is the answer of the first attempt, then that of all others.
		first, then *controlpb.Failure
		thenErr     error
		want        failure.Execution
	}{
		"all answers lost":              {first: lost, then: lost, want: failure.Unknown},
		"first answer lost, then none":  {first: lost, thenErr: unreachable, want: failure.Unknown},
		"first answer lost, then no":    {first: lost, then: refused, want: failure.Unknown},
		"last answers lost":             {first: refused, then: lost, want: failure.Unknown},
		"all refused":                   {first: refused, then: refused, want: failure.NotRun},
		"first refused, then none":      {first: refused, thenErr: unreachable, want: failure.NotRun},
		"first refused, then cut off":   {first: refused, thenErr: failure.New(failure.StreamBroken, failure.Unknown, "cut"), want: failure.Unknown},
		"first refused, then no answer": {first: refused, thenErr: context.DeadlineExceeded, want: failure.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := NewClient(ClientOptions{Addresses: []string{"a"}, Timeout: limit})
				defer func() { require.NoError(t, client.Close()) }()
				attempts := 0
				started := time.Now()
				_, err := do(t.Context(), client, func(context.Context, controlpb.DRPCControlClient) (*controlpb.PublishResponse, error) {
					attempts++
					if attempts == 1 {
						return &controlpb.PublishResponse{Failure: c.first}, nil
					}
					return &controlpb.PublishResponse{Failure: c.then}, c.thenErr
				})
				require.Equal(t, c.want, failure.Of(err).Execution)
				require.Equal(t, limit, time.Since(started))
				require.Greater(t, attempts, 2)
			})
		})
	}
}
