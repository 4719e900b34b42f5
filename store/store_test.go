package store

import (
	"bytes"
	"encoding/binary"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/blake3"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
)

const testAccount = "account"

// overwrite fills a freed block, as reuse for another piece would.
func overwrite(data []byte) {
	for i := range data {
		data[i] = 0xEE
	}
}

func open(t require.TestingT, fs FS, settings Settings) *Store {
	settings.onFree = overwrite
	s, err := New(fs, settings)
	require.NoError(t, err)
	return s
}

// sample returns a piece whose body depends on its number and a variant.
func sample(number, variant, length int) (piece.Header, []byte) {
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:], uint64(number))
	binary.LittleEndian.PutUint64(seed[8:], uint64(variant))
	body := make([]byte, length)
	hasher := blake3.New()
	_, _ = hasher.Write(seed[:])
	_, _ = hasher.Digest().Read(body)
	h := piece.Header{
		Name: blake3.Sum256(seed[:8]), Length: int64(length), Tokens: 2000, RecomputeMs: 100,
		Checksum: piece.Sum(body), Account: testAccount, WeightVersion: "v1",
	}
	return h, body
}

func put(t require.TestingT, s *Store, number, length int) (piece.Header, []byte) {
	h, body := sample(number, 0, length)
	outcome, err := s.Put(h, body, 0)
	require.NoError(t, err)
	require.Equal(t, Stored, outcome)
	return h, body
}

func wantFor(h piece.Header) piece.Want { return piece.Want{Name: h.Name, Account: h.Account} }

// requireHeld checks that a get returns exactly the body.
func requireHeld(t require.TestingT, s *Store, h piece.Header, body []byte) {
	lease, err := s.Get(testContext(t), wantFor(h))
	require.NoError(t, err)
	defer lease.Release()
	require.True(t, bytes.Equal(body, lease.Body))
}

func requireMiss(t require.TestingT, s *Store, want piece.Want) {
	_, err := s.Get(testContext(t), want)
	require.True(t, failure.Is(err, failure.NotFound), "got %v", err)
}

// diskOnly returns settings with a memory tier that is too small for any piece.
func diskOnly() Settings { return Settings{MemoryBytes: 1} }

// Guards against pieces of either tier that are lost or changed by a restart.
func TestPieceIsHeldInBothTiersAndAfterARestart(t *testing.T) {
	for _, settings := range []Settings{{}, diskOnly()} {
		fs, err := NewDirFS(t.TempDir() + "/pieces")
		require.NoError(t, err)
		s := open(t, fs, settings)
		h, body := put(t, s, 1, 100_000)
		requireHeld(t, s, h, body)
		s = open(t, fs, settings)
		requireHeld(t, s, h, body)
		assert.Equal(t, fileBytes(h), s.Stats().DiskBytes)
	}
}

// Guards against an account that reads, looks up or overwrites a piece of another account.
func TestPieceOfAnotherAccountIsAMiss(t *testing.T) {
	s := open(t, newMemFS(), Settings{})
	h, body := put(t, s, 1, 100)
	requireMiss(t, s, piece.Want{Name: h.Name, Account: "other"})
	assert.Equal(t, []bool{false}, s.Has("other", []piece.Name{h.Name}))
	other, otherBody := sample(1, 1, 100)
	other.Account = "other"
	outcome, err := s.Put(other, otherBody, 0)
	require.Error(t, err)
	assert.Equal(t, RefusedOtherAccount, outcome)
	requireHeld(t, s, h, body)
}

// Guards against damaged files that are returned as pieces or stay in the index, before and after a restart.
func TestDamagedFileIsAMiss(t *testing.T) {
	cases := map[string]func([]byte) []byte{
		"flipped body bit": func(b []byte) []byte { b[len(b)-1] ^= 1; return b },
		"flipped header":   func(b []byte) []byte { b[40] ^= 1; return b },
		"torn":             func(b []byte) []byte { return b[:len(b)-1] },
		"trailing byte":    func(b []byte) []byte { return append(b, 0) },
		"empty":            func([]byte) []byte { return nil },
		"other piece": func([]byte) []byte {
			h, body := sample(2, 0, 1000)
			h.Generation = 1
			header, _ := piece.EncodeHeader(h)
			return append(header, body...)
		},
		"other generation": func([]byte) []byte {
			h, body := sample(1, 1, 1000)
			h.Generation = 9
			header, _ := piece.EncodeHeader(h)
			return append(header, body...)
		},
	}
	for name, damage := range cases {
		for _, restart := range []bool{false, true} {
			fs := newMemFS()
			s := open(t, fs, diskOnly())
			h, _ := put(t, s, 1, 1000)
			fs.change(damage)
			if restart {
				s = open(t, fs, diskOnly())
			}
			requireMiss(t, s, wantFor(h))
			assert.Equal(t, []bool{false}, s.Has(testAccount, []piece.Name{h.Name}), name)
			assert.Zero(t, fs.count(), name)
		}
	}
}

// Guards against a flipped bit in the memory tier that is returned to a reader.
func TestDamagedMemoryIsAMiss(t *testing.T) {
	s := open(t, newMemFS(), Settings{})
	h, _ := put(t, s, 1, 1000)
	s.entries[h.Name].block.data[5] ^= 1
	requireMiss(t, s, wantFor(h))
	assert.Zero(t, s.Stats().Pieces)
}

// Guards against a put that stores a body which does not match its header.
func TestPutChecksTheBody(t *testing.T) {
	fs := newMemFS()
	s := open(t, fs, Settings{MaxPieceBytes: 2000})
	h, body := sample(1, 0, 1000)
	check := func(want Outcome, h piece.Header, body []byte) {
		outcome, err := s.Put(h, body, 0)
		require.Error(t, err)
		assert.Equal(t, want, outcome)
	}
	check(RefusedTorn, h, body[:999])
	check(RefusedTorn, h, append(bytes.Clone(body), 0))
	check(RefusedChecksum, h, make([]byte, 1000))
	big, bigBody := sample(1, 0, 2001)
	check(RefusedOversize, big, bigBody)
	h.Account = ""
	check(RefusedInvalid, h, body)
	assert.Zero(t, fs.count())
}

// Guards against a full disk that leaves a partial file, leaks reserved space or stops the store permanently.
func TestFullDiskRefusesThePieceAndRecovers(t *testing.T) {
	fs := newMemFS()
	s := open(t, fs, Settings{})
	first, firstBody := put(t, s, 1, 1000)
	fs.set(func() { fs.space = 500 })
	h, body := sample(2, 0, 1000)
	outcome, err := s.Put(h, body, 0)
	assert.Equal(t, RefusedFull, outcome)
	assert.True(t, failure.Is(err, failure.StorageFailed))
	requireMiss(t, s, wantFor(h))
	requireHeld(t, s, first, firstBody)
	assert.Equal(t, 1, fs.count())
	assert.Equal(t, fileBytes(first), s.Stats().DiskBytes)
	fs.set(func() { fs.space = -1 })
	put(t, s, 2, 1000)
}

// Guards against a file system whose files are limited in size, or a quota, that counts as a failed disk: callers are told that the store is out
// of order, although smaller pieces still fit.
func TestLimitsOfFilesAndQuotasCountAsFull(t *testing.T) {
	for _, refusal := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EFBIG} {
		fs := newMemFS()
		s := open(t, fs, Settings{})
		fs.set(func() { fs.space, fs.refusal = 500, refusal })
		h, body := sample(1, 0, 1000)
		outcome, err := s.Put(h, body, 0)
		assert.Equal(t, RefusedFull, outcome, "%v", err)
		assert.Zero(t, fs.count())
		fs.set(func() { fs.space = -1 })
		put(t, s, 2, 1000)
	}
}

// Guards against a failed sync that is ignored or retried: neither this piece nor a later one may be published.
func TestFailedSyncStopsWrites(t *testing.T) {
	for _, fail := range []func(*memFS){
		func(fs *memFS) { fs.failSync = true },
		func(fs *memFS) { fs.failDirSync = true },
	} {
		fs := newMemFS()
		s := open(t, fs, Settings{})
		first, firstBody := put(t, s, 1, 1000)
		fail(fs)
		for number := 2; number < 4; number++ {
			h, body := sample(number, 0, 1000)
			outcome, err := s.Put(h, body, 0)
			assert.Equal(t, RefusedStorage, outcome)
			assert.True(t, failure.Is(err, failure.StorageFailed))
			requireMiss(t, s, wantFor(h))
		}
		requireHeld(t, s, first, firstBody)
		assert.True(t, s.Stats().SyncFailed)
	}
}

// Guards against a piece that is acknowledged before its content and its file name are durable.
func TestAcknowledgedPieceSurvivesACrash(t *testing.T) {
	fs := newMemFS()
	s := open(t, fs, Settings{})
	h, body := put(t, s, 1, 1000)
	fs.crash(func() bool { return false }, func(int) int { return 0 })
	requireHeld(t, open(t, fs, Settings{}), h, body)
}

// Guards against a block that is reused while a reader holds a lease; the test overwrites freed blocks.
func TestLeaseKeepsTheBodyThroughEvictionAndReplacement(t *testing.T) {
	fs := newMemFS()
	s := open(t, fs, Settings{DiskBytes: 2500})
	h, body := put(t, s, 1, 1000)
	lease, err := s.Get(t.Context(), wantFor(h))
	require.NoError(t, err)
	for number := 2; number < 6; number++ {
		put(t, s, number, 1000) // Room for two pieces: these evict each other, not the leased one.
	}
	assert.Equal(t, []bool{true}, s.Has(testAccount, []piece.Name{h.Name}))
	replacement, newBody := sample(1, 1, 1000)
	outcome, err := s.Put(replacement, newBody, 0)
	require.NoError(t, err)
	require.Equal(t, Stored, outcome)
	assert.Equal(t, body, lease.Body)
	files := fs.count()
	lease.Release()
	assert.Equal(t, files-1, fs.count(), "the last lease removes the file of the replaced generation")
	requireHeld(t, s, replacement, newBody)
}

// Guards against a reader that requests an old generation and gets the new one.
func TestOldGenerationIsAMiss(t *testing.T) {
	s := open(t, newMemFS(), Settings{})
	h, _ := put(t, s, 1, 1000)
	want := wantFor(h)
	want.Generation = 1
	lease, err := s.Get(t.Context(), want)
	require.NoError(t, err)
	lease.Release()
	replacement, newBody := sample(1, 1, 1000)
	_, err = s.Put(replacement, newBody, 0)
	require.NoError(t, err)
	requireMiss(t, s, want)
	requireHeld(t, s, replacement, newBody)
}

// Guards against a piece that can be read while it is being written, or is written twice concurrently.
func TestPendingPieceIsAMiss(t *testing.T) {
	fs := newMemFS()
	s := open(t, fs, Settings{})
	h, body := sample(1, 0, 1000)
	var outcome Outcome
	fs.onCreate = func(string) {
		fs.onCreate = nil
		requireMiss(t, s, wantFor(h))
		outcome, _ = s.Put(h, body, 0)
	}
	put(t, s, 1, 1000)
	assert.Equal(t, RefusedBusy, outcome)
}

// Guards against an account with many pieces that evicts those of an account with few.
func TestAccountAboveItsShareEvictsItsOwnPieces(t *testing.T) {
	s := open(t, newMemFS(), Settings{DiskBytes: 20_000})
	small, smallBody := sample(1000, 0, 1000)
	small.Account, small.RecomputeMs = "small", 1
	_, err := s.Put(small, smallBody, 0)
	require.NoError(t, err)
	for number := range 100 {
		put(t, s, number, 1000)
	}
	requireHeld(t, s, small, smallBody)
	assert.LessOrEqual(t, s.Stats().DiskBytes, int64(20_000))
}
