package kvstores

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/supervise"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// Event reports a part that became complete at a store, or was removed.
type Event struct {
	Part   Part
	Tokens int
	Gone   bool
}

// Events is the answer to one request for events.
type Events struct {
	Epoch  int64
	Next   uint64
	Lost   bool
	Events []Event
	// ClockMs is the time on the clock of engines and stores, 0 if the answer has none.
	ClockMs float64
}

// Listing is all that a store holds.
type Listing struct {
	Epoch  int64
	Next   uint64
	Whole  []Event
	Broken []Part
}

// Client calls stores.
type Client interface {
	Events(ctx context.Context, address string, since uint64, wait time.Duration) (Events, error)
	List(ctx context.Context, address string) (Listing, error)
	Free(ctx context.Context, address string, epoch int64, parts []Part) error
}

// Publisher distributes the keeper's changes to the nodes.
type Publisher interface {
	Append(change *nodepb.StorePlacement, full func() []*nodepb.StorePlacement)
	Clear()
}

// Keeper reads the events of all stores while its node leads, and frees parts that can no longer be used.
type Keeper struct {
	Client  Client
	Leads   func() bool
	Set     func() *trafficset.Set
	Publish Publisher
	// Accepted returns the epoch of a store to which the last known keeper let nodes save, 0 for none.
	Accepted func(address string) int64
	// Usable reports whether a salt may still be used; nil keeps all.
	Usable func(salt string) bool
	Log    *zap.Logger

	mu     sync.Mutex
	stores map[string]*storeState
	clock  engineClock
	// unusedSince is when a salt was first found unused.
	unusedSince map[string]time.Time
}

// storeState is the state of one store. It belongs to the store's goroutine, except for parts and epoch, which the
// keeper's lock guards.
type storeState struct {
	address    string
	epoch      int64
	accepts    bool
	parts      map[Part]int
	incomplete map[Part]time.Time
}

const (
	// eventWait is the longest time that a store holds a request for events; a store that is down is detected within
	// twice that.
	eventWait = 300 * time.Millisecond
	// eventTimeout allows for eventWait and two slow round trips.
	eventTimeout = eventWait + 250*time.Millisecond
	// saveDelayAfterRestart is longer than a node goes on fetching without messages of the reader.
	saveDelayAfterRestart = contactTimeout + 500*time.Millisecond
	// listInterval is the interval of full listings, which repair the effects of lost events.
	listInterval      = 6 * time.Second
	listTimeout       = time.Second
	failurePause      = 100 * time.Millisecond
	manageInterval    = 200 * time.Millisecond
	incompleteTimeout = 6 * time.Second
	freeBatch         = 256
	// transferDrain is longer than any fetch that began while its salt was still in use.
	transferDrain = 5 * time.Second
)

// Run reads all stores whenever its node leads, until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if k.Leads() && k.Set() != nil {
			k.lead(ctx)
		}
		clock.Sleep(ctx, manageInterval)
	}
}

// lead runs one reader per store until the node no longer leads.
func (k *Keeper) lead(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var readers sync.WaitGroup
	defer readers.Wait()
	defer cancel()
	k.mu.Lock()
	k.stores = map[string]*storeState{}
	k.mu.Unlock()
	k.Publish.Clear()
	for ctx.Err() == nil && k.Leads() {
		set := k.Set()
		for i := range set.Services {
			if store := set.Services[i].Store; store != nil {
				k.start(ctx, &readers, store.Address)
			}
		}
		clock.Sleep(ctx, manageInterval)
	}
}

func (k *Keeper) start(ctx context.Context, readers *sync.WaitGroup, address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stores[address] != nil {
		return
	}
	s := &storeState{address: address, parts: map[Part]int{}, incomplete: map[Part]time.Time{}}
	k.stores[address] = s
	readers.Go(func() { supervise.Loop(ctx, k.Log, "reader of a store", func() { k.read(ctx, s) }) })
}

// read follows one store.
func (k *Keeper) read(ctx context.Context, s *storeState) {
	var since uint64
	var listed, restarted time.Time
	failing := false
	for ctx.Err() == nil {
		if time.Since(listed) > listInterval {
			listing, err := k.list(ctx, s)
			if err != nil {
				k.markDown(s, &failing, err)
				clock.Sleep(ctx, failurePause)
				continue
			}
			if first := listed.IsZero() && s.epoch == 0 && !failing; first && listing.Epoch != 0 && listing.Epoch == k.Accepted(s.address) {
				// The store has not restarted since the previous keeper let nodes save to it.
				k.resume(s, listing.Epoch)
			} else if failing || listing.Epoch != s.epoch {
				restarted = time.Now()
				k.restart(s, listing.Epoch)
			}
			failing = false
			k.replace(s, listing)
			k.freeUnused(ctx, s, listing)
			since, listed = listing.Next, time.Now()
		}
		if !s.accepts && time.Since(restarted) > saveDelayAfterRestart {
			k.accept(s)
		}
		events, err := k.events(ctx, s, since)
		if ctx.Err() != nil {
			return
		}
		if err != nil || events.Epoch != s.epoch {
			k.markDown(s, &failing, err)
			listed = time.Time{}
			clock.Sleep(ctx, failurePause)
			continue
		}
		if events.Lost {
			k.Log.Info("events of a store were lost", zap.String("store", s.address), zap.Uint64("since", since))
			listed = time.Time{}
		}
		k.recordClock(events.ClockMs)
		since = events.Next
		k.apply(s, events.Events)
	}
}

func (k *Keeper) list(ctx context.Context, s *storeState) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return k.Client.List(ctx, s.address)
}

func (k *Keeper) events(ctx context.Context, s *storeState, since uint64) (Events, error) {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	return k.Client.Events(ctx, s.address, since, eventWait)
}

// markDown makes all nodes stop using a store.
func (k *Keeper) markDown(s *storeState, failing *bool, cause error) {
	if *failing {
		return
	}
	*failing = true
	k.Log.Warn("a store is down or was restarted", zap.String("store", s.address), zap.Int64("epoch", s.epoch), zap.Error(cause))
	k.restart(s, 0)
}

// restart clears the known contents of a store and stops saves to it.
func (k *Keeper) restart(s *storeState, epoch int64) {
	k.mu.Lock()
	s.epoch, s.accepts = epoch, false
	s.parts, s.incomplete = map[Part]int{}, map[Part]time.Time{}
	k.mu.Unlock()
	k.publish(&nodepb.StorePlacement{Address: s.address, Epoch: epoch, Reset_: true})
}

// resume continues with a store that the previous keeper had in use.
func (k *Keeper) resume(s *storeState, epoch int64) {
	k.restart(s, epoch)
	k.accept(s)
}

func (k *Keeper) accept(s *storeState) {
	k.mu.Lock()
	s.accepts = true
	k.mu.Unlock()
	k.Log.Info("a store is in use", zap.String("store", s.address), zap.Int64("epoch", s.epoch), zap.Int("parts", len(s.parts)))
	k.publish(&nodepb.StorePlacement{Address: s.address, Epoch: s.epoch, Accepts: true})
}

// replace replaces the known parts by those of a listing.
func (k *Keeper) replace(s *storeState, listing Listing) {
	whole := make(map[Part]bool, len(listing.Whole))
	changes := make([]Event, 0, len(listing.Whole))
	for _, event := range listing.Whole {
		whole[event.Part] = true
		if s.parts[event.Part] != event.Tokens {
			changes = append(changes, event)
		}
	}
	for part := range s.parts {
		if !whole[part] {
			changes = append(changes, Event{Part: part, Gone: true})
		}
	}
	k.apply(s, changes)
}

// apply applies events in order and publishes them to the nodes.
func (k *Keeper) apply(s *storeState, events []Event) {
	if len(events) == 0 {
		return
	}
	change := &nodepb.StorePlacement{Address: s.address, Epoch: s.epoch, Accepts: s.accepts}
	k.mu.Lock()
	last := map[Part]Event{}
	for _, event := range events {
		last[event.Part] = event
	}
	for part, event := range last {
		encoded := &nodepb.PlacedPart{Salt: part.Salt, Id: part.ID, Tokens: uint32(event.Tokens)}
		if event.Gone {
			delete(s.parts, part)
			change.Removed = append(change.Removed, encoded)
			continue
		}
		s.parts[part] = event.Tokens
		change.Added = append(change.Added, encoded)
	}
	k.mu.Unlock()
	k.publish(change)
}

func (k *Keeper) publish(change *nodepb.StorePlacement) { k.Publish.Append(change, k.full) }

// full returns the state of all stores as changes.
func (k *Keeper) full() []*nodepb.StorePlacement {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []*nodepb.StorePlacement
	for _, s := range k.stores {
		change := &nodepb.StorePlacement{Address: s.address, Epoch: s.epoch, Accepts: s.accepts, Reset_: true}
		for part, tokens := range s.parts {
			change.Added = append(change.Added, &nodepb.PlacedPart{Salt: part.Salt, Id: part.ID, Tokens: uint32(tokens)})
		}
		out = append(out, change)
	}
	return out
}

// freeUnused frees parts that have been incomplete for some time, and parts whose salt no request uses any more.
func (k *Keeper) freeUnused(ctx context.Context, s *storeState, listing Listing) {
	now := time.Now()
	broken := map[Part]time.Time{}
	var free []Part
	for _, part := range listing.Broken {
		since, found := s.incomplete[part]
		if !found {
			since = now
		}
		broken[part] = since
		if now.Sub(since) > incompleteTimeout {
			free = append(free, part)
		}
	}
	s.incomplete = broken
	for part := range s.parts {
		if k.isUnused(part.Salt, now) {
			free = append(free, part)
		}
	}
	for len(free) > 0 {
		batch := free[:min(len(free), freeBatch)]
		free = free[len(batch):]
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		err := k.Client.Free(callCtx, s.address, s.epoch, batch)
		cancel()
		k.Log.Info("freed parts of a store", zap.String("store", s.address), zap.Int("parts", len(batch)), zap.Error(err))
		if err != nil {
			return
		}
	}
}

// isUnused reports whether a salt has been out of use for longer than a fetch takes.
func (k *Keeper) isUnused(salt string, now time.Time) bool {
	if k.Usable == nil {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.Usable(salt) {
		delete(k.unusedSince, salt)
		return false
	}
	if k.unusedSince == nil {
		k.unusedSince = map[string]time.Time{}
	}
	since, found := k.unusedSince[salt]
	if !found {
		since = now
		k.unusedSince[salt] = now
	}
	return now.Sub(since) >= transferDrain
}

func (k *Keeper) recordClock(ms float64) {
	if ms <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.clock = engineClock{ms: ms, at: time.Now()}
}

// EngineClock returns the time on the clock of engines and stores in ms, 0 if it is not known.
func (k *Keeper) EngineClock() float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.clock.read(time.Now())
}
