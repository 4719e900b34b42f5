// Package peerload tells nodes what the others have in progress at upstreams and at the links of stores.
//
// Reports go by UDP: a lost one is replaced by the next. A node that is silent counts as idle after a while.
package peerload

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

const (
	// shortestInterval between reports; a prompt of 9,000 tokens is read in three times that.
	shortestInterval = 50 * time.Millisecond
	// intervalPerNode keeps the reports that a node receives below 400/s.
	intervalPerNode = 2500 * time.Microsecond
	maxDatagram     = 8 << 10
	// maxPeers is the number of nodes up to which all tell each other; with more, those of one availability zone do.
	// At 300 nodes that all told each other, reports were 1.5 s old.
	maxPeers = 64
)

// Peer is another node's address for reports.
type Peer struct{ Address, AvailabilityZone string }

// Saves are the parts of prompts that nodes ask engines to save. The others don't ask for them again.
type Saves interface {
	TakeSaves() []uint64
	NoteSaves(parts []uint64)
}

// Exchange sends and takes reports.
type Exchange struct {
	Node string
	// Address and AvailabilityZone are this node's own.
	Address, AvailabilityZone string
	Tracker                   *placement.Tracker
	Saves                     Saves
	Log                       *zap.Logger

	mu    sync.Mutex
	peers []*net.UDPAddr
}

// SetPeers takes the addresses of all nodes.
func (e *Exchange) SetPeers(all []Peer) {
	var peers []*net.UDPAddr
	for _, peer := range all {
		if peer.Address == e.Address || len(all) > maxPeers && peer.AvailabilityZone != e.AvailabilityZone {
			continue
		}
		address, err := net.ResolveUDPAddr("udp4", peer.Address)
		if err != nil {
			e.Log.Warn("address of a node cannot be used", zap.String("address", peer.Address), zap.Error(err))
			continue
		}
		peers = append(peers, address)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers = peers
}

func (e *Exchange) current() []*net.UDPAddr {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers
}

// Run exchanges reports until the context ends.
func (e *Exchange) Run(ctx context.Context, conn *net.UDPConn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var receiver sync.WaitGroup
	defer receiver.Wait()
	receiver.Go(func() { e.receive(conn) })
	sequence := uint64(time.Now().UnixNano())
	timer := time.NewTimer(shortestInterval)
	defer timer.Stop()
	idle := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		peers := e.current()
		timer.Reset(max(shortestInterval, time.Duration(len(peers))*intervalPerNode))
		report := e.Tracker.Report()
		report.Saves = e.Saves.TakeSaves()
		empty := len(report.GetKeys())+len(report.GetSilent())+len(report.GetReads())+len(report.GetSaves()) == 0
		if empty && idle {
			continue
		}
		idle = empty
		sequence++
		report.Node, report.Sequence = e.Node, sequence
		e.send(conn, peers, report)
	}
}

func (e *Exchange) send(conn *net.UDPConn, peers []*net.UDPAddr, report *nodepb.LoadReport) {
	data, err := proto.Marshal(report)
	if err != nil {
		e.Log.Error("encoding of a load report failed", zap.Error(err))
		return
	}
	for _, peer := range peers {
		if _, err := conn.WriteToUDP(data, peer); err != nil {
			e.Log.Debug("a load report was not sent", zap.Stringer("peer", peer), zap.Error(err))
		}
	}
}

func (e *Exchange) receive(conn *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.Log.Debug("a load report was not read", zap.Error(err))
			continue
		}
		report := &nodepb.LoadReport{}
		if err := proto.Unmarshal(buffer[:n], report); err != nil {
			e.Log.Warn("a load report cannot be read", zap.Error(err))
			continue
		}
		if silenced := e.Tracker.Peer(report, time.Now()); len(silenced) > 0 {
			e.Log.Info("instances silent by word of another node", zap.String("node", report.GetNode()), zap.Strings("instances", silenced))
		}
		e.Saves.NoteSaves(report.GetSaves())
	}
}
