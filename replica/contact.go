package replica

import (
	"time"

	"github.com/wasabishunt/wasabishunt/supervise"
)

// contactLimit is how long a member keeps contact while it waits for its disk: longer than a sync of a slow disk, 500 ms, and short enough that a
// leader whose disk hangs soon loses its leadership.
const contactLimit = 600 * time.Millisecond

// awaitDisk runs work that waits for the disk, and keeps contact with the other members meanwhile. A member that waits for room keeps none, so
// that a leader on a full disk loses its leadership however long the attempts to write take.
func (r *Replica) awaitDisk(work func() error) error {
	if r.WaitsForRoom() {
		return work()
	}
	done := make(chan error, 1)
	go func() {
		var err error
		if panicked := supervise.Call(r.log, "raft log", func() { err = work() }); panicked != nil {
			err = panicked
		}
		done <- err
	}()
	return r.keepContact(done)
}

// keepContact sends and answers heartbeats until the sync has ended, at most for contactLimit. All other messages wait in their order.
func (r *Replica) keepContact(done <-chan error) error {
	began := time.Now()
	ticker := time.NewTicker(r.options.Tick)
	defer ticker.Stop()
	r.sendHeartbeats()
	for time.Since(began) < contactLimit {
		inbox := r.inbox
		if len(r.held) >= cap(r.inbox) {
			inbox = nil
		}
		var message inbound
		select {
		case err := <-done:
			return err
		case <-ticker.C:
		case message = <-inbox:
		}
		r.sendHeartbeats()
		if message.message != nil {
			r.stepContact(message)
		}
	}
	return <-done
}

func (r *Replica) sendHeartbeats() {
	for _, m := range r.node.KeepContact(r.now()) {
		r.transport.send(m)
	}
}

func (r *Replica) stepContact(m inbound) {
	reply, handled := r.node.StepContact(m.message)
	if !handled {
		r.held = append(r.held, m)
		return
	}
	if reply != nil {
		r.transport.send(reply)
	}
	r.freshAt.Store(int64(r.node.FreshAt()))
	r.setFreshUntil(r.node.FreshUntil())
}

func (r *Replica) setFreshUntil(until time.Duration) {
	before := time.Duration(r.freshUntil.Swap(int64(until)))
	if now := r.now(); before <= now && now < until && r.options.OnFresh != nil {
		r.options.OnFresh()
	}
}

// stepQueued steps up to limit messages in the order of their arrival. A step that frees room moves messages from the inbox to held.
func (r *Replica) stepQueued(limit int) {
	for range limit {
		var m inbound
		if len(r.held) > 0 {
			m, r.held[0] = r.held[0], inbound{}
			r.held = r.held[1:]
		} else {
			select {
			case m = <-r.inbox:
			default:
				return
			}
		}
		r.step(m)
	}
}
