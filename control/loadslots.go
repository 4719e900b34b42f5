package control

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

const (
	// defaultLoadSlots applies to deployments that are not in the set.
	defaultLoadSlots = 2
	// slotLeaseMs is the time in milliseconds after which control frees a slot that was not renewed.
	slotLeaseMs = 10_000
	// holderLeaseMs is the lease in milliseconds that the holder is given. It is shorter than slotLeaseMs, so that the
	// holder stops using the slot before control grants it to another.
	holderLeaseMs = 8_000
	// maxLoadSlots limits the slots of all deployments together.
	maxLoadSlots = 10_000
)

type slotKey struct{ deployment, upstream string }

// loadSlots limits how many engines of a deployment load weights at once. The limit protects against overload and
// is not needed for correctness, so the leases may be measured by the clocks of successive leaders.
type loadSlots struct {
	// held maps each engine to the slot that it holds.
	held map[slotKey]*controlpb.LoadSlot
}

func newLoadSlots() *loadSlots { return &loadSlots{held: map[slotKey]*controlpb.LoadSlot{}} }

func (l *loadSlots) acquire(now int64, q *controlpb.LoadSlotRequest, limit int) *controlpb.LoadSlotResponse {
	inUse := 0
	for k, slot := range l.held {
		if slot.ExpiresUnixMs <= now {
			delete(l.held, k)
			continue
		}
		if k.deployment == q.Deployment && k.upstream != q.Upstream {
			inUse++
		}
	}
	k := slotKey{q.Deployment, q.Upstream}
	if held := l.held[k]; held != nil && held.Epoch > q.Epoch {
		return &controlpb.LoadSlotResponse{Failure: failureMessage(
			failure.New(failure.Fenced, failure.NotRun, "a newer agent of %s holds the slot", q.Upstream))}
	}
	if inUse >= limit || len(l.held) >= maxLoadSlots {
		return &controlpb.LoadSlotResponse{}
	}
	l.held[k] = &controlpb.LoadSlot{
		Deployment: q.Deployment, Upstream: q.Upstream, Epoch: q.Epoch, ExpiresUnixMs: now + slotLeaseMs,
	}
	return &controlpb.LoadSlotResponse{Granted: true, LeaseMs: holderLeaseMs}
}

func (l *loadSlots) release(q *controlpb.LoadSlotRequest) *controlpb.LoadSlotResponse {
	k := slotKey{q.Deployment, q.Upstream}
	if held := l.held[k]; held != nil && held.Epoch <= q.Epoch {
		delete(l.held, k)
	}
	return &controlpb.LoadSlotResponse{}
}

func (l *loadSlots) list() []*controlpb.LoadSlot {
	all := make([]*controlpb.LoadSlot, 0, len(l.held))
	for _, slot := range l.held {
		all = append(all, proto.Clone(slot).(*controlpb.LoadSlot))
	}
	slices.SortFunc(all, func(a, b *controlpb.LoadSlot) int {
		return cmp.Or(cmp.Compare(a.Deployment, b.Deployment), cmp.Compare(a.Upstream, b.Upstream))
	})
	return all
}

func restoreLoadSlots(list []*controlpb.LoadSlot) *loadSlots {
	l := newLoadSlots()
	for _, slot := range list {
		l.held[slotKey{slot.Deployment, slot.Upstream}] = slot
	}
	return l
}
