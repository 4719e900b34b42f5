package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/quarantine"
	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

const (
	// settleTime is the time from the first event after which an instance is taken to have begun an answer safely: a prompt
	// that crashes its instance does so when the answer begins.
	settleTime = 250 * time.Millisecond
	// crashPeriod is the time within which broken sends to one incarnation belong to the same crash. An instance needs
	// longer to come back.
	crashPeriod = time.Second
	// leavingProbeDelay is the time between the end of an answer at a leaving instance and the probe: a process that ends may close
	// its connections before its listener.
	leavingProbeDelay = 50 * time.Millisecond
	// maxLoggedSends limits the requests and parts in one log event.
	maxLoggedSends = 16
)

// promptSend is a prompt that was sent to an instance.
type promptSend struct {
	detector *crashDetector
	instance *upstreams.Instance
	request  string
	parts    []uint64

	// firstEvent is when the first event was relayed. The detector's mu protects it.
	firstEvent time.Time
	// settled is set once the answer is recorded.
	settled atomic.Bool
}

// hasSettled reports whether the answer had begun safely at a time.
func (p *promptSend) hasSettled(at time.Time) bool {
	return !p.firstEvent.IsZero() && at.Sub(p.firstEvent) >= settleTime
}

// endedSend is a send that broke off, or whose answer may have been cut off at the end of an event.
type endedSend struct {
	*promptSend
	at time.Time
	// answered is set if the answer counts unless the instance crashed.
	answered bool
}

// crashCheck is one probe of an instance after a send to it broke off.
type crashCheck struct {
	startedAt time.Time
	// done is closed at the end of the probe; the fields below are valid then.
	done chan struct{}
	// crashed is set if nothing listens at the instance's address, and reachable if a connection was opened.
	crashed, reachable bool
}

// crashDetector finds out which instances crash and reports the parts of the prompts that they had not begun to answer. Its
// mu protects all fields below it. The quarantine's lock may be acquired while it is held.
type crashDetector struct {
	quarantine *quarantine.List
	directory  *upstreams.Directory
	pool       *upstreamconn.Pool
	log        *zap.Logger
	metrics    *meters

	mu     sync.Mutex
	active map[upstreams.Key]map[*promptSend]struct{}
	checks map[upstreams.Key]*crashCheck
	// ended are the sends that ended within crashPeriod without a certain answer, in order.
	ended []endedSend
}

func newCrashDetector(o Options, metrics *meters) *crashDetector {
	return &crashDetector{
		quarantine: o.Quarantine, directory: o.Directory, pool: o.Pool, log: o.Log, metrics: metrics,
		active: map[upstreams.Key]map[*promptSend]struct{}{}, checks: map[upstreams.Key]*crashCheck{},
	}
}

// begin records a send. The caller must call end.
func (d *crashDetector) begin(instance *upstreams.Instance, request string, parts []uint64) *promptSend {
	p := &promptSend{detector: d, instance: instance, request: request, parts: parts}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(time.Now())
	key := instance.Key()
	if d.active[key] == nil {
		d.active[key] = map[*promptSend]struct{}{}
	}
	d.active[key][p] = struct{}{}
	return p
}

// end removes the send.
func (p *promptSend) end() {
	p.detector.mu.Lock()
	defer p.detector.mu.Unlock()
	p.detector.remove(p)
}

// remove removes a send from the active ones. The caller holds the lock.
func (d *crashDetector) remove(p *promptSend) {
	key := p.instance.Key()
	delete(d.active[key], p)
	if len(d.active[key]) == 0 {
		delete(d.active, key)
	}
}

// recordEvent records that an event of the answer was relayed.
func (p *promptSend) recordEvent() {
	if p.settled.Load() {
		return
	}
	d, now := p.detector, time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.firstEvent.IsZero() {
		p.firstEvent = now
	}
	if p.hasSettled(now) {
		p.settle()
	}
}

// settle records the answer. The caller holds the lock.
func (p *promptSend) settle() {
	p.settled.Store(true)
	if q := p.detector.quarantine; q != nil {
		q.RecordAnswer(p.parts, p.firstEvent)
	}
}

// recordAnswer records a whole answer. An answer that ends with its connection may have been cut off by a crash: it counts
// only if the instance goes on.
func (p *promptSend) recordAnswer(endedByClose bool) {
	if p.settled.Load() {
		return
	}
	d, now := p.detector, time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.firstEvent.IsZero() {
		p.firstEvent = now
	}
	if endedByClose && !p.hasSettled(now) {
		d.remove(p)
		d.ended = append(d.ended, endedSend{p, now, true})
		return
	}
	p.settle()
}

// expire removes old sends and checks, and records the answers after which the instance did not crash. The caller holds
// the lock.
func (d *crashDetector) expire(now time.Time) {
	for len(d.ended) > 0 && now.Sub(d.ended[0].at) > crashPeriod {
		if d.ended[0].answered {
			d.ended[0].settle()
		}
		d.ended = d.ended[1:]
	}
	for key, check := range d.checks {
		if now.Sub(check.startedAt) > crashPeriod {
			delete(d.checks, key)
		}
	}
}

// isBreak reports whether an error means that the instance ended the connection within an answer.
func isBreak(err error) bool {
	return lo.SomeBy([]error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}, func(target error) bool { return errors.Is(err, target) })
}

// brokeOff handles a send that ended with an error and reports whether its instance crashed. A single connection may break
// at a sound instance, so a new one is opened to find out.
func (p *promptSend) brokeOff(err error) bool {
	if !isBreak(err) {
		return false
	}
	d, now := p.detector, time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	d.remove(p)
	d.ended = append(d.ended, endedSend{promptSend: p, at: now})
	return d.checkAfter(p, now).crashed
}

// wasCutOff reports whether an answer that ended with its connection may have been cut off by the end of its instance. Nothing else
// tells such an answer from a complete one. The end of a leaving instance is planned, but cuts off what it still answers, and its VM may
// be gone as well: its answer is complete only if the instance accepts a connection afterwards.
func (p *promptSend) wasCutOff() bool {
	d := p.detector
	if d.isLeaving(p.instance.Key()) {
		time.Sleep(leavingProbeDelay)
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	check := d.checkAfter(p, now)
	return check.crashed || d.isLeaving(p.instance.Key()) && (!check.reachable || d.isReplaced(p.instance))
}

// checkAfter returns the probe of the instance of a send whose connection ended at a time. It began after that time, unless an
// earlier one showed that the instance crashed. The caller holds the lock, which is released during a probe.
func (d *crashDetector) checkAfter(p *promptSend, now time.Time) *crashCheck {
	key := p.instance.Key()
	for {
		check := d.checks[key]
		if check == nil {
			return d.check(p, now)
		}
		d.mu.Unlock()
		<-check.done
		d.mu.Lock()
		if check.crashed || !check.startedAt.Before(now) {
			return check
		}
		if d.checks[key] == check {
			// The instance accepted a connection before this one ended.
			delete(d.checks, key)
		}
	}
}

// check probes the instance of a broken send. The caller holds the lock, which is released during the probe.
func (d *crashDetector) check(p *promptSend, brokenAt time.Time) *crashCheck {
	key := p.instance.Key()
	check := &crashCheck{startedAt: time.Now(), done: make(chan struct{})}
	d.checks[key] = check
	defer close(check.done)
	d.mu.Unlock()
	err := d.connect(p.instance)
	d.mu.Lock()
	// A VM that does not respond may be cut off, and its instance may still be at work.
	check.reachable, check.crashed = err == nil, errors.Is(err, syscall.ECONNREFUSED)
	if check.crashed {
		d.recordCrash(p.instance, brokenAt)
	}
	return check
}

// connect opens a connection to an instance.
func (d *crashDetector) connect(instance *upstreams.Instance) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	conn, err := d.pool.Open(ctx, instance.Address)
	if err == nil {
		conn.Release(0)
	}
	return err
}

// recordCrash reports the parts of the prompts whose answers had not begun. The caller holds the lock.
func (d *crashDetector) recordCrash(instance *upstreams.Instance, at time.Time) {
	key := instance.Key()
	inProgress := lo.Keys(d.active[key])
	for i, ended := range d.ended {
		if ended.instance.Key() == key {
			inProgress = append(inProgress, ended.promptSend)
			d.ended[i].answered = false
		}
	}
	suspects := lo.Filter(inProgress, func(p *promptSend, _ int) bool { return !p.hasSettled(at) && len(p.parts) > 0 })
	parts := lo.Uniq(lo.FlatMap(suspects, func(p *promptSend, _ int) []uint64 { return p.parts }))
	d.metrics.crashes.Inc(1)
	d.log.Warn("an instance crashed", zap.String("instance", instance.ID), zap.Int("sends", len(inProgress)), zap.Int("suspects", len(suspects)),
		zap.Strings("requests", lo.Map(firstOf(suspects), func(p *promptSend, _ int) string { return p.request })), zap.Strings("parts", formatParts(firstOf(parts))))
	if d.quarantine == nil || len(parts) == 0 || d.isLeaving(key) {
		return
	}
	if blocked := d.quarantine.RecordCrash(instance.ID, parts, at); len(blocked) > 0 {
		d.log.Warn("parts blocked after a crash", zap.Strings("parts", formatParts(blocked)))
	}
}

// isLeaving reports whether an instance is draining or no longer listed, and may have ended as planned.
func (d *crashDetector) isLeaving(key upstreams.Key) bool {
	listed, found := lo.Find(d.directory.View().Instances, func(i upstreams.Instance) bool { return i.Key() == key })
	return !found || listed.Draining
}

// isReplaced reports whether another instance is listed at the address of an instance.
func (d *crashDetector) isReplaced(instance *upstreams.Instance) bool {
	return lo.SomeBy(d.directory.View().Instances, func(i upstreams.Instance) bool { return i.Address == instance.Address && i.Key() != instance.Key() })
}

func firstOf[T any](list []T) []T { return slices.Clip(list[:min(len(list), maxLoggedSends)]) }

func formatParts(parts []uint64) []string {
	return lo.Map(parts, func(part uint64, _ int) string { return strconv.FormatUint(part, 16) })
}
