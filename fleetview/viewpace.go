package fleetview

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

const (
	// viewLinkShare is the part of the leader's link that views take while instances change all the time, as when they load weights. Each change
	// is sent to every node as a whole view.
	viewLinkShare = 0.4
	// maxViewDelay limits how long a node waits for a changed view. It is below the 1.5 s by which the age of a view may be too low.
	maxViewDelay = time.Second
)

// viewPace spreads the views that the leader sends to all nodes over time, so that they don't fill its link: load reports and requests would wait
// behind them. viewPace.mu is a leaf lock: no other lock is acquired while it is held.
type viewPace struct {
	mu sync.Mutex
	// free is when the views that were planned so far have been sent.
	free time.Time
}

// plan returns when a view of so many bytes may be sent over a link; its bandwidth is 0 if unknown.
func (p *viewPace) plan(bytes, linkMbps int, now time.Time) time.Time {
	if linkMbps == 0 {
		return now
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.free.Before(now) {
		p.free = now
	}
	at := p.free
	if latest := now.Add(maxViewDelay); at.After(latest) {
		at = latest
	}
	p.free = at.Add(time.Duration(float64(bytes) * 8 / (viewLinkShare * float64(linkMbps) * 1e6) * float64(time.Second)))
	return at
}

// viewToSend returns the view and records it as sent, or returns nil if it is not due on a stream. The first view of a stream is due at once: a
// node without a list takes no requests.
func (p *viewPace) viewToSend(view *upstreams.View, sent *position, linkMbps int, now time.Time) *nodepb.InstanceView {
	if view == sent.view {
		return nil
	}
	if sent.view != nil {
		if sent.viewDue.IsZero() {
			sent.viewDue = p.plan(sent.viewBytes, linkMbps, now)
		}
		if now.Before(sent.viewDue) {
			return nil
		}
	}
	encoded := encodeView(view, now)
	sent.view, sent.viewBytes, sent.viewDue = view, proto.Size(encoded), time.Time{}
	return encoded
}
