package coregroup

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
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

// slowDisk takes between shortest and longest for each sync of a file.
type slowDisk struct {
	*simdisk.Disk
	shortest, longest time.Duration
}

func (d slowDisk) Create(name string) (diskfs.File, error) {
	file, err := d.Disk.Create(name)
	return slowFile{file, d}, err
}

func (d slowDisk) Append(name string) (diskfs.File, error) {
	file, err := d.Disk.Append(name)
	return slowFile{file, d}, err
}

type slowFile struct {
	diskfs.File
	disk slowDisk
}

func (f slowFile) Sync() error {
	time.Sleep(f.disk.shortest + rand.N(f.disk.longest-f.disk.shortest+1))
	return f.File.Sync()
}

// slowSyncs is a load of large sets on disks with slow syncs.
type slowSyncs struct {
	documentBytes, changesPerSecond int
	shortest, longest               time.Duration
}

// Guards against elections without end while syncs are slow and large sets change several times a second, because the time of a sync counts as
// silence of the other members; against a log that takes the disk, and members that wait for room; and against a group that takes no change
// afterwards.
func TestSlowSyncsBesideLargeSets(t *testing.T) {
	t.Parallel()
	playSlowSyncs(
		t,
		slowSyncs{250_000, 10, 50 * time.Millisecond, 100 * time.Millisecond},
		slowSyncs{3_000_000, 3, 50 * time.Millisecond, 100 * time.Millisecond},
		slowSyncs{3_000_000, 3, 50 * time.Millisecond, 200 * time.Millisecond},
	)
}

// Guards against a group that elects without end because syncs take up to half a second.
func TestSyncsOfHalfASecond(t *testing.T) {
	t.Parallel()
	playSlowSyncs(
		t,
		slowSyncs{1_000, 3, 50 * time.Millisecond, 500 * time.Millisecond},
		slowSyncs{250_000, 10, 50 * time.Millisecond, 500 * time.Millisecond},
		slowSyncs{3_000_000, 3, 50 * time.Millisecond, 500 * time.Millisecond},
	)
}

func playSlowSyncs(t *testing.T, cases ...slowSyncs) {
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d_bytes_%d_per_s_%s", c.documentBytes, c.changesPerSecond, c.longest), func(t *testing.T) {
			t.Parallel()
			core, logs := observer.New(zapcore.InfoLevel)
			var disks []*simdisk.Disk
			nodes := startNodesLogging(t, zap.New(core), func(int) diskfs.FS {
				disk := simdisk.New()
				disk.SetCapacity(diskBytes)
				disks = append(disks, disk)
				return slowDisk{disk, c.shortest, c.longest}
			}, true, true, true)
			require.Eventually(t, publish(nodes, 1), 2*convergenceTimeout, 20*time.Millisecond)
			before := logs.FilterMessage("raft leadership changed").Len()
			document := make([]byte, c.documentBytes)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var tasks sync.WaitGroup
			var mu sync.Mutex
			accepted, most := 0, 0
			ticker := time.NewTicker(time.Second / time.Duration(c.changesPerSecond))
			defer ticker.Stop()
			for version := uint64(2); ctx.Err() == nil; version++ {
				<-ticker.C
				for _, d := range disks {
					most = max(most, d.Used())
				}
				tasks.Go(func() {
					command := &nodepb.Command{Change: &nodepb.Command_Publish{Publish: &nodepb.PublishSet{Version: version, Document: document}}}
					for _, n := range nodes {
						if n.group.Propose(ctx, command) == nil {
							mu.Lock()
							accepted++
							mu.Unlock()
						}
					}
				})
			}
			tasks.Wait()
			t.Logf("accepted %d, most bytes %d, changes of leadership %d, waits %d", accepted, most,
				logs.FilterMessage("raft leadership changed").Len()-before, logs.FilterMessage("raft member waits for room on its disk").Len())
			require.Less(t, most, diskBytes*3/4)
			require.Zero(t, logs.FilterMessage("raft member waits for room on its disk").Len())
			require.Eventually(t, publish(nodes, 10_000), convergenceTimeout, 20*time.Millisecond)
		})
	}
}
