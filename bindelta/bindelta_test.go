package bindelta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testLimit = 1 << 20

// objects returns a document with a list of small objects with random names.
func objects(random *rand.Rand, count int) [][]byte {
	list := make([][]byte, count)
	for i := range list {
		list[i] = fmt.Appendf(nil, `{"name":"r-%08x","hostname":"%06x.example","path-prefix":"/%07x/","kind":"safe","timeout-ms":1500,"priority":1,"service":"%05x"}`,
			random.Uint32(), random.Uint32N(1<<24), random.Uint32N(1<<28), random.Uint32N(1<<20))
	}
	return list
}

func join(list [][]byte) []byte { return bytes.Join(list, []byte(",")) }

func roundTrip(t require.TestingT, base, target []byte) int {
	delta, err := Encode(base, target)
	require.NoError(t, err)
	got, err := Apply(base, delta, testLimit)
	require.NoError(t, err)
	require.Equal(t, string(target), string(got))
	return len(delta)
}

// Guards against a delta that yields another document than the one that was encoded.
func TestDeltaYieldsTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "base")
		var target []byte
		for range rapid.IntRange(0, 6).Draw(t, "pieces") {
			from := rapid.IntRange(0, len(base)).Draw(t, "from")
			to := rapid.IntRange(from, len(base)).Draw(t, "to")
			target = append(target, base[from:to]...)
			target = append(target, rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "new")...)
		}
		roundTrip(t, base, target)
		roundTrip(t, nil, target)
		roundTrip(t, target, base)
	})
}

// Guards against changes of a large document that cost as much as the document.
func TestSmallChangesHaveSmallDeltas(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	list := objects(random, 3000)
	base := join(list)
	changed := append([][]byte{}, list...)
	changed[1500] = objects(random, 1)[0]
	require.Less(t, roundTrip(t, base, join(changed)), 500)
	require.Less(t, roundTrip(t, base, join(append(list[:1000:1000], list[1010:]...))), 500, "removed objects")
	added := objects(random, 1000)
	// The names of an added object have 13 random bytes.
	require.Less(t, roundTrip(t, base, join(append(list[:100:100], append(added, list[100:]...)...))), 40*len(added))
	require.Less(t, roundTrip(t, nil, base), len(base)/3, "the text of a document without a base is compressed")
}

// Guards against malformed deltas that end the process, take memory without limit or are taken for valid.
func TestMalformedDeltasAreRefused(t *testing.T) {
	base := bytes.Repeat([]byte("0123456789abcdef"), 64)
	delta, err := Encode(base, append(append([]byte{}, base...), "tail"...))
	require.NoError(t, err)
	_, err = Apply(base, delta, len(base))
	require.Error(t, err, "the target exceeds the limit")
	_, err = Apply(base[:100], delta, testLimit)
	require.Error(t, err, "the base is too short")
	for cut := 1; cut < len(delta); cut++ {
		_, err = Apply(base, delta[:cut], testLimit)
		require.Error(t, err, "cut after %d bytes", cut)
	}
}

func FuzzApply(f *testing.F) {
	base := bytes.Repeat([]byte("0123456789abcdef"), 64)
	delta, err := Encode(base, append([]byte("head"), base...))
	require.NoError(f, err)
	f.Add(base, delta)
	f.Add([]byte{}, []byte{})
	f.Fuzz(func(t *testing.T, base, delta []byte) {
		if target, err := Apply(base, delta, testLimit); err == nil {
			require.LessOrEqual(t, len(target), testLimit)
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	list := objects(random, 4000)
	base := join(list[:2800])
	target := join(list)
	b.Run("delta", func(b *testing.B) {
		b.SetBytes(int64(len(target)))
		for b.Loop() {
			_, _ = Encode(base, target)
		}
	})
	b.Run("whole", func(b *testing.B) {
		b.SetBytes(int64(len(target)))
		for b.Loop() {
			_, _ = Encode(nil, target)
		}
	})
	delta, _ := Encode(nil, target)
	b.Run("apply", func(b *testing.B) {
		b.SetBytes(int64(len(target)))
		for b.Loop() {
			_, _ = Apply(nil, delta, testLimit)
		}
	})
}
