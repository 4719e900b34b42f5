package bytebudget

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const mebibyte = 1 << 20

// Guards against reads that lose or add bytes, take more memory than the budget allows, or do not give it back.
func TestReadAllIsLikeIoReadAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := bytes.Repeat([]byte("0123456789"), rapid.IntRange(0, 5000).Draw(t, "tens"))
		limit := rapid.Int64Range(0, 60_000).Draw(t, "limit")
		size := int64(-1)
		if rapid.Bool().Draw(t, "announced") {
			size = int64(len(content))
		}
		var r io.Reader = bytes.NewReader(content)
		if rapid.Bool().Draw(t, "by halves") {
			r = iotest.HalfReader(r)
		}
		b := New(mebibyte)
		h := b.Holder("a")
		got, err := h.ReadAll(r, size, limit)
		require.NoError(t, err)
		require.Equal(t, string(content[:min(int64(len(content)), limit+1)]), string(got))
		require.LessOrEqual(t, int64(cap(got)), b.Used())
		h.Close()
		h.Close()
		require.Zero(t, b.Used())
	})
}

// Guards against an error of the reader that is taken for the end, and against memory that a failed read keeps.
func TestErrorsAreReturned(t *testing.T) {
	b := New(mebibyte)
	h := b.Holder("a")
	_, err := h.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), -1, 100)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, err = h.ReadAll(strings.NewReader(strings.Repeat("x", 2*mebibyte)), -1, 4*mebibyte)
	require.ErrorIs(t, err, ErrExhausted)
	require.LessOrEqual(t, b.Used(), int64(mebibyte))
	h.Close()
	require.Zero(t, b.Used())
}

// Guards against memory that is taken for bytes which a caller announces and does not send.
func TestAnnouncedBytesTakeNoMemory(t *testing.T) {
	b := New(8 * mebibyte)
	reader, writer := io.Pipe()
	h := b.Holder("slow")
	done := make(chan error, 1)
	go func() {
		_, err := h.ReadAll(reader, 4*mebibyte, 4*mebibyte)
		done <- err
	}()
	_, err := writer.Write(make([]byte, 1000))
	require.NoError(t, err)
	require.LessOrEqual(t, b.Used(), int64(firstBuffer))
	require.NoError(t, writer.CloseWithError(io.ErrUnexpectedEOF))
	require.ErrorIs(t, <-done, io.ErrUnexpectedEOF)
	h.Close()
}

// load is a round-robin of owners that each take a number of bytes at a time for as long as there is room.
func load(b *Budget, owners []string, bytes int64) map[string]int64 {
	taken := map[string]int64{}
	for progress := true; progress; {
		progress = false
		for _, owner := range owners {
			if b.acquire(owner, bytes) {
				taken[owner] += bytes
				progress = true
			}
		}
	}
	return taken
}

// Guards against an owner whose many large bodies keep the others out: a flood of one account fills the memory of a node.
func TestFloodOfOneOwnerLeavesRoomForOthers(t *testing.T) {
	b := New(32 * mebibyte)
	flood := load(b, []string{"flood"}, 4*mebibyte)["flood"]
	require.LessOrEqual(t, flood, int64((1-reservedShare)*32*mebibyte))
	require.GreaterOrEqual(t, flood, int64(20*mebibyte), "most of an idle budget is there for one owner")
	for i := range 6 {
		require.True(t, b.acquire(fmt.Sprint("small", i), mebibyte))
	}
	require.False(t, b.acquire("flood", mebibyte))
}

// Guards against a budget that equal owners share unequally, or that leaves nothing to one more.
func TestEqualOwnersGetEqualShares(t *testing.T) {
	b := New(60 * mebibyte)
	owners := []string{"a", "b", "c", "d"}
	taken := load(b, owners, mebibyte)
	for _, owner := range owners {
		require.Equal(t, int64(12*mebibyte), taken[owner])
	}
	require.True(t, b.acquire("e", 10*mebibyte))
}

// Guards against counts that do not return to zero, or a sum above the limit, after any order of calls.
func TestSumsStayRight(t *testing.T) {
	b := New(10_000)
	random := rand.New(rand.NewPCG(1, 1))
	held := map[string][]int64{}
	for range 20_000 {
		owner := fmt.Sprint(random.IntN(5))
		if own := held[owner]; len(own) > 0 && random.IntN(2) == 0 {
			b.release(owner, own[len(own)-1])
			held[owner] = own[:len(own)-1]
		} else if amount := 1 + random.Int64N(2000); b.acquire(owner, amount) {
			held[owner] = append(own, amount)
		}
		require.LessOrEqual(t, b.Used(), int64(10_000))
	}
	for owner, own := range held {
		for _, amount := range own {
			b.release(owner, amount)
		}
	}
	require.Zero(t, b.Used())
	require.Empty(t, b.held)
}

// Guards against an answer that is lost although there is room for it a moment later.
func TestHolderWaitsForRoom(t *testing.T) {
	b := New(mebibyte)
	require.True(t, b.acquire("other", mebibyte/2))
	h := b.Holder("a")
	require.False(t, h.Grow(mebibyte/2), "without patience")
	h.Patience = time.Minute
	time.AfterFunc(20*time.Millisecond, func() { b.release("other", mebibyte/2) })
	require.True(t, h.Grow(mebibyte/2))
	h.Patience = time.Millisecond
	require.False(t, h.Grow(mebibyte))
}
