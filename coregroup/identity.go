package coregroup

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/raft/diskfs"
)

// identity identifies the data directory of a member. It is stored in that directory, so a lost disk loses it too.
type identity struct {
	ID uint64 `json:"id"`
	// Founder is stored before the member forms the group, so that a restart in between forms the same group.
	Founder bool `json:"founder"`
}

const (
	identityName = "identity"
	// maxMemberID keeps identities in the positive range of a signed integer.
	maxMemberID = 1 << 62
)

// loadIdentity reads the identity of a data directory, or generates one for an empty directory.
func loadIdentity(fs diskfs.FS, dir string) (self identity, found bool, err error) {
	if err := fs.MkdirAll(dir); err != nil {
		return self, false, failure.Wrap(err, failure.StorageFailed, failure.NotRun, "create the data directory")
	}
	names, err := fs.List(dir)
	if err != nil {
		return self, false, failure.Wrap(err, failure.StorageFailed, failure.NotRun, "list the data directory")
	}
	if !slices.Contains(names, identityName) {
		// A removed member may have stopped before discard had emptied its directory.
		return identity{ID: 1 + rand.Uint64N(maxMemberID)}, false, discard(dir)
	}
	content, err := fs.ReadFile(filepath.Join(dir, identityName))
	if err == nil {
		err = json.Unmarshal(content, &self)
	}
	if err != nil || self.ID == 0 {
		return self, false, failure.Wrap(err, failure.StorageFailed, failure.NotRun, "read the identity of the data directory")
	}
	// The process may have ended before the file had a durable name. Without it the log of this member would be discarded.
	if err := fs.SyncDir(dir); err != nil {
		return self, false, failure.Wrap(err, failure.StorageFailed, failure.NotRun, "sync the data directory")
	}
	return self, true, nil
}

func saveIdentity(fs diskfs.FS, dir string, self identity) error {
	content, err := json.Marshal(self)
	if err == nil {
		err = diskfs.WriteFile(fs, filepath.Join(dir, identityName), content)
	}
	if err != nil {
		return failure.Wrap(err, failure.StorageFailed, failure.NotRun, "write the identity of the data directory")
	}
	return nil
}

// discard empties the data directory of a member that was removed from the group. The identity is deleted first: without
// it the rest of the directory is never used.
func discard(dir string) error {
	if err := os.RemoveAll(filepath.Join(dir, identityName)); err != nil {
		return failure.Wrap(err, failure.StorageFailed, failure.NotRun, "discard the identity of the data directory")
	}
	if err := (diskfs.OS{}).SyncDir(dir); err != nil {
		return failure.Wrap(err, failure.StorageFailed, failure.NotRun, "sync the data directory")
	}
	entries, err := os.ReadDir(dir)
	if err != nil {
		return failure.Wrap(err, failure.StorageFailed, failure.NotRun, "list the data directory")
	}
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(dir, entry.Name())); err != nil {
			return failure.Wrap(err, failure.StorageFailed, failure.NotRun, "discard %s", entry.Name())
		}
	}
	return nil
}
