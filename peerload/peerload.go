// Package peerload exchanges the load of the nodes: their requests in progress at upstreams and their transfers over
// the links of stores.
//
// Reports are sent over UDP: the next one makes up for a lost one. A node that stops reporting counts as idle after a
// while.
package peerload

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/supervise"
)

const (
	// maxDatagramRead is the largest possible datagram in bytes, so that none is truncated by its receiver.
	maxDatagramRead = 64 << 10
)

// Saves tracks which parts of prompts the nodes requested engines to save, so that other nodes don't request them
// again.
type Saves interface {
	DrainSaves() []uint64
	RecordSaves(parts []uint64)
}

// Limits holds the limits that instances name. See package upstreamlimit.
type Limits interface {
	News(now time.Time) []*nodepb.InstanceLimit
	Apply(source string, news []*nodepb.InstanceLimit, now time.Time)
}

// Cold holds the instances that may have restarted. See package coldstart.
type Cold interface {
	News(zone bool, now time.Time) []*nodepb.ColdInstance
	Apply(source string, zone bool, news []*nodepb.ColdInstance, now time.Time)
	ApplyUnresponsive(source string, ids []string, now time.Time)
}

// Accounts holds the recent upstream time of client accounts. See package fairshare.
type Accounts interface {
	Report(sequence uint64, now time.Time) []*nodepb.AccountLoad
	Digest(now time.Time) []*nodepb.AccountLoad
	ApplyReport(node string, sequence uint64, accounts []*nodepb.AccountLoad, now time.Time)
	ApplyDigest(d *nodepb.ZoneDigest, own bool, merged uint32, now time.Time)
}

// Options of an Exchange.
type Options struct {
	Node string
	// Self is this node's own address and zone.
	Self    Peer
	Tracker *placement.Tracker
	Saves   Saves
	// Quarantine is the list of suspected parts of prompts, which the nodes exchange.
	Quarantine Quarantine
	// Limits holds the limits that instances name, which the nodes exchange; nil for none.
	Limits Limits
	// Cold holds the instances that may have restarted, which the nodes exchange; nil for none.
	Cold Cold
	// Accounts holds the upstream time of accounts, which the nodes exchange; nil for none.
	Accounts Accounts
	Log      *zap.Logger
	Metrics  gometrics.Registry
}

// Exchange sends and receives reports. Its lock is acquired before those of the tracker, of the saves, of the quarantine
// and of the limits.
type Exchange struct {
	options Options
	metrics meters

	mu   sync.Mutex
	core *core
	// relays is set while this node relays, for the log.
	relays   bool
	speeds   speedLog
	suspects suspectsSender
	// resolved holds the resolved addresses of nodes.
	resolved map[string]*net.UDPAddr
	// changed wakes the sender when digests wait to be forwarded.
	changed chan struct{}
}

type meters struct {
	sent, received, forwarded, unreadable, shrunk, blockedParts gometrics.Counter
	// gap is the time between two digests of one zone in ms.
	gap gometrics.Histogram
	// lastDigest is when the last digest of each zone was applied.
	lastDigest map[string]time.Time
}

// New returns an Exchange; Run starts it.
func New(options Options) *Exchange {
	now := time.Now()
	r := options.Metrics
	return &Exchange{
		options: options, core: newCore(options.Self, uint64(now.UnixNano()), now), resolved: map[string]*net.UDPAddr{}, changed: make(chan struct{}, 1),
		suspects: suspectsSender{list: options.Quarantine},
		speeds:   newSpeedLog(r),
		metrics: meters{
			sent: gometrics.GetOrRegisterCounter("peerload.sent_bytes", r), received: gometrics.GetOrRegisterCounter("peerload.received_bytes", r),
			forwarded: gometrics.GetOrRegisterCounter("peerload.passed_digests", r), unreadable: gometrics.GetOrRegisterCounter("peerload.unreadable", r),
			shrunk:       gometrics.GetOrRegisterCounter("peerload.shrunk", r),
			blockedParts: gometrics.GetOrRegisterCounter("peerload.blocked_parts", r),
			gap:          gometrics.GetOrRegisterHistogram("peerload.digest_gap_ms", r, gometrics.NewExpDecaySample(256, 0.015)),
			lastDigest:   map[string]time.Time{},
		},
	}
}

// SetPeers applies the list of all nodes.
func (e *Exchange) SetPeers(all []Peer) {
	resolved := map[string]*net.UDPAddr{}
	var usable []Peer
	for _, peer := range all {
		address, err := net.ResolveUDPAddr("udp4", peer.Address)
		if err != nil {
			e.options.Log.Warn("address of a node cannot be used", zap.String("address", peer.Address), zap.Error(err))
			continue
		}
		resolved[peer.Address] = address
		usable = append(usable, peer)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resolved = resolved
	e.core.setPeers(usable)
}

// Run exchanges reports until the context ends.
func (e *Exchange) Run(ctx context.Context, conn *net.UDPConn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var receiver sync.WaitGroup
	defer receiver.Wait()
	receiver.Go(func() { e.receive(conn) })
	timer := time.NewTimer(minInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-e.changed:
		}
		wake := time.Now().Add(minInterval)
		_ = supervise.Call(e.options.Log, "load reports", func() { wake = e.sendDue(conn) })
		timer.Reset(max(0, time.Until(wake)))
	}
}

// sendDue sends what is due and returns when the next datagram is due.
func (e *Exchange) sendDue(conn *net.UDPConn) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now := time.Now(); e.core.isRelay(now) != e.relays {
		e.relays = !e.relays
		e.options.Log.Info("load relay changed", zap.Bool("relays", e.relays), zap.Int("position", e.core.position), zap.Int("zone_nodes", len(e.core.order)))
	}
	e.logSpeeds(time.Now())
	for _, p := range e.core.due(time.Now(), e) {
		for _, part := range split(p.data) {
			e.send(conn, p.to, part)
		}
	}
	return e.core.wake(time.Now())
}

// report implements source.
func (e *Exchange) report(sequence uint64) *nodepb.LoadReport {
	r := e.options.Tracker.Report(sequence)
	r.Node, r.Saves, r.Suspects = e.options.Node, e.options.Saves.DrainSaves(), e.suspects.forReport(time.Now())
	if e.options.Accounts != nil {
		r.Accounts = e.options.Accounts.Report(sequence, time.Now())
	}
	if e.options.Limits != nil {
		r.Limits = e.options.Limits.News(time.Now())
	}
	if e.options.Cold != nil {
		r.Cold = e.options.Cold.News(false, time.Now())
	}
	e.speeds.sent.Inc(int64(len(r.GetSpeeds())))
	if shrink(r) {
		e.metrics.shrunk.Inc(1)
	}
	return r
}

// digest implements source.
func (e *Exchange) digest(now time.Time) *nodepb.ZoneDigest {
	d := e.options.Tracker.Digest(now)
	e.speeds.sent.Inc(int64(len(d.GetSpeeds())))
	d.Suspects = e.suspects.forDigest(now)
	if e.options.Limits != nil {
		d.Limits = e.options.Limits.News(now)
	}
	if e.options.Cold != nil {
		d.Cold = e.options.Cold.News(true, now)
	}
	if e.options.Accounts != nil {
		d.Accounts = e.options.Accounts.Digest(now)
	}
	return d
}

func (e *Exchange) send(conn *net.UDPConn, to []string, datagram *nodepb.LoadDatagram) {
	data, err := proto.Marshal(datagram)
	if err != nil {
		e.options.Log.Error("encoding of a load report failed", zap.Error(err))
		return
	}
	for _, address := range to {
		if _, err := conn.WriteToUDP(data, e.resolved[address]); err != nil {
			e.options.Log.Debug("a load report was not sent", zap.String("peer", address), zap.Error(err))
			continue
		}
		e.metrics.sent.Inc(int64(len(data)))
	}
}

func (e *Exchange) receive(conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramRead)
	for {
		n, _, err := conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.options.Log.Debug("a load report was not read", zap.Error(err))
			continue
		}
		e.metrics.received.Inc(int64(n))
		_ = supervise.Call(e.options.Log, "load report", func() { e.apply(buffer[:n], time.Now()) })
	}
}

// apply applies one datagram.
func (e *Exchange) apply(data []byte, now time.Time) {
	datagram := &nodepb.LoadDatagram{}
	if err := proto.Unmarshal(data, datagram); err != nil {
		e.metrics.unreadable.Inc(1)
		e.options.Log.Warn("a load report cannot be read", zap.Error(err))
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	waiting := len(e.core.toForward)
	e.core.apply(datagram, now)
	if len(e.core.toForward) > waiting {
		e.metrics.forwarded.Inc(int64(len(e.core.toForward) - waiting))
		select {
		case e.changed <- struct{}{}:
		default:
		}
	}
	if r := datagram.GetReport(); r != nil {
		ejected, _ := e.options.Tracker.ApplyReport(r, e.options.Self.AvailabilityZone, now)
		e.logUnresponsive(r.GetNode(), ejected)
		e.speeds.received.Inc(int64(len(r.GetSpeeds())))
		e.options.Saves.RecordSaves(r.GetSaves())
		e.applySuspects(r.GetNode(), r.GetSuspects(), now)
		e.applyLimits(r.GetNode(), r.GetLimits(), now)
		e.applyCold(r.GetNode(), true, r.GetCold(), ejected, now)
		if e.options.Accounts != nil {
			e.options.Accounts.ApplyReport(r.GetNode(), r.GetSequence(), r.GetAccounts(), now)
		}
	}
	for _, d := range datagram.GetDigests() {
		e.applyDigest(d, now)
	}
}

func (e *Exchange) applyDigest(d *nodepb.ZoneDigest, now time.Time) {
	ownNode := ""
	if d.GetZone() == e.options.Self.AvailabilityZone {
		ownNode = e.options.Node
	}
	e.applySuspects(d.GetZone(), d.GetSuspects(), now)
	e.applyLimits(d.GetZone(), d.GetLimits(), now)
	e.applyAccounts(d, ownNode, now)
	ejected, applied := e.options.Tracker.ApplyDigest(d, ownNode, now)
	e.logUnresponsive(d.GetZone(), ejected)
	e.applyCold(d.GetZone(), false, d.GetCold(), ejected, now)
	if !applied {
		return
	}
	e.speeds.received.Inc(int64(len(d.GetSpeeds())))
	e.options.Saves.RecordSaves(d.GetSaves())
	if last, known := e.metrics.lastDigest[d.GetZone()]; known {
		e.metrics.gap.Update(now.Sub(last).Milliseconds())
	}
	e.metrics.lastDigest[d.GetZone()] = now
}

func (e *Exchange) logUnresponsive(source string, instances []string) {
	if len(instances) > 0 {
		e.options.Log.Info("instances silent by word of another node", zap.String("node", source), zap.Strings("instances", instances))
	}
}

func (e *Exchange) applyLimits(source string, limits []*nodepb.InstanceLimit, now time.Time) {
	if e.options.Limits != nil && len(limits) > 0 {
		e.options.Limits.Apply(source, limits, now)
	}
}

// applyCold takes what a node or zone reports of restarts. zone is set for a node of the own zone.
func (e *Exchange) applyCold(source string, zone bool, news []*nodepb.ColdInstance, ejected []string, now time.Time) {
	if e.options.Cold == nil || len(news)+len(ejected) == 0 {
		return
	}
	e.options.Cold.Apply(source, zone, news, now)
	e.options.Cold.ApplyUnresponsive(source, ejected, now)
}

// applyAccounts applies the sums of a zone. ownNode is the name of this node if the zone is its own: the digest then contains what this
// node reported.
func (e *Exchange) applyAccounts(d *nodepb.ZoneDigest, ownNode string, now time.Time) {
	if e.options.Accounts == nil {
		return
	}
	merged := uint32(0)
	if i := slices.Index(d.GetMergedNodes(), placement.NodeHash(ownNode)); ownNode != "" && i >= 0 && i < len(d.GetMergedSequences()) {
		merged = d.GetMergedSequences()[i]
	}
	e.options.Accounts.ApplyDigest(d, ownNode != "", merged, now)
}
