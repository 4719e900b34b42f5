// Package node assembles one process of a deployment: an entry for callers, plus a core member on VMs with a state
// disk.
package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"storj.io/drpc/drpcmux"

	"github.com/wasabishunt/wasabishunt/bytebudget"
	"github.com/wasabishunt/wasabishunt/callers"
	"github.com/wasabishunt/wasabishunt/coregroup"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/fleetview"
	"github.com/wasabishunt/wasabishunt/gateway"
	"github.com/wasabishunt/wasabishunt/kvstores"
	"github.com/wasabishunt/wasabishunt/peerload"
	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/quarantine"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/rollout"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
	"github.com/wasabishunt/wasabishunt/serving/coldstart"
	"github.com/wasabishunt/wasabishunt/serving/evacuation"
	"github.com/wasabishunt/wasabishunt/serving/fairshare"
	"github.com/wasabishunt/wasabishunt/serving/retrybudget"
	"github.com/wasabishunt/wasabishunt/supervise"
	"github.com/wasabishunt/wasabishunt/trafficset"
	"github.com/wasabishunt/wasabishunt/upstreamconn"
	"github.com/wasabishunt/wasabishunt/upstreamlimit"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Config is the configuration of a node.
type Config struct {
	Name, AvailabilityZone, IP string
	// DataDir is empty on a VM without a state disk.
	DataDir string
	// DiskBytes is the size of the state disk, 0 if unknown.
	DiskBytes int64
	// FirstStart is set at the first start of the whole deployment.
	FirstStart bool
	// Front, Ready and Internal are the addresses for callers, for the load balancer's health check and for other
	// nodes.
	Front, Ready, Internal string
	// InternalListen is the address to listen on for other nodes if it differs from Internal.
	InternalListen string
	// LoadReports is the UDP address for load reports of other nodes.
	LoadReports string
	// Seeds are the internal addresses of some core members.
	Seeds     []string
	Tolerance coregroup.Tolerance
	// Grace is the time between the stop signal and the kill.
	Grace          time.Duration
	MemoryBytes    int64
	MaxDescriptors int
	// LinkMbps is the bandwidth of the VM's link, 0 if unknown.
	LinkMbps int
	// CPUMillis is the VM's share of a core in thousandths, 0 if unknown.
	CPUMillis      int
	Retries        retrybudget.Limits
	UpstreamLimits UpstreamLimits
	// SetsWithin is the time after its acknowledgement in which a published set must be in force on each node that serves callers.
	SetsWithin time.Duration
	// WeightsWithin is the time after which requests must not start on weights older than those that operators named.
	WeightsWithin time.Duration
	// Zones are the availability zones that the settings name.
	Zones []string
	// EvacuateWithin is the time after its acknowledgement from which no request may reach an instance in an evacuated zone.
	EvacuateWithin time.Duration
	// AccountShares limits accounts above their share of a service that is short of capacity.
	AccountShares bool
	// HolderLease is the time that a new leader waits before it sends orders to engines, so that no earlier one still
	// sends any.
	HolderLease time.Duration
	// ColdBound bounds the requests that reach a cold instance in any second; ListLag is the age of what the instance list says, 0 if unknown.
	ColdBound coldstart.Bound
	ListLag   time.Duration
	// EstimateSpeeds makes the node estimate the speeds of the instances of all services, also of those whose answers don't state how
	// long work takes.
	EstimateSpeeds bool
}

// UpstreamLimits bounds what an upstream may send; 0 means the default.
type UpstreamLimits struct {
	HeadBytes, AnswerBytes int64
	// EventBytes limits one event of a stream.
	EventBytes int
}

// Parts holds the implementations that differ between platforms.
type Parts struct {
	Dialect   gateway.Dialect
	Lister    upstreams.Lister
	Stores    kvstores.Client
	Engines   rollout.Client
	DecodeSet func(document []byte) (*trafficset.Set, error)
	// FS is the file system of the state disk; default is that of the operating system.
	FS diskfs.FS
	// Operators returns the operators' HTTP server and its listener; nil on a node without them. The server calls setEvacuation to start or end
	// the evacuation of a zone.
	Operators func(group *coregroup.Group, setEvacuation func(ctx context.Context, zone string, evacuated bool) error) (*http.Server, net.Listener)
}

// Node is one process.
type Node struct {
	config  Config
	parts   Parts
	log     *zap.Logger
	metrics gometrics.Registry

	seeds   atomic.Pointer[[]string]
	set     atomic.Pointer[trafficset.Set]
	weights atomic.Pointer[rollout.Named]
	// evacuations is nil until a list arrives; evacuationsConfirmed is when a fresh update last arrived, nil before the first one. Both are
	// written with updateMu held.
	evacuations          atomic.Pointer[evacuation.List]
	evacuationsConfirmed atomic.Pointer[time.Time]
	// evacuationChangeAge is how old the last change was when the first list arrived, in ns; 0 if unknown.
	evacuationChangeAge atomic.Int64
	// zones are those of the settings.
	zones  atomic.Pointer[[]string]
	nodes  atomic.Int64
	synced atomic.Bool
	// confirmed is closed when synced is set.
	confirmed chan struct{}
	stopping  atomic.Bool
	// updateMu is held while an update is applied, and guards the fields up to leaderTerm.
	updateMu sync.Mutex
	lag      versionLag
	// behindSince is that of lag, nil if the node is not behind.
	behindSince atomic.Pointer[time.Time]
	// currentVersion is the version of the set that the first core member had that was sure to be current, 0 before.
	currentVersion uint64
	// leaderTerm is the highest term of a leader so far.
	leaderTerm        uint64
	group             *coregroup.Group
	directory         *upstreams.Directory
	reader            *upstreams.Reader
	placement         *fleetview.Placements
	stores            *kvstores.Directory
	storeCoordinator  *kvstores.Coordinator
	rolloutController *rollout.Controller
	tracker           *placement.Tracker
	loadExchange      *peerload.Exchange
	budget            *retrybudget.Budget
	limiter           *upstreamlimit.Limiter
	trials            *quarantine.Trials
	cold              *coldstart.Guard
	// shares is nil unless accounts are limited to shares.
	shares  *fairshare.Ledger
	gateway *gateway.Gateway
	server  *callers.Server
}

const (
	// memoryShare is the share of the memory limit that is set as the garbage collector's soft limit.
	memoryShare = 0.7
	// bodyMemoryShare is the share of the memory limit for request bodies and answers. The garbage collector may keep as much again.
	bodyMemoryShare = 0.3
	// reservedDescriptors is the number of descriptors for files, listeners and connections to other nodes.
	reservedDescriptors = 600
	// callerShare is the share of the remaining descriptors for callers; the rest is for upstreams.
	callerShare = 0.6
	// callerWriteTimeout closes a connection whose caller does not read.
	callerWriteTimeout = 10 * time.Second
	// initialNodes is the number of nodes assumed until the leader reports the actual one.
	initialNodes = 8
)

// New returns a node; Run starts it.
func New(config Config, parts Parts, log *zap.Logger, registry gometrics.Registry) *Node {
	n := &Node{config: config, parts: parts, log: log, metrics: registry, confirmed: make(chan struct{}), directory: upstreams.NewDirectory(), placement: fleetview.NewPlacements()}
	n.SetSeeds(config.Seeds)
	n.SetZones(config.Zones)
	n.nodes.Store(initialNodes)
	n.weights.Store(rollout.NewNamed(weightsLimit(config.WeightsWithin)))
	n.group = coregroup.New(coregroup.Options{
		Dir: config.DataDir, FS: parts.FS, Address: config.Internal, AvailabilityZone: config.AvailabilityZone, Seeds: n.Seeds, FirstStart: config.FirstStart,
		Tolerance: config.Tolerance, DiskBytes: config.DiskBytes, Log: log, Metrics: registry,
	})
	n.reader = &upstreams.Reader{Directory: n.directory, Lister: parts.Lister, ReadsForAll: func() bool { return n.group.Leads() && n.group.Fresh() }, Log: log}
	n.budget = retrybudget.New(config.Retries, time.Now)
	n.budget.SetNodes(initialNodes)
	n.stores = kvstores.NewDirectory(time.Now)
	n.storeCoordinator = &kvstores.Coordinator{Client: parts.Stores, Leads: n.reader.Current, Set: n.Set, Publisher: n.placement, Log: log}
	n.tracker = placement.NewTracker()
	if config.EstimateSpeeds {
		n.tracker.RequireSpeeds()
	}
	n.rolloutController = &rollout.Controller{
		Name: config.Name, Client: parts.Engines, Leads: func() bool { return n.group.Leads() && n.group.Fresh() }, Term: n.group.Term,
		Lease: config.HolderLease, Set: n.Set, WantedVersions: n.WantedVersions, Directory: n.directory,
		Requests: n.tracker.Requests, Log: log,
	}
	n.storeCoordinator.LastUsed = func(part kvstores.Part) time.Time { return n.tracker.LastUsed(part.Salt, part.ID) }
	n.storeCoordinator.Withdrawn = n.stores.Withdrawn
	n.storeCoordinator.IsSaltUsable, n.storeCoordinator.AcceptedEpoch = n.isSaltUsable, n.stores.AcceptedEpoch
	suspects := quarantine.New(config.Name)
	owners := rpcpool.New(rpcpool.Options{DialTimeout: permitDialTimeout})
	n.trials = quarantine.NewTrials(quarantine.TrialsOptions{Self: config.Internal, Ask: askTrials(owners), Log: log})
	n.limiter = upstreamlimit.New(upstreamlimit.Options{Self: config.Internal, Ask: askPermits(owners), ColdPerSecond: n.coldPerSecond, Log: log, Metrics: registry})
	n.limiter.SetColdBound(config.ColdBound)
	n.cold = coldstart.New(coldstart.Options{Directory: n.directory, ListLag: config.ListLag, Limit: n.coldLimit, Zone: n.zoneState, Log: log, Metrics: registry})
	exchange := peerload.Options{
		Node: config.Name, Self: peerload.Peer{Address: config.LoadReports, AvailabilityZone: config.AvailabilityZone, LinkMbps: config.LinkMbps, CPUMillis: config.CPUMillis},
		Tracker: n.tracker, Saves: n.stores, Quarantine: suspects, Limits: n.limiter, Cold: n.cold, Log: log, Metrics: registry,
	}
	if config.AccountShares {
		n.shares = fairshare.New()
		exchange.Accounts = n.shares
	}
	n.loadExchange = peerload.New(exchange)
	n.gateway = gateway.New(gateway.Options{
		AvailabilityZone: config.AvailabilityZone, Dialect: parts.Dialect, Sets: n, Directory: n.directory, Tracker: n.tracker, Stores: n.stores, Quarantine: suspects, Trials: n.trials,
		Limiter: n.limiter, Evacuations: n.Evacuations, Cold: n.cold, Shares: n.shares,
		Pool: upstreamconn.NewPool(upstreamconn.Options{MaxHeadBytes: config.UpstreamLimits.HeadBytes}), Budget: n.budget,
		AnswerBytes: config.UpstreamLimits.AnswerBytes, EventBytes: config.UpstreamLimits.EventBytes,
		Memory: bodyMemory(config.MemoryBytes),
		Nodes:  func() int { return int(n.nodes.Load()) }, Log: log, Metrics: registry,
	})
	_ = registry.Register("node.instance_list_age_ms", gometrics.NewFunctionalGauge(n.listAgeMs))
	_ = registry.Register("node.evacuated_zones", gometrics.NewFunctionalGauge(n.evacuatedZones))
	_ = registry.Register("node.evacuations_age_ms", gometrics.NewFunctionalGauge(n.evacuationsAgeMs))
	n.server = &callers.Server{Handler: supervise.HTTP(log, "request", n.gateway), Log: log, Metrics: registry, EndRequests: n.gateway.EndRequests}
	return n
}

// bodyMemory returns the budget for bodies and answers of a process with a memory limit, nil if there is no limit.
func bodyMemory(limit int64) *bytebudget.Budget {
	if limit <= 0 {
		return nil
	}
	return bytebudget.New(int64(bodyMemoryShare * float64(limit)))
}

// SetSeeds replaces the seeds after a change of settings.
func (n *Node) SetSeeds(seeds []string) { n.seeds.Store(&seeds) }

// Seeds returns the current seeds.
func (n *Node) Seeds() []string { return *n.seeds.Load() }

// Run serves until the context ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(n.config.MemoryBytes)))
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	mux := drpcmux.New()
	server := &fleetview.Server{Group: n.group, Directory: n.directory, Reader: n.reader, Placement: n.placement, EngineClock: n.storeCoordinator.EngineClock, Permits: n.limiter.Serve, Trials: n.trials.Grant, Namings: n.Namings, Log: n.log, Metrics: n.metrics, LinkMbps: n.config.LinkMbps}
	if err := errors.Join(nodepb.DRPCRegisterNode(mux, server), n.group.Register(mux)); err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "register the services of the node")
	}
	var tasks sync.WaitGroup
	groupCtx, stopGroup := context.WithCancel(running)
	defer stopGroup()
	groupDone := make(chan struct{})
	tasks.Go(func() { n.serveInternal(running, mux, listeners.internal) })
	tasks.Go(func() { n.group.Run(groupCtx); close(groupDone) })
	watcher := &fleetview.Watcher{
		Node: n.config.Name, AvailabilityZone: n.config.AvailabilityZone, Address: n.config.Internal, LoadAddress: n.config.LoadReports,
		LinkMbps: n.config.LinkMbps, CPUMillis: n.config.CPUMillis, Contacts: n.group.Contacts, Seeds: n.Seeds,
		OnUpdate: n.applyUpdate, OnSet: n.applySet, Directory: n.directory, NodeViews: server.NodeViews, Log: n.log,
	}
	for name, run := range map[string]func(){
		"instance list":     func() { n.reader.Run(running) },
		"stores":            func() { n.storeCoordinator.Run(running) },
		"silent instances":  func() { n.gateway.ProbeUnresponsive(running) },
		"orders to engines": func() { n.rolloutController.Run(running) },
		"outdated weights":  func() { n.recordRequiredWeights(running) },
		"load reports":      func() { n.loadExchange.Run(running, listeners.loads) },
		"watch":             func() { watcher.Run(running) },
	} {
		tasks.Go(func() { supervise.Loop(running, n.log, name, run) })
	}
	tasks.Go(func() { n.serveStatus(running, listeners.ready) })
	if n.parts.Operators != nil {
		tasks.Go(func() { n.serveOperators(running) })
	}
	tasks.Go(func() {
		if err := n.server.Serve(listeners.front); err != nil {
			n.log.Error("the listener for callers failed", zap.Error(err))
		}
	})
	n.log.Info("node started", zap.String("front", n.config.Front), zap.String("internal", n.config.Internal), zap.Bool("state_disk", n.config.DataDir != ""))
	<-ctx.Done()
	exitBy := time.Now().Add(n.config.Grace - exitMargin)
	n.stop(stopGroup, groupDone, listeners.front)
	cancel()
	if !finishBy(exitBy, &tasks) {
		// A core member waits for its disk without a limit. Its log is safe at any end of the process.
		n.log.Warn("node stopped before all its tasks have ended")
		return nil
	}
	n.log.Info("node stopped")
	return nil
}

// finishBy waits until the tasks have ended, at most until the given time, and reports whether they have.
func finishBy(end time.Time, tasks *sync.WaitGroup) bool {
	ended := make(chan struct{})
	go func() {
		tasks.Wait()
		close(ended)
	}()
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}

const (
	// balancerDelay is the time after which the load balancer sends no more callers to the node: it needs two failed
	// health checks, and the delay allows for a third.
	balancerDelay = 3 * time.Second
	// refusalLead is the time before the end of balancerDelay from which requests are refused that may last beyond the stop. The
	// platform counts balancerDelay from the moment at which it sends the signal.
	refusalLead = 200 * time.Millisecond
	// stopMargin is the time between the end of the last requests and the kill at the end of Grace.
	stopMargin = 400 * time.Millisecond
	// exitMargin is the time between the end of Run and the kill, if a task does not end. Closing the log may take 200 ms of it.
	exitMargin = 250 * time.Millisecond
	drainPoll  = 20 * time.Millisecond
)

// stop shuts the node down: it first fails the load balancer's health check and transfers leadership, accepts new
// connections for balancerDelay, and then lets requests in progress finish.
func (n *Node) stop(stopGroup context.CancelFunc, groupDone <-chan struct{}, front net.Listener) {
	deadline := time.Now().Add(n.config.Grace - stopMargin)
	n.stopping.Store(true)
	n.gateway.BeginClosing()
	n.log.Info("stopping", zap.Int("active", n.gateway.Active()))
	n.group.TransferLeadership()
	timer := time.NewTimer(balancerDelay - refusalLead)
	defer timer.Stop()
	<-timer.C
	n.gateway.FinishBy(deadline)
	timer.Reset(refusalLead)
	<-timer.C
	if err := n.server.StopAccepting(front); err != nil {
		n.log.Warn("closing the listener for callers failed", zap.Error(err))
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.server.Shutdown(ctx)
	n.log.Info("callers served", zap.Int("active", n.gateway.Active()))
	stopGroup()
	select {
	case <-groupDone:
	case <-ctx.Done():
	}
}

// Ready returns nil if the load balancer may send callers to this node.
func (n *Node) Ready() error {
	switch {
	case n.stopping.Load():
		return failure.New(failure.Draining, failure.NotRun, "the node is stopping")
	case n.set.Load() == nil || !n.synced.Load():
		return failure.New(failure.StaleSet, failure.NotRun, "the newest published set is not known yet")
	case n.evacuationsConfirmed.Load() == nil:
		return failure.New(failure.StaleSet, failure.NotRun, "the evacuated zones are not known yet")
	case n.Outdated():
		return failure.New(failure.StaleSet, failure.NotRun, "a newer set should be in force by now and has not arrived")
	case n.directory.View().Revision == 0:
		return failure.New(failure.NoUpstream, failure.NotRun, "the instance list is not known yet")
	}
	return nil
}
