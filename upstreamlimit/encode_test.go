package upstreamlimit

import (
	"math"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

func newTestLimiter() *Limiter {
	return New(Options{Self: self, Log: zap.NewNop(), Metrics: gometrics.NewRegistry()})
}

// Guards against questions, replies and news with numbers that are no limit, or with counts without bounds.
func FuzzWords(f *testing.F) {
	for _, perSecond := range []float64{0, math.Copysign(0, -1), 1.7, math.MaxFloat64, math.SmallestNonzeroFloat64, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		f.Add(perSecond, uint32(0), uint32(1), false)
		f.Add(perSecond, uint32(math.MaxUint32), uint32(math.MaxUint32), true)
	}
	f.Fuzz(func(t *testing.T, perSecond float64, age, count uint32, ended bool) {
		l, now := newTestLimiter(), time.Now()
		usable := perSecond >= 0 && perSecond <= math.MaxFloat64
		require.Equal(t, usable, Usable(perSecond))

		l.Apply("node", []*nodepb.InstanceLimit{{Instance: engine, PerSecond: perSecond, AgeMs: age, Ended: ended}}, now)
		known, limited := l.core.notices.Of(engine)
		require.Equal(t, usable && !ended, limited)
		require.True(t, Usable(known))

		reply, err := l.Serve(&nodepb.PermitRequest{Instance: engine + 1, PerSecond: perSecond, AgeMs: age, Want: count})
		require.Equal(t, usable, err == nil)
		if err == nil {
			require.LessOrEqual(t, reply.GetGranted(), uint32(maxWant))
			require.LessOrEqual(t, reply.GetWaitMs(), uint32(maxWait.Milliseconds()))
			require.False(t, reply.GetEnded())
		}

		q := Question{Hash: engine, Want: 1}
		decoded := decodeReply(&nodepb.PermitReply{Granted: count, WaitMs: age, Ended: ended, EndedAgeMs: age})
		require.True(t, decoded.Granted >= 0 && decoded.Granted <= maxWant && decoded.Wait >= 0 && decoded.EndedAge >= 0)
		l.core.Named(engine, 1, now, now)
		step := l.core.Replied(q, decoded, now, now)
		require.True(t, step.Send || step.Wait > 0 && step.Wait <= maxWait)
	})
}

// Guards against news of more instances than a datagram holds, and against a number that changes on its way to another node.
func TestWordsKeepTheirValues(t *testing.T) {
	l, now := newTestLimiter(), time.Now()
	var news []*nodepb.InstanceLimit
	for hash := range uint32(2 * maxNews) {
		l.core.Named(hash, float64(hash), now, now)
		news = append(news, &nodepb.InstanceLimit{Instance: hash, PerSecond: 1})
	}
	require.Len(t, l.News(now), maxNews)
	other := newTestLimiter()
	other.Apply("node", news, now)
	require.Len(t, other.core.notices.byHash, maxNews)

	q := Question{Hash: engine, PerSecond: 1.7, Age: 1234 * time.Millisecond, Want: 3}
	decoded, err := decodeQuestion(encodeQuestion(q))
	require.NoError(t, err)
	require.Equal(t, q, decoded)
	for _, r := range []Reply{{Granted: 3}, {Wait: 250 * time.Millisecond}, {Ended: true, EndedAge: time.Minute}} {
		require.Equal(t, r, decodeReply(encodeReply(r)))
	}
	require.Equal(t, 2*time.Millisecond, decodeReply(encodeReply(Reply{Wait: time.Millisecond + 1})).Wait, "nobody asks too early")
	require.Equal(t, []uint32{0, math.MaxUint32}, []uint32{encodeAge(-time.Second), encodeAge(math.MaxInt64)})
	ended := encodeNotice(engine, Notice{At: now.Add(-time.Second)}, now)
	require.True(t, ended.GetEnded())
	require.Equal(t, uint32(1000), ended.GetAgeMs())
}
