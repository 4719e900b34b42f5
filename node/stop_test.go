package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft/diskfs/hangdisk"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Guards against a node that is killed in the middle of its stop, or never exits, because its core member waits for a sync without a limit.
func TestNodeOnAHungDiskStopsInTime(t *testing.T) {
	disk := hangdisk.New()
	f := &fleet{t: t, seeds: []string{freeAddress(t)}, fs: disk}
	list := &testList{}
	list.show(upstreams.Instance{ID: "a", Service: "s", Address: "1", Born: 1})
	n := f.start(t.TempDir(), f.seeds[0], list)
	t.Cleanup(n.stop)
	publish := func(version uint64) error {
		return n.group.Propose(t.Context(), &nodepb.Command{Change: &nodepb.Command_Publish{Publish: &nodepb.PublishSet{Version: version, Document: []byte{byte(version)}}}})
	}
	require.Eventually(t, func() bool { return publish(1) == nil }, 20*time.Second, 20*time.Millisecond)
	release := disk.Hang()
	t.Cleanup(release)
	proposed := make(chan error, 1)
	go func() { proposed <- publish(2) }()
	<-disk.Waiting()
	stopped := make(chan struct{})
	began := time.Now()
	go func() {
		n.stop()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(testGrace):
		require.Fail(t, "the node does not stop before the kill")
	}
	t.Logf("stopped after %v", time.Since(began))
	release()
	<-proposed
}
