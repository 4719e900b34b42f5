package capacity

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

const (
	// bookingsPerRun is the number of complete bookings in one run.
	bookingsPerRun = 3000
	// answerBytes is the size of a stored answer.
	answerBytes = 200
	// bookingProcess is the process that dispatches the bookings.
	bookingProcess = "process-00000"
)

// measureBookings makes complete bookings (claim, dispatch, finish) through the replicated log with syncs.
func measureBookings(ctx context.Context, o Options) ([]*Table, error) {
	t := &Table{
		Title: "Whole bookings (3 commands each) through the replicated log, all members on this machine",
		Columns: []string{
			"members", "callers at once", "bookings/s", "CPU per booking, ms", "bytes on links per booking",
			"log bytes per booking and member", "mean time of a booking, ms",
		},
	}
	for _, members := range []int{3, 5} {
		for _, callers := range []int{1, 32, 128} {
			var runs [5][]float64
			for range o.Repeats {
				values, err := runBookings(ctx, o, members, callers)
				if err != nil {
					return nil, err
				}
				for i, value := range values {
					runs[i] = append(runs[i], value)
				}
			}
			t.add(members, callers, spread(runs[0]), spread(runs[1]), spread(runs[2]), spread(runs[3]), spread(runs[4]))
			progress("bookings: %d members, %d callers", members, callers)
		}
	}
	return []*Table{t}, nil
}

func runBookings(ctx context.Context, o Options, members, callers int) (values [5]float64, err error) {
	g, err := startGroup(o.Dir, members)
	if err != nil {
		return values, err
	}
	defer func() { _ = g.close() }()
	w := newWatchers(ctx)
	defer w.close()
	if err := g.publish(ctx, newSet(15, 100)); err != nil {
		return values, err
	}
	w.start(g, 1)
	if err := w.await(ctx, func(v controlclient.View) bool { return v.Epoch > 0 && len(v.Processes) == 1 }); err != nil {
		return values, err
	}
	count := bookingsPerRun
	if callers == 1 {
		count /= 20
	}
	began, used, bytes, disk := time.Now(), cpu(), g.traffic.total(), g.diskBytes()
	if err := makeBookings(ctx, g.client, w.list[0].Current().Epoch, callers, count); err != nil {
		return values, err
	}
	elapsed, n := time.Since(began).Seconds(), float64(count)
	return [5]float64{
		n / elapsed, 1000 * (cpu() - used).Seconds() / n, (g.traffic.total() - bytes) / n,
		float64(g.diskBytes()-disk) / n / float64(members), 1000 * elapsed * float64(callers) / n,
	}, nil
}

// makeBookings makes bookings from several callers in parallel.
func makeBookings(ctx context.Context, client *controlclient.Client, epoch uint64, callers, count int) error {
	var next atomic.Int64
	group, ctx := errgroup.WithContext(ctx)
	for range callers {
		group.Go(func() error {
			for i := next.Add(1); i <= int64(count); i = next.Add(1) {
				if err := makeBooking(ctx, client, epoch, i); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return group.Wait()
}

func makeBooking(ctx context.Context, client *controlclient.Client, epoch uint64, number int64) error {
	claim, dispatch, finish := bookingCommands(number, time.Now().UnixMilli(), epoch)
	claimed, err := client.ClaimBooking(ctx, claim)
	if err != nil {
		return err
	}
	dispatch.ClaimEpoch = claimed.ClaimEpoch
	if _, err := client.DispatchBooking(ctx, dispatch); err != nil {
		return err
	}
	_, err = client.FinishBooking(ctx, finish)
	return err
}

// bookingCommands returns the commands of one complete booking, with ids and hashes of the usual sizes.
func bookingCommands(number, now int64, epoch uint64) (*controlpb.ClaimBookingRequest, *controlpb.DispatchBookingRequest, *controlpb.FinishBookingRequest) {
	id := fmt.Sprintf("%08x-0000-7000-8000-000000000000", number)
	key := &controlpb.BookingKey{Account: fmt.Sprintf("account-%05d", number%100), IdempotencyKey: id}
	claim := &controlpb.ClaimBookingRequest{
		Key: key, PayloadHash: make([]byte, 32), IssuedUnixMs: now, Service: "orders", RequestId: id, ClaimId: id,
	}
	dispatch := &controlpb.DispatchBookingRequest{
		Key: key, ClaimEpoch: 1, DispatchId: id, ProcessId: bookingProcess, ProcessEpoch: epoch,
	}
	finish := &controlpb.FinishBookingRequest{
		Key: key, DispatchId: id, Status: 200, Headers: map[string]string{"Content-Type": "application/json"}, Body: make([]byte, answerBytes),
	}
	return claim, dispatch, finish
}
