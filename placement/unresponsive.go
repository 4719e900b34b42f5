package placement

import (
	"time"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// markUnresponsive ejects an instance until it can be reached.
func (s *instanceState) markUnresponsive(now time.Time) {
	s.unresponsive = true
	s.tracker.unusual[s] = struct{}{}
	s.ejectedUntil = now.Add(unresponsiveEjection)
	for _, notify := range s.watchers {
		notify()
	}
}

// markReachable ends the ejection of an instance that can be reached again.
func (s *instanceState) markReachable(now time.Time) {
	s.answeredAt = now
	if s.unresponsive {
		s.unresponsive, s.foundHere = false, false
		// The former end may have passed long ago; a request that read the clock before still finds the instance ejected.
		s.tracker.unusual[s] = struct{}{}
		s.ejectedUntil = now
		// Its process may have been restarted under the same id.
		s.failures, s.failureShare = 0, 0
	}
}

// UnresponsiveInstances returns the instances of a view that could not be reached.
func (t *Tracker) UnresponsiveInstances(view *upstreams.View) []*upstreams.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*upstreams.Instance
	for i := range view.Instances {
		if s := t.instances[view.Instances[i].Key()]; s != nil && s.unresponsive && !view.Instances[i].Draining {
			out = append(out, &view.Instances[i])
		}
	}
	return out
}

// MarkReachable records that an instance can be reached again.
func (t *Tracker) MarkReachable(instance *upstreams.Instance, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(instance.Key()).markReachable(now)
}

// NotifyUnresponsive makes the tracker call notify when the instance is found unresponsive, until the send ends. The tracker
// is locked then: notify must neither block nor call it.
func (a *Attempt) NotifyUnresponsive(notify func()) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	s := a.tracker.state(a.key)
	if s.watchers == nil {
		s.watchers = map[*Attempt]func(){}
	}
	s.watchers[a] = notify
	if s.unresponsive {
		notify()
	}
}

// IsUnresponsive reports whether the send is in progress at an instance that does not respond.
func (a *Attempt) IsUnresponsive() bool {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	return !a.done && a.tracker.state(a.key).unresponsive
}

// minReporters is the number of nodes that must report an instance as unresponsive before this node ejects it: a
// single node may be busy or cut off.
const minReporters = 2

// applyUnresponsive ejects instances that enough nodes report as unresponsive, unless they answered this node within
// answerValidity. Without these reports each node would wait for its own time-out at each such instance. The node then
// probes the ejected instances itself. The caller holds the lock.
func (t *Tracker) applyUnresponsive(source *loadSource, reported map[uint32]int, now time.Time) (ejected []string) {
	old := source.unresponsive
	source.unresponsive = reported
	for key, nodes := range reported {
		if old[key] >= nodes {
			continue
		}
		if t.peers.unresponsiveNodes(key)+t.zones.unresponsiveNodes(key) < min(minReporters, t.peers.nodeCount()+t.zones.nodeCount()) {
			continue
		}
		if s := t.byHash[key]; s != nil && !s.unresponsive && now.Sub(s.answeredAt) > answerValidity {
			s.markUnresponsive(now)
			ejected = append(ejected, s.id)
		}
	}
	return ejected
}
