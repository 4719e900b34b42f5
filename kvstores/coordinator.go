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
	Part    Part
	Tokens  int
	Removed bool
}

// Events is the answer to one request for events.
type Events struct {
	Epoch int64
	// Next is the position from which the next request reads.
	Next uint64
	// Lost is set if the store no longer has some of the requested events.
	Lost   bool
	Events []Event
	// ClockMs is the time on the clock of engines and stores, 0 if the answer has none.
	ClockMs float64
}

// Listing is all that a store holds.
type Listing struct {
	Epoch      int64
	Next       uint64
	Complete   []Event
	Incomplete []Part
}

// Client calls stores.
type Client interface {
	Events(ctx context.Context, address string, since uint64, wait time.Duration) (Events, error)
	List(ctx context.Context, address string) (Listing, error)
	// Free removes parts from a store. The store rejects the call in another epoch, and after untilMs on its clock, so
	// that a delayed call removes nothing; 0 is no limit.
	Free(ctx context.Context, address string, epoch, untilMs int64, parts []Part) error
}

// Publisher distributes the coordinator's changes to the nodes.
type Publisher interface {
	Append(change *nodepb.StorePlacement, full func() []*nodepb.StorePlacement)
	Clear()
}

// Coordinator reads the events of all stores while its node leads, and frees parts that can no longer be used.
type Coordinator struct {
	Client    Client
	Leads     func() bool
	Set       func() *trafficset.Set
	Publisher Publisher
	// AcceptedEpoch returns the epoch in which the previous coordinator let nodes save to a store, 0 if it did not.
	AcceptedEpoch func(address string) int64
	// LastUsed returns when a request that uses a part was last sent to an engine, by any node; zero if none is known.
	LastUsed func(part Part) time.Time
	// Withdrawn returns the parts of a store that the previous coordinator withdrew, as far as this node knows.
	Withdrawn func(address string) []Part
	// IsSaltUsable reports whether a salt may still be used; nil means that all may.
	IsSaltUsable func(salt string) bool
	Log          *zap.Logger

	mu     sync.Mutex
	stores map[string]*storeState
	clock  engineClock
	// unusedSince is when a salt was first found unused.
	unusedSince map[string]time.Time
}

// storeState is the state of one store. It belongs to the store's goroutine, except for parts and epoch, which the
// coordinator's lock guards.
type storeState struct {
	address    string
	epoch      int64
	accepts    bool
	parts      map[Part]int
	incomplete map[Part]time.Time
	withdrawn  map[Part]*withdrawal
	// leadsSince is when the coordinator began to read the store: parts not known to have been used count as used then.
	leadsSince time.Time
	// checked is when the free space of the store was last checked.
	checked time.Time
}

const (
	// eventWait is the longest time that a store holds a request for events; a store that is down is detected within
	// twice that.
	eventWait = 300 * time.Millisecond
	// eventTimeout allows for eventWait and two slow round trips.
	eventTimeout = eventWait + 250*time.Millisecond
	// saveDelayAfterRestart is longer than a node continues to fetch after the last message of the reader.
	saveDelayAfterRestart = contactTimeout + 500*time.Millisecond
	// listInterval is the interval of full listings, which repair the effects of lost events.
	listInterval   = 6 * time.Second
	listTimeout    = time.Second
	failurePause   = 100 * time.Millisecond
	manageInterval = 200 * time.Millisecond
	// leadInterval is the time between checks whether the node leads. It is short, because no node fetches from stores
	// until the new leader has listed them.
	leadInterval = 25 * time.Millisecond
	// incompleteTimeout is the time after which a part that stays incomplete is freed.
	incompleteTimeout = 6 * time.Second
	// freeBatch is the number of parts in one call.
	freeBatch = 256
	// freeValidity is the time within which a store must receive a call that frees parts. It is shorter than listTimeout
	// and than the time until another node can lead and use the parts.
	freeValidity = 300 * time.Millisecond
	// transferDrain is longer than any fetch that began while its salt was still in use.
	transferDrain = 5 * time.Second
)

// newStoreState returns the state of a store that was not read yet. withdrawn are the parts that the previous coordinator
// withdrew.
func newStoreState(address string, withdrawn []Part) *storeState {
	s := &storeState{address: address, parts: map[Part]int{}, incomplete: map[Part]time.Time{}, withdrawn: map[Part]*withdrawal{}, leadsSince: time.Now()}
	for _, part := range withdrawn {
		s.withdrawn[part] = &withdrawal{at: s.leadsSince}
	}
	return s
}

// Run reads all stores whenever its node leads, until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.Leads() && c.Set() != nil {
			c.runReaders(ctx)
		}
		clock.Sleep(ctx, leadInterval)
	}
}

// runReaders runs one reader per store until the node no longer leads.
func (c *Coordinator) runReaders(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var readers sync.WaitGroup
	defer readers.Wait()
	defer cancel()
	c.mu.Lock()
	c.stores = map[string]*storeState{}
	c.mu.Unlock()
	c.Publisher.Clear()
	for ctx.Err() == nil && c.Leads() {
		set := c.Set()
		for i := range set.Services {
			if store := set.Services[i].Store; store != nil {
				c.start(ctx, &readers, store.Address)
			}
		}
		clock.Sleep(ctx, manageInterval)
	}
}

func (c *Coordinator) start(ctx context.Context, readers *sync.WaitGroup, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stores[address] != nil {
		return
	}
	var withdrawn []Part
	if c.Withdrawn != nil {
		withdrawn = c.Withdrawn(address)
	}
	s := newStoreState(address, withdrawn)
	c.stores[address] = s
	readers.Go(func() { supervise.Loop(ctx, c.Log, "reader of a store", func() { c.read(ctx, s) }) })
}

// read keeps the known contents of one store current, by its events and by full listings.
func (c *Coordinator) read(ctx context.Context, s *storeState) {
	var since uint64
	var listed, restarted time.Time
	failing := false
	for ctx.Err() == nil {
		if time.Since(listed) > listInterval {
			listing, err := c.list(ctx, s)
			if err != nil {
				c.markDown(s, &failing, err)
				clock.Sleep(ctx, failurePause)
				continue
			}
			// The previous coordinator let nodes save to the store, which has not restarted since.
			inUse := listed.IsZero() && s.epoch == 0 && !failing && listing.Epoch != 0 && listing.Epoch == c.AcceptedEpoch(s.address)
			if failing || listing.Epoch != s.epoch {
				restarted = time.Now()
				c.restart(s, listing.Epoch)
			}
			failing = false
			c.replace(s, listing)
			if inUse {
				c.accept(s)
			}
			c.freeUnused(ctx, s, listing)
			since, listed = listing.Next, time.Now()
		}
		if !s.accepts && time.Since(restarted) > saveDelayAfterRestart {
			c.accept(s)
		}
		events, err := c.events(ctx, s, since)
		if ctx.Err() != nil {
			return
		}
		if err != nil || events.Epoch != s.epoch {
			c.markDown(s, &failing, err)
			listed = time.Time{}
			clock.Sleep(ctx, failurePause)
			continue
		}
		if events.Lost {
			c.Log.Info("events of a store were lost", zap.String("store", s.address), zap.Uint64("since", since))
			listed = time.Time{}
		}
		c.recordClock(events.ClockMs)
		since = events.Next
		if len(events.Events) > 0 {
			c.apply(s, events.Events)
		}
		c.makeRoom(ctx, s)
	}
}

func (c *Coordinator) list(ctx context.Context, s *storeState) (Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return c.Client.List(ctx, s.address)
}

func (c *Coordinator) events(ctx context.Context, s *storeState, since uint64) (Events, error) {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	return c.Client.Events(ctx, s.address, since, eventWait)
}

// markDown makes all nodes stop using a store.
func (c *Coordinator) markDown(s *storeState, failing *bool, cause error) {
	if *failing {
		return
	}
	*failing = true
	c.Log.Warn("a store is down or was restarted", zap.String("store", s.address), zap.Int64("epoch", s.epoch), zap.Error(cause))
	c.restart(s, 0)
}

// restart clears the known contents of a store and stops saves to it.
func (c *Coordinator) restart(s *storeState, epoch int64) {
	c.mu.Lock()
	s.parts, s.incomplete = map[Part]int{}, map[Part]time.Time{}
	if s.epoch != 0 && epoch != s.epoch {
		clear(s.withdrawn)
	}
	s.epoch, s.accepts = epoch, false
	c.mu.Unlock()
	c.publish(&nodepb.StorePlacement{Address: s.address, Epoch: epoch, Reset_: true})
}

func (c *Coordinator) accept(s *storeState) {
	c.mu.Lock()
	s.accepts = true
	c.mu.Unlock()
	c.Log.Info("a store is in use", zap.String("store", s.address), zap.Int64("epoch", s.epoch), zap.Int("parts", len(s.parts)))
	c.publish(&nodepb.StorePlacement{Address: s.address, Epoch: s.epoch, Accepts: true})
}

// replace replaces the known parts by those of a listing. A listing is published even if nothing has changed: nodes
// wait for the first one after a start.
func (c *Coordinator) replace(s *storeState, listing Listing) {
	complete := make(map[Part]bool, len(listing.Complete))
	changes := make([]Event, 0, len(listing.Complete))
	for _, event := range listing.Complete {
		complete[event.Part] = true
		if w := s.withdrawn[event.Part]; w != nil {
			w.tokens = event.Tokens
			continue
		}
		if s.parts[event.Part] != event.Tokens {
			changes = append(changes, event)
		}
	}
	for part := range s.parts {
		if !complete[part] {
			changes = append(changes, Event{Part: part, Removed: true})
		}
	}
	for part := range s.withdrawn {
		if !complete[part] {
			delete(s.withdrawn, part)
		}
	}
	c.apply(s, changes)
}

// apply applies events in order and publishes them to the nodes.
func (c *Coordinator) apply(s *storeState, events []Event) {
	change := &nodepb.StorePlacement{Address: s.address, Epoch: s.epoch, Accepts: s.accepts}
	c.mu.Lock()
	last := map[Part]Event{}
	for _, event := range events {
		last[event.Part] = event
	}
	for part, event := range last {
		if s.withdrawn[part] != nil {
			if event.Removed {
				delete(s.withdrawn, part)
			}
			continue
		}
		encoded := &nodepb.PlacedPart{Salt: part.Salt, Id: part.ID, Tokens: uint32(event.Tokens)}
		if event.Removed {
			delete(s.parts, part)
			change.Removed = append(change.Removed, encoded)
			continue
		}
		s.parts[part] = event.Tokens
		change.Added = append(change.Added, encoded)
	}
	c.mu.Unlock()
	c.publish(change)
}

func (c *Coordinator) publish(change *nodepb.StorePlacement) { c.Publisher.Append(change, c.full) }

// full returns the state of all stores as changes.
func (c *Coordinator) full() []*nodepb.StorePlacement {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*nodepb.StorePlacement
	for _, s := range c.stores {
		change := &nodepb.StorePlacement{Address: s.address, Epoch: s.epoch, Accepts: s.accepts, Reset_: true}
		for part, tokens := range s.parts {
			change.Added = append(change.Added, &nodepb.PlacedPart{Salt: part.Salt, Id: part.ID, Tokens: uint32(tokens)})
		}
		out = append(out, change)
	}
	return out
}

func (c *Coordinator) recordClock(ms float64) {
	if ms <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock = engineClock{ms: ms, receivedAt: time.Now()}
}

// EngineClock returns the time on the clock of engines and stores in ms, 0 if it is not known.
func (c *Coordinator) EngineClock() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.read(time.Now())
}
