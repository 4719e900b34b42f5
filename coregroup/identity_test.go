package coregroup

import (
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/raft/diskfs/simdisk"
)

// Guards against an identity that is used after a sync of its directory failed, and that is lost with the power: the log of the member, which
// holds acknowledged changes, would be discarded.
func TestIdentitySurvivesAPowerLossAfterAFailedSync(t *testing.T) {
	t.Parallel()
	disk := simdisk.New()
	dir := t.TempDir()
	disk.FailNames(dir, syscall.EIO)
	require.ErrorIs(t, saveIdentity(disk, dir, identity{ID: 5, Founder: true}), syscall.EIO)
	disk.FailNames(dir, nil)
	for range 2 {
		self, found, err := loadIdentity(disk, dir)
		require.NoError(t, err)
		require.True(t, found)
		require.Equal(t, identity{ID: 5, Founder: true}, self)
		disk.Crash(rand.New(rand.NewPCG(1, 1)))
	}
}
