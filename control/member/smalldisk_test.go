package member

import (
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/control"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
	"github.com/wasabishunt/wasabishunt/replica"
	"github.com/wasabishunt/wasabishunt/rpc/raftpb"
)

const smallDiskBytes = 4 << 20

// smallDisk is a simulated disk that knows its size.
type smallDisk struct{ *simdisk.Disk }

func (d smallDisk) Space(string) (diskfs.Space, error) {
	return diskfs.Space{Total: smallDiskBytes, Free: int64(smallDiskBytes - d.Used())}, nil
}

// Guards against a member whose log fills its disk because the size of the disk is not known: no snapshot fits then, and no command is
// accepted any more.
func TestLogStaysWithinTheDisk(t *testing.T) {
	t.Parallel()
	disk := smallDisk{simdisk.New()}
	disk.SetCapacity(smallDiskBytes)
	address := "127.0.0.1:1"
	m, err := Open(Options{
		Replica: replica.Options{ID: 1, Group: "test", Address: address, Dir: "data", FS: disk, Bootstrap: []*raftpb.Member{{Id: 1, Address: address}}},
		Control: control.Options{MemberID: 1, Metrics: gometrics.NewRegistry()}, Log: zap.NewNop(), Metrics: gometrics.NewRegistry(),
	})
	require.NoError(t, err)
	t.Cleanup(m.replica.Stop)
	// The state machine skips a command that cannot be decoded.
	command := make([]byte, 100<<10)
	for range 3 * smallDiskBytes / len(command) {
		require.Eventually(t, func() bool {
			_, err := m.replica.Propose(t.Context(), command)
			return err == nil
		}, 5*time.Second, time.Millisecond)
		require.Less(t, disk.Used(), smallDiskBytes*3/4)
	}
}
