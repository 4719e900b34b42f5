package coregroup

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// operation is a kind of change of a file system.
type operation string

const (
	opWrite  operation = "write"
	opSync   operation = "sync"
	opRename operation = "rename"
	opRemove operation = "remove"
)

// faults maps operations to the errors with which they fail.
type faults map[operation]error

// faultyDisk is a simulated disk of which some operations fail.
type faultyDisk struct {
	*simdisk.Disk
	faults *atomic.Pointer[faults]
}

func newFaultyDisk() faultyDisk {
	d := faultyDisk{simdisk.New(), &atomic.Pointer[faults]{}}
	d.fail(nil)
	return d
}

// fail replaces the operations that fail. A failed sync loses what it was to write.
func (d faultyDisk) fail(f faults) {
	d.faults.Store(&f)
	d.FailSync(f[opSync])
}

func (d faultyDisk) fault(o operation) error { return (*d.faults.Load())[o] }

func (d faultyDisk) MkdirAll(dir string) error {
	if err := d.fault(opWrite); errors.Is(err, syscall.EROFS) {
		return err
	}
	return d.Disk.MkdirAll(dir)
}

func (d faultyDisk) Create(name string) (diskfs.File, error) {
	if err := d.fault(opWrite); errors.Is(err, syscall.EROFS) {
		return nil, err
	}
	file, err := d.Disk.Create(name)
	return faultyFile{file, d}, err
}

func (d faultyDisk) Append(name string) (diskfs.File, error) {
	if err := d.fault(opWrite); errors.Is(err, syscall.EROFS) {
		return nil, err
	}
	file, err := d.Disk.Append(name)
	return faultyFile{file, d}, err
}

func (d faultyDisk) Rename(from, to string) error {
	if err := d.fault(opRename); err != nil {
		return err
	}
	return d.Disk.Rename(from, to)
}

func (d faultyDisk) Remove(name string) error {
	if err := d.fault(opRemove); err != nil {
		return err
	}
	return d.Disk.Remove(name)
}

func (d faultyDisk) Truncate(name string, size int64) error {
	if err := d.fault(opWrite); err != nil {
		return err
	}
	return d.Disk.Truncate(name, size)
}

func (d faultyDisk) Overwrite(name string, offset int64, data []byte) error {
	if err := d.fault(opWrite); err != nil {
		return err
	}
	return d.Disk.Overwrite(name, offset, data)
}

type faultyFile struct {
	diskfs.File
	disk faultyDisk
}

func (f faultyFile) Write(data []byte) (int, error) {
	if err := f.disk.fault(opWrite); err != nil {
		return 0, err
	}
	return f.File.Write(data)
}

// publisher publishes large sets, so that snapshots are taken and segments removed.
type publisher struct {
	nodes           []*testNode
	version, newest uint64
	accepted        int
}

// run publishes sets through whichever member leads, for a time.
func (p *publisher) run(t *testing.T, limit time.Duration) {
	document := make([]byte, 200_000)
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		p.version++
		command := &nodepb.Command{Change: &nodepb.Command_Publish{Publish: &nodepb.PublishSet{Version: p.version, Document: document}}}
		for _, n := range p.nodes {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			err := n.group.Propose(ctx, command)
			cancel()
			if err == nil {
				p.newest = p.version
				p.accepted++
				break
			}
		}
	}
}

// Guards against acknowledged sets that are lost, members that stand for election again and again, and members that never come back, when disks
// fail one kind of operation with EIO, or refuse all changes as a file system that was remounted read-only: of the leader, and of all members.
func TestDiskErrorsLoseNothingAndCauseNoElections(t *testing.T) {
	t.Parallel()
	readOnly := faults{opWrite: syscall.EROFS, opSync: syscall.EROFS, opRename: syscall.EROFS, opRemove: syscall.EROFS}
	cases := map[string]faults{"read_only": readOnly}
	for _, o := range []operation{opWrite, opSync, opRename, opRemove} {
		cases[string(o)] = faults{o: syscall.EIO}
	}
	for name, f := range cases {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s_all_%t", name, all), func(t *testing.T) {
				t.Parallel()
				playDiskErrors(t, f, all)
			})
		}
	}
}

func playDiskErrors(t *testing.T, f faults, all bool) {
	core, logs := observer.New(zapcore.InfoLevel)
	var disks []faultyDisk
	nodes := startNodesLogging(t, zap.New(core), func(int) diskfs.FS {
		disks = append(disks, newFaultyDisk())
		return disks[len(disks)-1]
	}, true, true, true)
	require.Eventually(t, publish(nodes, 1), convergenceTimeout, 20*time.Millisecond)
	p := &publisher{nodes: nodes, version: 1}
	p.run(t, time.Second)
	require.NotZero(t, p.accepted)
	for i, n := range nodes {
		if all || n.group.Leads() {
			disks[i].fail(f)
		}
	}
	// Every member may stand for election once, within twice the election timeout.
	p.run(t, 3*time.Second)
	leaders, before := logs.FilterMessage("raft leadership changed").Len(), p.accepted
	p.run(t, 3*time.Second)
	require.Equal(t, leaders, logs.FilterMessage("raft leadership changed").Len(), "the members elect while disks fail")
	if !all {
		require.Greater(t, p.accepted, before, "the other members accept no sets")
	}
	for _, d := range disks {
		d.fail(nil)
	}
	require.Eventually(t, func() bool {
		p.run(t, 100*time.Millisecond)
		return p.newest == p.version
	}, 3*maxRestartDelay, time.Millisecond, "no set is accepted once the disks work")
	for _, n := range nodes {
		require.GreaterOrEqual(t, read(t, n), p.newest)
	}
	for _, n := range nodes {
		n.stop()
	}
	for i, n := range nodes {
		disks[i].Crash(rand.New(rand.NewPCG(uint64(i), 1)))
		n.start()
	}
	for _, n := range nodes {
		require.GreaterOrEqual(t, read(t, n), p.newest, "a set was lost with the power")
	}
}
