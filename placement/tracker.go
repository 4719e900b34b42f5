// Package placement decides which upstream instance gets a request.
package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/serving/prefillpool"
	"github.com/wasabishunt/wasabishunt/serving/speed"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Load is the load that an upstream reports in an answer.
type Load struct{ Running, Waiting, Slots int }

// Outcome is how one send ended.
type Outcome int

// Outcomes of a send.
const (
	// Answered counts as a success of the instance.
	Answered Outcome = iota
	// Failed counts as a failure of the instance.
	Failed
	// Unresponsive means that the instance's VM does not answer at all; the instance gets no requests until it can be
	// reached.
	Unresponsive
	// Rejected means that the instance did not run the request because it is full.
	Rejected
	// Replaced means that another incarnation runs at the address, or that the weights differ.
	Replaced
	// Canceled is neither a success nor a failure of the instance.
	Canceled
)

const (
	// ejectAfter is the number of consecutive failures at which an instance is ejected.
	ejectAfter = 3
	// ejectShare is the share of failed sends at which an instance is ejected as well.
	ejectShare = 0.5
	// failureWeight is the weight of one send in the moving share of failures: about the last ten sends count.
	failureWeight = 0.1
	// unresponsiveEjection bounds the ejection of an unresponsive instance, in case no probe finds that it can be
	// reached again.
	unresponsiveEjection = 20 * time.Second
	firstEjection        = 500 * time.Millisecond
	lastEjection         = 4 * time.Second
	// rejectPause is how long a full instance is avoided.
	rejectPause = 60 * time.Millisecond
	// answerValidity is how long an answer to this node outweighs reports of other nodes that the instance is
	// unresponsive.
	answerValidity = time.Second
	// loadValidity is how long a load reported by an instance counts.
	loadValidity = 300 * time.Millisecond
)

// instanceState is what a node has recorded about one incarnation of an instance.
type instanceState struct {
	tracker                                         *Tracker
	id                                              string
	requests, prefillTokens, longTokens, heldTokens int
	// others is what the other nodes have in progress at the instance.
	others                     usage
	load                       Load
	loadAt                     time.Time
	failures                   int
	failureShare               float64
	ejections                  int
	ejectedUntil, avoidedUntil time.Time
	// unresponsive is set until the instance's VM can be reached again. foundHere is set if this node found that out
	// itself.
	unresponsive, foundHere, replaced bool
	// answeredAt is when the instance last answered this node.
	answeredAt time.Time
	versions   map[string]uint64
	cache      *partCache
	// watchers are called when the instance is found unresponsive.
	watchers map[*Attempt]func()
	// speed is the estimate of how long work takes at the instance.
	speed *speed.Instance
}

// Tracker holds the state of all instances. Its mu is a leaf lock: no other lock is acquired while it is held.
type Tracker struct {
	mu        sync.Mutex
	instances map[upstreams.Key]*instanceState
	// byHash indexes the states by the keys used in reports.
	byHash map[uint32]*instanceState
	// sameHash holds all states with a key, also if several instances have the same one.
	sameHash map[uint32][]*instanceState
	reads    []promptRead
	// reports counts the reports of this node.
	reports  uint64
	revision uint64
	links    *links
	// peers are the other nodes of the zone, zones the other zones.
	peers, zones *loadSources
	// replaced are the instances that this node found replaced since its last report.
	replaced []uint32
	pending  pendingForwards
	leaving  leavingNews
	pauses   pauses
	history  reportHistory
	// merged is the report of this node that the newest digest of its own zone, ownZone, contains.
	merged     sentReport
	ownZone    string
	lastDigest digestState
	rate       readRate
	runTimes   runTimes
	uses       partUses
	// priorities covers the requests that this node sends.
	priorities priorities
	// longDemand is the demand for long prompts by service.
	longDemand map[string]*prefillpool.Demand
	speeds     *speed.Table
	// fleets holds the fleet of each service. versionsRevision changes with the weight versions of the states.
	fleets           map[string]*fleet
	versionsRevision uint64
	// versioned is the number of states with a version of each model.
	versioned map[string]int
	// unusual are the states that may be ejected, avoided or replaced.
	unusual map[*instanceState]struct{}
	// holders are the holders of all parts.
	holders *partHolders
	// decision is reused, with the memory of its slices.
	decision decision
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	t := &Tracker{
		instances: map[upstreams.Key]*instanceState{}, byHash: map[uint32]*instanceState{}, sameHash: map[uint32][]*instanceState{}, links: newLinks(),
		lastDigest: digestState{instances: map[uint32]usage{}, transfers: map[uint32]time.Duration{}},
		rate:       readRate{tokensPerMs: initialReadRate}, runTimes: newRunTimes(), uses: newPartUses(),
		leaving: newLeavingNews(), pauses: pauses{}, longDemand: map[string]*prefillpool.Demand{}, speeds: speed.NewTable(false),
		fleets: map[string]*fleet{}, versioned: map[string]int{}, unusual: map[*instanceState]struct{}{}, holders: newPartHolders(),
	}
	t.peers, t.zones = newLoadSources(t.updateOthers), newLoadSources(t.updateOthers)
	return t
}

// Sync removes instances that are no longer listed, and applies the weight versions of a new list.
func (t *Tracker) Sync(view *upstreams.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if view.Revision == t.revision {
		return
	}
	t.revision = view.Revision
	t.forgetLists(view)
	present := make(map[upstreams.Key]bool, len(view.Instances))
	for i := range view.Instances {
		instance := &view.Instances[i]
		key := instance.Key()
		present[key] = true
		s := t.state(key)
		s.replaced = false
		t.speedOf(s, instance)
		for model, version := range instance.Versions {
			s.setVersion(model, max(version, s.versions[model]))
		}
	}
	for key, s := range t.instances {
		if !present[key] && s.requests == 0 {
			delete(t.instances, key)
			delete(t.unusual, s)
			s.cache.drop()
			s.dropVersions()
			t.sameHash[hashKey(key.ID)] = slices.DeleteFunc(t.sameHash[hashKey(key.ID)], func(other *instanceState) bool { return other == s })
			if len(t.sameHash[hashKey(key.ID)]) == 0 {
				delete(t.sameHash, hashKey(key.ID))
			}
			t.forgetSpeed(s)
			if t.byHash[hashKey(key.ID)] == s {
				delete(t.byHash, hashKey(key.ID))
			}
		}
	}
}

func (t *Tracker) state(key upstreams.Key) *instanceState {
	s := t.instances[key]
	if s == nil {
		s = &instanceState{tracker: t, id: key.ID, versions: map[string]uint64{}}
		s.cache = newPartCache(t.holders, s)
		t.instances[key] = s
		hash := hashKey(key.ID)
		t.byHash[hash] = s
		t.sameHash[hash] = append(t.sameHash[hash], s)
		s.others = t.others(hash)
	}
	return s
}

// setVersion records a weight version; the cache of an engine is empty once its weights change.
func (s *instanceState) setVersion(model string, version uint64) {
	if s.versions[model] != version {
		if _, found := s.versions[model]; !found {
			s.tracker.versioned[model]++
		}
		s.versions[model] = version
		s.tracker.versionsRevision++
		s.cache.drop()
		s.cache = newPartCache(s.tracker.holders, s)
	}
}

// dropVersions removes the versions of a state that is removed from the tracker.
func (s *instanceState) dropVersions() {
	t := s.tracker
	for model := range s.versions {
		if t.versioned[model]--; t.versioned[model] == 0 {
			delete(t.versioned, model)
			t.versionsRevision++
		}
	}
}

// others returns what the other nodes have in progress at an instance. The caller holds the lock.
func (t *Tracker) others(key uint32) usage {
	sum := t.peers.instances[key].plus(t.zones.instances[key], 1).plus(t.merged.instances[key], -1)
	return usage{max(0, sum.requests), max(0, sum.prefillTokens), max(0, sum.longTokens), max(0, sum.heldTokens)}
}

// updateOthers updates the states with a key after a change of what other nodes have in progress.
func (t *Tracker) updateOthers(key uint32) {
	if states := t.sameHash[key]; len(states) > 0 {
		others := t.others(key)
		for _, s := range states {
			s.others = others
		}
	}
}

// fail ejects an instance after consecutive failures, for longer each time until it answers again.
func (s *instanceState) fail(now time.Time) {
	s.failures++
	s.failureShare += failureWeight * (1 - s.failureShare)
	if s.failures < ejectAfter && s.failureShare < ejectShare || now.Before(s.ejectedUntil) {
		return
	}
	s.tracker.unusual[s] = struct{}{}
	s.ejectedUntil = now.Add(min(firstEjection<<s.ejections, lastEjection))
	s.ejections = min(s.ejections+1, 4)
	s.failureShare = 0
}

// Version returns the last known weight version of an instance, 0 if there is none.
func (t *Tracker) Version(instance *upstreams.Instance, model string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(instance.Key()).versions[model]
}

// Requests returns the requests in progress at an instance, from all nodes.
func (t *Tracker) Requests(instance *upstreams.Instance) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(instance.Key())
	return s.requests + s.others.requests
}
