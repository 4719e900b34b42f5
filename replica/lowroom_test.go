package replica

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft"
)

// newSharedDiskGroup returns a group that has taken snapshots, on disks that others may fill.
func newSharedDiskGroup(t *testing.T, tune ...func(*Options)) (*group, map[uint64]sharedDisk) {
	disks := map[uint64]sharedDisk{1: newSharedDisk(4 * smallDiskBytes), 2: newSharedDisk(4 * smallDiskBytes), 3: newSharedDisk(4 * smallDiskBytes)}
	g := newGroup(t, 3, func(o *Options) {
		o.FS, o.StateMachine, o.SnapshotEvery = disks[o.ID], largeMachine{o.StateMachine.(*register)}, 10
		for _, f := range tune {
			f(o)
		}
	})
	for value := uint64(1); value <= 25; value++ {
		g.write(value, failoverLimit)
	}
	return g, disks
}

// Guards against a group that cannot be read while others take the room of the next snapshot on all disks: each leader that refuses commands hands
// over, and the followers wait with the first entry of the next one, which has no data, until others free room.
func TestLowRoomOnAllDisksLeavesReads(t *testing.T) {
	t.Parallel()
	g, disks := newSharedDiskGroup(t)
	var proposed, refused int
	for end := time.Now().Add(2*handOverInterval + 2*time.Second); time.Now().Before(end); {
		for id, disk := range disks {
			// Enough for votes and entries without data, too little for a snapshot of ninthBytes.
			disk.leave(min(int(disk.left.Load()), disk.Used()+roomReserve/2))
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			proposed++
			if _, err := g.members[id].Propose(ctx, set(100)); err != nil {
				refused++
			}
			cancel()
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("%d of %d commands refused", refused, proposed)
	require.Positive(t, refused)
	for id, p := range g.members {
		s := p.Status()
		t.Logf("member %d: %s of term %d, leader %d, waits %v, applied %d, commit %d, last %d", id, s.Role, s.Term, s.Leader, p.WaitsForRoom(), s.Applied, s.Commit, s.LastIndex)
	}
	require.Eventually(t, func() bool {
		for _, p := range g.members {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			err := p.ReadBarrier(ctx)
			cancel()
			if err == nil {
				return true
			}
		}
		return false
	}, failoverLimit, time.Millisecond, "no member can be read")
}

// Guards against a group that cannot be read because the followers wait without end with a command of their leader, whose disk has more room.
func TestLowRoomOfFollowersLeavesReads(t *testing.T) {
	t.Parallel()
	requireUnlessStalled(t, time.Second, func() error {
		g, disks := newSharedDiskGroup(t)
		leader := g.leader()
		term := leader.Status().Term
		for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for id, disk := range disks {
				if id != leader.options.ID {
					disk.leave(min(int(disk.left.Load()), disk.Used()+roomReserve/2))
				}
			}
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			_, _ = leader.Propose(ctx, set(100))
			cancel()
		}
		for id, p := range g.members {
			s := p.Status()
			t.Logf("member %d: %s of term %d, leader %d, waits %v, applied %d, commit %d, last %d", id, s.Role, s.Term, s.Leader, p.WaitsForRoom(), s.Applied, s.Commit, s.LastIndex)
		}
		ctx, cancel := context.WithTimeout(t.Context(), failoverLimit)
		defer cancel()
		if err := leader.ReadBarrier(ctx); err != nil {
			return err
		}
		if now := leader.Status().Term; now != term {
			return fmt.Errorf("term %d after term %d", now, term)
		}
		for _, disk := range disks {
			disk.leave(4 * smallDiskBytes)
		}
		g.write(101, failoverLimit)
		for _, p := range g.members {
			g.requireValue(p, 101)
		}
		return nil
	})
}

// Guards against a group that cannot be read until others free room, because a leader is elected again whose log ends with commands that the
// followers have no room for: they never take its first entry, which stands behind those commands.
func TestLeaderWhoseCommandsAreRefusedIsReplaced(t *testing.T) {
	t.Parallel()
	g, disks := newSharedDiskGroup(t, func(o *Options) { o.AckTimeout = 300 * time.Millisecond })
	leader := g.leader()
	require.Eventually(t, func() bool {
		for id, disk := range disks {
			if id != leader.options.ID {
				disk.leave(min(int(disk.left.Load()), disk.Used()+roomReserve/2))
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, _ = leader.Propose(ctx, set(100))
		s := leader.Status()
		return s.Role == raft.Leader && s.LastIndex > s.Commit+1
	}, failoverLimit, time.Millisecond)
	// The others don't reach each other, so only the old leader can win the next election.
	g.isolate(1)
	g.isolate(2)
	g.isolate(3)
	require.Eventually(t, func() bool { return leader.Status().Role != raft.Leader }, failoverLimit, time.Millisecond)
	g.reconnect(leader.options.ID)
	require.Eventually(t, func() bool { return leader.Status().Role == raft.Leader }, 3*failoverLimit, time.Millisecond)
	g.heal()
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 3*failoverLimit)
	defer cancel()
	require.NoError(t, leader.ReadBarrier(ctx))
	t.Logf("read after %v", time.Since(began))
}

// Guards against a leadership that changes every few seconds without end, because each member remembers a command that never fits its disk.
func TestLeadershipStaysAfterACommandThatFitsNoDisk(t *testing.T) {
	t.Parallel()
	requireUnlessStalled(t, time.Second, func() error {
		g := newGroup(t, 2, func(o *Options) { o.FS = newSharedDisk(smallDiskBytes) })
		leader := g.write(1, failoverLimit)
		for range 2 {
			if _, err := leader.Propose(t.Context(), make([]byte, smallDiskBytes/2)); !failure.Is(err, failure.StorageFailed) {
				return fmt.Errorf("a command that does not fit ended with %v", err)
			}
			// A leader that loses its leadership for another reason forgets the refused command.
			if !g.otherLeads(leader, 2*handOverInterval) {
				return errors.New("the leadership is not handed over")
			}
			leader = g.write(2, failoverLimit)
		}
		term := g.highestTerm()
		for end := time.Now().Add(2 * handOverInterval); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if now := g.highestTerm(); now != term {
				return fmt.Errorf("term %d after term %d although no command is refused", now, term)
			}
		}
		return nil
	})
}
