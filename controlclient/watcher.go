package controlclient

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
)

// WatcherOptions names the process that watches and its limits.
type WatcherOptions struct {
	// Addresses of control members; more are learned from their answers.
	Addresses []string
	ProcessID string
	Role      string
	// Address under which other processes reach this one.
	Address string
	Zone    string
	// Serves names the upstream, store or service of the process.
	Serves string
	// SourceIP is the source address of connections to control; default: chosen by the kernel.
	SourceIP string
	// StaleSetLimit ends new work after so long without confirmation; default 4 s.
	StaleSetLimit time.Duration
	// PresenceInterval is the time between presence reports; default 1 s.
	PresenceInterval time.Duration
	// CallTimeout limits a presence report and the wait for the next stream message; default 2 s.
	CallTimeout time.Duration
	// Draining reports whether the process takes no new work; default never.
	Draining func() bool
	Log      *zap.Logger
	Clock    clock.Clock
}

func (o *WatcherOptions) setDefaults() {
	defaults.Set(&o.StaleSetLimit, 4*time.Second)
	defaults.Set(&o.PresenceInterval, time.Second)
	defaults.Set(&o.CallTimeout, 2*time.Second)
	if o.Draining == nil {
		o.Draining = func() bool { return false }
	}
	defaults.Set(&o.Log, zap.NewNop())
	defaults.Set[clock.Clock](&o.Clock, clock.System{})
}

// Watcher keeps the view in force. Run does the work; the other methods may be called from any goroutine.
// Its mutex is a leaf lock.
type Watcher struct {
	options     WatcherOptions
	incarnation string
	directory   *directory
	client      *Client
	// kick wakes the presence loop.
	kick chan struct{}

	mu       sync.Mutex
	view     View
	observed uint64
	fenced   bool
	changed  chan struct{}
}

var _ Source = (*Watcher)(nil)

// NewWatcher returns a Watcher with an empty view.
func NewWatcher(options WatcherOptions) *Watcher {
	options.setDefaults()
	client := NewClient(ClientOptions{Addresses: options.Addresses, SourceIP: options.SourceIP})
	return &Watcher{
		options:     options,
		incarnation: uuid.NewString(),
		directory:   client.directory,
		client:      client,
		kick:        make(chan struct{}, 1),
		changed:     make(chan struct{}),
		view:        View{Processes: map[string]Process{}},
	}
}

// Current returns the view in force.
func (w *Watcher) Current() View {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.view
}

// Changed returns a channel that is closed at the next change of the set, memberships or epoch.
func (w *Watcher) Changed() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Fenced reports that a newer incarnation of this process has registered; the process must stop.
func (w *Watcher) Fenced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fenced
}

// Observe reports a set version seen on the data path. A higher one ends new work until it has arrived.
func (w *Watcher) Observe(version uint64) {
	w.mu.Lock()
	behind := version > w.view.Version
	if behind {
		w.observed = max(w.observed, version)
		w.view.Behind = true
	}
	w.mu.Unlock()
	if behind {
		w.Kick()
	}
}

// versions returns the version in force, and the highest one seen on the data path if it is higher.
func (w *Watcher) versions() (version, observed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.observed > w.view.Version {
		observed = w.observed
	}
	return w.view.Version, observed
}

// Kick sends a presence report at once, for example after the draining state changed.
func (w *Watcher) Kick() {
	select {
	case w.kick <- struct{}{}:
	default:
	}
}

// update changes the view under the lock and wakes waiters.
func (w *Watcher) update(change func(v *View)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.view)
	w.view.Behind = w.observed > w.view.Version
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Watcher) adoptSet(set *objectset.Set, version uint64) {
	if version <= w.Current().Version {
		return
	}
	w.update(func(v *View) { v.Set, v.Version = set, version })
	w.options.Log.Info("object set in force", zap.Uint64("version", version))
	w.Kick()
}

func (w *Watcher) adoptMembership(update *controlpb.MembershipUpdate) {
	w.update(func(v *View) {
		// A member that lags may send a table older than the one in force.
		if update.Revision <= v.Revision {
			return
		}
		next := map[string]Process{}
		if !update.Full {
			next = maps.Clone(v.Processes)
		}
		for _, p := range update.Processes {
			if p.State == removedState {
				delete(next, p.ProcessId)
				continue
			}
			next[p.ProcessId] = processOf(p)
		}
		v.Processes, v.Revision = next, update.Revision
	})
}

// removedState marks a process that control has forgotten.
const removedState = "removed"

func processOf(p *controlpb.ProcessState) Process {
	return Process{
		ID: p.ProcessId, Role: p.Role, Address: p.Address, Zone: p.AvailabilityZone, Serves: p.Serves,
		Epoch: p.Epoch, State: ProcessState(p.State), SetVersion: p.SetVersion, Reason: p.Reason,
	}
}

// confirm counts a fresh answer from the moment its request was sent, so that an answer which lay in a
// socket buffer does not look fresh. It returns false if the answer is not a confirmation.
func (w *Watcher) confirm(sent time.Time, answer *controlpb.PresenceResponse) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer.Epoch > w.view.Epoch {
		w.view.Epoch = answer.Epoch
		close(w.changed)
		w.changed = make(chan struct{})
	}
	if !answer.Fresh || answer.SetVersion > w.view.Version || w.fenced {
		return false
	}
	until := sent.Add(w.options.StaleSetLimit)
	if until.After(w.view.FreshUntil) {
		w.view.FreshUntil = until
	}
	return true
}

func (w *Watcher) fence() {
	w.update(func(v *View) {
		v.FreshUntil = time.Time{}
		w.fenced = true
	})
}

// Run watches until the context ends or a newer incarnation fences this one. It returns after all its
// goroutines have ended.
func (w *Watcher) Run(ctx context.Context) {
	defer func() { _ = w.client.Close() }()
	pause := &backoff.ExponentialBackOff{
		InitialInterval: minPause, MaxInterval: maxPause, Multiplier: 2, RandomizationFactor: 0.5,
	}
	pause.Reset()
	for ctx.Err() == nil {
		w.learnMembers(ctx)
		for _, address := range w.directory.watchOrder(w.options.ProcessID) {
			started := w.options.Clock.Now()
			w.session(ctx, address)
			if ctx.Err() != nil || w.Fenced() {
				return
			}
			w.directory.noAnswer(address)
			if w.options.Clock.Now().Sub(started) > stableSession {
				pause.Reset()
			}
			wait(ctx, pause.NextBackOff())
		}
	}
}

const (
	// minPause and maxPause limit reconnects, so that many processes do not overload the remaining members.
	minPause = 50 * time.Millisecond
	maxPause = time.Second
	// stableSession resets the pause: a session as long as the longest pause reconnects no more often than the pause allows.
	stableSession = maxPause
)

// learnMembers asks the first member that answers who leads.
func (w *Watcher) learnMembers(ctx context.Context) {
	for _, address := range w.directory.watchOrder(w.options.ProcessID) {
		if _, err := w.client.StatusOf(ctx, address, true); err == nil || ctx.Err() != nil {
			return
		}
	}
}
