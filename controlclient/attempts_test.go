package controlclient

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

const (
	// silenceAllowed is what each silent member may add to a call: eight of them fit into the 5 s of a booking, with time for an election.
	silenceAllowed = 300 * time.Millisecond
	// answerTime is the time that a member which is not silent may take.
	answerTime = 500 * time.Millisecond
)

// clientOf returns a client that tries the members in the given order, the first one as leader.
func clientOf(t *testing.T, members []*fakeMember) *Client {
	addresses := make([]string, len(members))
	for i, m := range members {
		addresses[i] = m.address
	}
	client := NewClient(ClientOptions{Addresses: addresses})
	client.directory.setLeader(addresses[0])
	t.Cleanup(func() { require.NoError(t, client.Close()) })
	return client
}

func claimWithin(t *testing.T, client *Client, limit time.Duration) {
	t.Helper()
	began := time.Now()
	response, err := client.ClaimBooking(t.Context(), &controlpb.ClaimBookingRequest{})
	elapsed := time.Since(began)
	require.NoError(t, err)
	require.True(t, response.GetGranted())
	require.Less(t, elapsed, limit)
}

// Guards against a booking that waits seconds for each of several silent members in turn.
func TestSilentMembersDoNotDelayACall(t *testing.T) {
	members := startMembers(t, 3)
	members[0].relay.Cut("*")
	members[1].relay.Cut("*")
	claimWithin(t, clientOf(t, members), 2*silenceAllowed+answerTime)
}

// Guards against a booking that waits for the end of the attempt at a silent leader although the others have elected a new one, because
// they named the silent one when they were asked first.
func TestSilentLeaderDoesNotDelayACall(t *testing.T) {
	members := startMembers(t, 3)
	members[0].relay.Cut("*")
	members[1].follow(members[0].address)
	members[2].follow(members[0].address)
	const election = 400 * time.Millisecond
	elected := time.AfterFunc(election, func() {
		members[1].follow(members[2].address)
		members[2].follow("")
	})
	defer elected.Stop()
	// A pause between attempts is 0.5 s plus half of that at random.
	claimWithin(t, clientOf(t, members), election+750*time.Millisecond+answerTime)
}

// Guards against a call that is reported as not run although the attempt at a silent member may have reached the log.
func TestSilentAttemptLeavesTheOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(ClientOptions{Addresses: []string{"a", "b", "c"}, Timeout: time.Second})
		defer func() { require.NoError(t, client.Close()) }()
		var made, silent, together atomic.Int32
		_, err := do(t.Context(), client, func(ctx context.Context, _ controlpb.DRPCControlClient) (*controlpb.BookingResponse, error) {
			if made.Add(1) == 1 {
				silent.Add(1)
				<-ctx.Done()
				silent.Add(-1)
				return nil, ctx.Err()
			}
			together.Add(silent.Load())
			return &controlpb.BookingResponse{Failure: &controlpb.Failure{Kind: string(failure.NotLeader), Execution: string(failure.NotRun), LeaderAddress: "a"}}, nil
		})
		require.Equal(t, failure.Unknown, failure.Of(err).Execution)
		require.Positive(t, together.Load(), "others were asked meanwhile")
	})
}

// Guards against a call that asks a silent member again and again, and against one that gives up attempts in progress once
// MaxAttempts are made.
func TestLateResponseOfTheLastAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(ClientOptions{Addresses: []string{"a", "b"}, MaxAttempts: 2})
		defer func() { require.NoError(t, client.Close()) }()
		var made atomic.Int32
		began := time.Now()
		response, err := do(t.Context(), client, func(context.Context, controlpb.DRPCControlClient) (*controlpb.BookingResponse, error) {
			if made.Add(1) == 1 {
				time.Sleep(1500 * time.Millisecond)
				return &controlpb.BookingResponse{Granted: true}, nil
			}
			return &controlpb.BookingResponse{Failure: &controlpb.Failure{Kind: string(failure.NotLeader), Execution: string(failure.NotRun), LeaderAddress: "a"}}, nil
		})
		require.NoError(t, err)
		require.True(t, response.GetGranted())
		require.Equal(t, 1500*time.Millisecond, time.Since(began))
		require.EqualValues(t, 2, made.Load())
	})
}

// Guards against copies of a large set that compete with the one which a silent leader is receiving over a slow link.
func TestLargeSetIsSentToOneMember(t *testing.T) {
	for _, bytes := range []int{maxCopiedBytes, maxCopiedBytes + 1} {
		members := startMembers(t, 2)
		members[0].relay.Cut("*")
		client := clientOf(t, members)
		healed := time.AfterFunc(silentAttemptLimit+answerTime, members[0].relay.Heal)
		response, err := client.Publish(t.Context(), &controlpb.PublishRequest{Document: make([]byte, bytes)})
		healed.Stop()
		require.NoError(t, err)
		copied := response.GetVersion() == members[1].publishedAs
		require.Equal(t, bytes <= maxCopiedBytes, copied)
	}
}

// Guards against a member that counts as unresponsive because its attempt was cancelled right after it began.
func TestCancelledAttemptIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(ClientOptions{Addresses: []string{"a", "b"}})
		defer func() { require.NoError(t, client.Close()) }()
		var made atomic.Int32
		_, err := do(t.Context(), client, func(ctx context.Context, _ controlpb.DRPCControlClient) (*controlpb.BookingResponse, error) {
			if made.Add(1) == 1 {
				time.Sleep(silentAttemptLimit + 50*time.Millisecond)
				return &controlpb.BookingResponse{Granted: true}, nil
			}
			<-ctx.Done()
			return nil, ctx.Err()
		})
		require.NoError(t, err)
		require.EqualValues(t, 2, made.Load())
		require.Empty(t, client.directory.unresponsive)
	})
}
