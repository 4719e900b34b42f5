package node

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/callers"
	"github.com/wasabishunt/wasabishunt/fleetview"
	"github.com/wasabishunt/wasabishunt/peerload"
	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// Set implements gateway.Sets.
func (n *Node) Set() *trafficset.Set { return n.set.Load() }

// Confirmed implements gateway.Sets.
func (n *Node) Confirmed() <-chan struct{} { return n.confirmed }

// setMargin is the time before the end of SetsWithin from which a set counts as outdated: a version is announced to nodes some
// hundred milliseconds after its acknowledgement at most.
const setMargin = 500 * time.Millisecond

// Outdated implements gateway.Sets. A node that has lost the core goes on with the set that it has: it knows of no newer one.
func (n *Node) Outdated() bool {
	since := n.behindSince.Load()
	return since != nil && n.config.SetsWithin > 0 && time.Since(*since) > max(n.config.SetsWithin-setMargin, n.config.SetsWithin/2)
}

// recordLag makes the state of lag available to requests.
func (n *Node) recordLag() {
	if since := n.lag.behindSince(); !since.IsZero() {
		n.behindSince.Store(&since)
	} else {
		n.behindSince.Store(nil)
	}
}

// applyUpdate applies an update of a core member. Versions never go back.
func (n *Node) applyUpdate(from string, u *nodepb.WatchUpdate) {
	n.updateMu.Lock()
	defer n.updateMu.Unlock()
	n.applyEvacuations(from, u, time.Now())
	n.lag.announce(u.GetSetVersion(), time.Now())
	n.recordLag()
	n.applyWeights(from, u)
	if leader := u.GetLeaderAddress(); leader != "" && u.GetFresh() {
		n.group.SetLeaderHint(leader)
	}
	if u.GetFresh() && n.currentVersion == 0 {
		n.currentVersion = u.GetSetVersion()
	}
	n.checkSynced(from)
	// A deposed leader that was paused may still claim to lead for a short time after it resumes.
	if !u.GetLeads() || u.GetTerm() < n.leaderTerm {
		return
	}
	n.leaderTerm = u.GetTerm()
	if nodes := int64(u.GetNodes()); nodes > 0 && nodes != n.nodes.Load() {
		n.nodes.Store(nodes)
		n.budget.SetNodes(int(nodes))
	}
	now := time.Now()
	n.stores.RecordContact()
	n.stores.SetClock(u.GetEngineClockMs())
	if len(u.GetLoadAddresses()) > 0 {
		peers := lo.Map(u.GetLoadAddresses(), func(address string, i int) peerload.Peer {
			return peerload.Peer{
				Address: address, AvailabilityZone: lo.NthOrEmpty(u.GetLoadZones(), i), LinkMbps: int(lo.NthOrEmpty(u.GetLoadLinks(), i)),
				CPUMillis: int(lo.NthOrEmpty(u.GetLoadCpu(), i)),
			}
		})
		n.loadExchange.SetPeers(peers)
		n.setOwners(peers, now)
	}
	n.limiter.Confirm(n.directory.View(), now)
	n.cold.Retain(n.directory.View(), now)
	if u.GetPlacements() != nil {
		n.stores.ApplyChanges(u.GetPlacements().GetStores())
	}
	n.group.AddContacts(lo.Map(u.GetMembers(), func(m *nodepb.CoreMember, _ int) string { return m.GetAddress() }))
	// A node that reads the instance list itself has a newer view than the one that its core member sends it.
	if u.GetInstances() != nil && !n.reader.ReadsForAll() {
		n.directory.ApplyList(fleetview.DecodeView(u.GetInstances()), now)
	}
	// The view is confirmed after it is applied, so that other nodes do not get an old one as current.
	n.directory.Confirm(now)
}

// coldLimit returns the cold limit of a service in the set in force.
func (n *Node) coldLimit(service string) trafficset.ColdLimit {
	if set := n.set.Load(); set != nil {
		if s := set.Service(service); s != nil {
			return s.Cold
		}
	}
	return trafficset.ColdLimit{}
}

// coldPerSecond returns what an instance accepts while it is cold, 0 if that is not known.
func (n *Node) coldPerSecond(hash uint32) float64 {
	if instance := n.directory.View().ByHash(hash); instance != nil {
		return n.coldLimit(instance.Service).PerSecond
	}
	return 0
}

// listAgeMs returns how long ago the instance list was known to be current in ms, -1 if it is not known.
func (n *Node) listAgeMs() int64 {
	if _, age, ok := n.directory.Copy(time.Now()); ok {
		return age.Milliseconds()
	}
	return -1
}

// checkSynced confirms the set once it is at least as new as the one that a core member had that was sure to be current, and such a member has
// sent the evacuated zones.
func (n *Node) checkSynced(from string) {
	set := n.set.Load()
	if n.synced.Load() || set == nil || n.currentVersion == 0 || set.Version < n.currentVersion || n.evacuationsConfirmed.Load() == nil {
		return
	}
	n.synced.Store(true)
	close(n.confirmed)
	n.log.Info("node is in step with the core", zap.Uint64("set_version", set.Version), zap.String("from", from))
}

// applySet puts a published set in force unless the node has a newer one.
func (n *Node) applySet(published fleetview.PublishedSet) {
	if old := n.set.Load(); old != nil && old.Version >= published.Version {
		return
	}
	begin := time.Now()
	// Decoding a large set takes a thin VM some tenths of a second, in which updates must not wait.
	set, err := n.parts.DecodeSet(published.Document)
	decodedIn := time.Since(begin)
	n.updateMu.Lock()
	defer n.updateMu.Unlock()
	// A set that cannot be read counts as taken in: refusing all requests would not bring it into force.
	behindFor := n.lag.advance(published.Version, time.Now())
	n.recordLag()
	if err != nil {
		n.log.Error("a published set cannot be read", zap.Uint64("set_version", published.Version), zap.Error(err))
		return
	}
	if old := n.set.Load(); old != nil && old.Version >= set.Version {
		return
	}
	n.set.Store(set)
	n.stores.Configure(set)
	n.server.SetLimits(callers.Limits{HeaderBytes: set.Limits.HeaderBytes, HeaderTimeout: set.Limits.HeaderTimeout, IdleTimeout: set.Limits.IdleTimeout})
	gometrics.GetOrRegisterHistogram("node.set_behind_ms", n.metrics, gometrics.NewUniformSample(behindSamples)).Update(behindFor.Milliseconds())
	n.log.Info("set in force", zap.Uint64("set_version", set.Version), zap.Int("routes", len(set.Routes)), zap.Int("bytes", len(published.Document)),
		zap.Duration("behind_for", behindFor), zap.Duration("fetched_in", published.FetchedIn), zap.Int64("transferred_bytes", published.TransferredBytes),
		zap.Duration("decoded_in", decodedIn), zap.String("from", published.From))
	n.checkSynced(published.From)
}

// behindSamples is the number of values in the sample of the times for which the node was behind.
const behindSamples = 256

// isSaltUsable reports whether requests may still use parts of KV cache with a salt: whether an engine still has its
// weight version or an older one.
func (n *Node) isSaltUsable(salt string) bool {
	version, ok := placement.SaltVersion(salt)
	if !ok {
		return true
	}
	view := n.directory.View()
	for i := range view.Instances {
		for _, loaded := range view.Instances[i].Versions {
			if loaded <= version {
				return true
			}
		}
	}
	return false
}
