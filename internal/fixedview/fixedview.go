// Package fixedview is an in-process substitute for control: View serves a view that its owner sets, and Control answers
// booking and load-slot calls from a real booking table. Tests of entry and agent and package capacity use it.
package fixedview

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/booking"
	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// View is a controlclient.Source. View.mu is a leaf lock: no other lock is acquired while it is held.
type View struct {
	mu       sync.Mutex
	view     controlclient.View
	changed  chan struct{}
	observed uint64
}

var _ controlclient.Source = (*View)(nil)

// New returns a fresh view of the set with version 1 and epoch 1.
func New(set *objectset.Set, processes ...controlclient.Process) *View {
	byID := map[string]controlclient.Process{}
	for _, p := range processes {
		byID[p.ID] = p
	}
	return &View{changed: make(chan struct{}), view: controlclient.View{
		Set: set, Version: 1, Epoch: 1, Revision: 1, Processes: byID, FreshUntil: time.Now().Add(time.Hour),
	}}
}

// Current implements controlclient.Source.
func (v *View) Current() controlclient.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.view
}

// Changed implements controlclient.Source.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// Observe implements controlclient.Source.
func (v *View) Observe(version uint64) {
	v.Change(func(view *controlclient.View) {
		v.observed = max(v.observed, version)
		view.Behind = view.Version < v.observed
	})
}

// Observed returns the highest version that was reported.
func (v *View) Observed() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.observed
}

// Change applies a function to a copy of the view and publishes the result.
func (v *View) Change(change func(*controlclient.View)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := v.view
	next.Processes = maps.Clone(v.view.Processes)
	next.Revision++
	change(&next)
	if next.Version >= v.observed {
		next.Behind = false
	}
	v.view = next
	close(v.changed)
	v.changed = make(chan struct{})
}

// Publish makes a set the current one under the next version.
func (v *View) Publish(set *objectset.Set) {
	v.Change(func(view *controlclient.View) {
		view.Set = set
		view.Version++
	})
}

// Control answers booking and load-slot calls. Control.mu is a leaf lock: no other lock is acquired while it is held.
type Control struct {
	mu     sync.Mutex
	table  *booking.Table
	calls  []string
	slots  map[string]bool
	before func(call string) error
}

// NewControl returns a Control with an empty booking table.
func NewControl() *Control {
	return &Control{table: booking.NewTable(booking.Limits{}), slots: map[string]bool{}}
}

// maxLoading is the number of load slots.
const maxLoading = 2

// BeforeCall sets a function that is called with the name of each call before it takes effect, and may fail it.
func (c *Control) BeforeCall(before func(call string) error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.before = before
}

// Calls returns the names of the calls so far, in order.
func (c *Control) Calls() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.calls...)
}

func (c *Control) begin(call string) error {
	c.mu.Lock()
	c.calls = append(c.calls, call)
	before := c.before
	c.mu.Unlock()
	if before != nil {
		return before(call)
	}
	return nil
}

func (c *Control) book(call string, apply func() *controlpb.BookingResponse) (*controlpb.BookingResponse, error) {
	if err := c.begin(call); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	response := apply()
	return response, controlclient.FromFailure(response.GetFailure())
}

// ClaimBooking claims a key.
func (c *Control) ClaimBooking(_ context.Context, in *controlpb.ClaimBookingRequest) (*controlpb.BookingResponse, error) {
	return c.book("claim", func() *controlpb.BookingResponse { return c.table.Claim(time.Now().UnixMilli(), in) })
}

// DispatchBooking permits the one run of a claim.
func (c *Control) DispatchBooking(_ context.Context, in *controlpb.DispatchBookingRequest) (*controlpb.BookingResponse, error) {
	return c.book("dispatch", func() *controlpb.BookingResponse { return c.table.Dispatch(in, true) })
}

// FinishBooking records an outcome.
func (c *Control) FinishBooking(_ context.Context, in *controlpb.FinishBookingRequest) (*controlpb.BookingResponse, error) {
	return c.book("finish", func() *controlpb.BookingResponse { return c.table.Finish(in) })
}

// ReleaseBooking releases a claim.
func (c *Control) ReleaseBooking(_ context.Context, in *controlpb.ReleaseBookingRequest) (*controlpb.BookingResponse, error) {
	return c.book("release", func() *controlpb.BookingResponse { return c.table.Release(in) })
}

// AcquireLoadSlot grants a load slot if one is free.
func (c *Control) AcquireLoadSlot(_ context.Context, in *controlpb.LoadSlotRequest) (*controlpb.LoadSlotResponse, error) {
	if err := c.begin("acquire"); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.slots[in.GetUpstream()] && len(c.slots) >= maxLoading {
		return &controlpb.LoadSlotResponse{}, nil
	}
	c.slots[in.GetUpstream()] = true
	return &controlpb.LoadSlotResponse{Granted: true, LeaseMs: 10_000}, nil
}

// ReleaseLoadSlot releases a load slot.
func (c *Control) ReleaseLoadSlot(_ context.Context, in *controlpb.LoadSlotRequest) (*controlpb.LoadSlotResponse, error) {
	if err := c.begin("release-slot"); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.slots, in.GetUpstream())
	return &controlpb.LoadSlotResponse{}, nil
}
