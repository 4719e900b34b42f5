package controlclient

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/objectset"
	"github.com/wasabishunt/wasabishunt/rpc/controlpb"
	"github.com/wasabishunt/wasabishunt/serving/evacuation"
)

// WatcherOptions configures a Watcher.
type WatcherOptions struct {
	// Addresses are the initial addresses of control members; further ones are learned from their responses.
	Addresses []string
	ProcessID string
	Role      string
	// Address is the address at which other processes reach this one.
	Address string
	Zone    string
	// Serves is the name of the upstream, store or service of the process.
	Serves string
	// SourceIP is the source address of connections to control; default: chosen by the kernel.
	SourceIP string
	// StaleSetLimit is how long a confirmation of the set is valid; default 4 s.
	StaleSetLimit time.Duration
	// PresenceInterval is the time between presence reports; default 1 s.
	PresenceInterval time.Duration
	// CallTimeout limits a presence report and the wait for the next stream message; default 2 s.
	CallTimeout time.Duration
	// MembersInterval is the time between requests for the current members; default 30 s.
	MembersInterval time.Duration
	// Draining reports whether the process refuses new requests; default never.
	Draining func() bool
	Log      *zap.Logger
	Clock    clock.Clock
}

func (o *WatcherOptions) setDefaults() {
	defaults.Set(&o.StaleSetLimit, 4*time.Second)
	defaults.Set(&o.PresenceInterval, time.Second)
	defaults.Set(&o.CallTimeout, 2*time.Second)
	defaults.Set(&o.MembersInterval, 30*time.Second)
	if o.Draining == nil {
		o.Draining = func() bool { return false }
	}
	defaults.Set(&o.Log, zap.NewNop())
	defaults.Set[clock.Clock](&o.Clock, clock.System{})
}

// Watcher keeps the current view up to date while Run runs. Its methods may be called from any goroutine. mu is a leaf
// lock: no other lock is acquired while it is held.
type Watcher struct {
	options     WatcherOptions
	incarnation string
	directory   *directory
	client      *Client
	// reportNow makes the presence loop send a report at once.
	reportNow chan struct{}
	// session is the member of the current session; nil between sessions.
	session atomic.Pointer[watchedMember]
	// answering is a member that sends something while that of the session does not confirm the set; nil if none is known.
	answering atomic.Pointer[watchedMember]
	// doubted wakes assist when the set may be outdated.
	doubted chan struct{}

	mu   sync.Mutex
	view View
	// observed is the highest set version observed on the data path.
	observed uint64
	// unconfirmedAt is when the set was last confirmed no more: a report was sent, a session began or a newer version was observed. It is
	// zero once a report is confirmed.
	unconfirmedAt time.Time
	fenced        bool
	changed       chan struct{}
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
		reportNow:   make(chan struct{}, 1),
		doubted:     make(chan struct{}, 1),
		changed:     make(chan struct{}),
		view:        View{Processes: map[string]Process{}},
	}
}

// Current returns the current view.
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

// Fenced reports whether a newer incarnation of this process has registered. The process must then stop.
func (w *Watcher) Fenced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fenced
}

// Observe records a set version observed on the data path. If it is higher than the current one, the view is not fresh
// until that version is received.
func (w *Watcher) Observe(version uint64) {
	w.mu.Lock()
	behind := version > w.view.Version
	if behind {
		w.observed = max(w.observed, version)
		w.view.Behind = true
		w.beginDoubt()
	}
	w.mu.Unlock()
	if behind {
		w.ReportNow()
	}
}

// doubt records that the set is not confirmed from now on.
func (w *Watcher) doubt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.beginDoubt()
}

// beginDoubt is doubt for callers that hold w.mu.
func (w *Watcher) beginDoubt() {
	if !w.unconfirmedAt.IsZero() {
		return
	}
	w.unconfirmedAt = time.Now()
	select {
	case w.doubted <- struct{}{}:
	default:
	}
}

// unconfirmedSince returns since when the set is not confirmed; zero if the last report was confirmed.
func (w *Watcher) unconfirmedSince() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.unconfirmedAt
}

// versions returns the current version, and the highest one observed on the data path if that is higher.
func (w *Watcher) versions() (version, observed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.observed > w.view.Version {
		observed = w.observed
	}
	return w.view.Version, observed
}

// ReportNow sends a presence report at once, for example after the draining state changed.
func (w *Watcher) ReportNow() {
	select {
	case w.reportNow <- struct{}{}:
	default:
	}
}

// updateView changes the view under the lock and wakes the waiters of Changed, unless change returns false.
func (w *Watcher) updateView(change func(v *View) bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !change(&w.view) {
		return false
	}
	w.view.Behind = w.observed > w.view.Version
	close(w.changed)
	w.changed = make(chan struct{})
	return true
}

// applySet may be called for several streams at once: the version is compared under the lock, so that it never goes back.
func (w *Watcher) applySet(set *objectset.Set, version uint64) {
	applied := w.updateView(func(v *View) bool {
		if version <= v.Version {
			return false
		}
		v.Set, v.Version = set, version
		return true
	})
	if !applied {
		return
	}
	w.options.Log.Info("object set in force", zap.Uint64("version", version))
	w.ReportNow()
}

func (w *Watcher) applyMembership(update *controlpb.MembershipUpdate) {
	var change evacuation.Change
	evacuationsChanged := false
	w.updateView(func(v *View) bool {
		// A lagging member may send an older table than the current one.
		if update.Revision <= v.Revision {
			return false
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
		v.Evacuations, change, evacuationsChanged = v.Evacuations.Accept(update.EvacuationsRevision, update.EvacuatedZones, w.options.Clock.Now())
		return true
	})
	if evacuationsChanged {
		w.options.Log.Info("evacuated zones from control", zap.Uint64("revision", update.EvacuationsRevision), zap.Strings("zones", change.Zones),
			zap.Strings("started", change.Started), zap.Strings("ended", change.Ended))
	}
}

// removedState marks a process that control has removed from its table.
const removedState = "removed"

func processOf(p *controlpb.ProcessState) Process {
	return Process{
		ID: p.ProcessId, Role: p.Role, Address: p.Address, Zone: p.AvailabilityZone, Serves: p.Serves,
		Epoch: p.Epoch, State: ProcessState(p.State), SetVersion: p.SetVersion, Reason: p.Reason,
	}
}

// confirmation is what a response to a presence report says of the set.
type confirmation int

const (
	// notConfirmed is also the result if the member is not sure to be current.
	notConfirmed confirmation = iota
	setConfirmed
	// newerSet is the result if the member has a newer set.
	newerSet
)

// confirm applies a response to a presence report. A confirmation is valid from the time at which its request was sent, so that a
// response that was delayed in a socket buffer does not make the set look fresh.
func (w *Watcher) confirm(sent time.Time, response *controlpb.PresenceResponse) confirmation {
	w.mu.Lock()
	defer w.mu.Unlock()
	if response.Epoch > w.view.Epoch {
		w.view.Epoch = response.Epoch
		close(w.changed)
		w.changed = make(chan struct{})
	}
	switch {
	case !response.Fresh || w.fenced:
		return notConfirmed
	case response.SetVersion > w.view.Version:
		return newerSet
	}
	until := sent.Add(w.options.StaleSetLimit)
	if until.After(w.view.FreshUntil) {
		w.view.FreshUntil = until
	}
	if w.observed <= w.view.Version {
		w.unconfirmedAt = time.Time{}
	}
	return setConfirmed
}

func (w *Watcher) fence() {
	w.updateView(func(v *View) bool {
		v.FreshUntil = time.Time{}
		w.fenced = true
		return true
	})
}
