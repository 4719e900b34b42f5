package upstreamlimit

import (
	"math"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

func encodeAge(age time.Duration) uint32 {
	return uint32(min(max(0, age.Milliseconds()), math.MaxUint32))
}

func decodeAge(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func encodeQuestion(q Question) *nodepb.PermitRequest {
	return &nodepb.PermitRequest{Instance: q.Hash, PerSecond: q.PerSecond, AgeMs: encodeAge(q.Age), Want: uint32(q.Want), Spare: q.Spare, Cold: q.Cold}
}

func decodeQuestion(q *nodepb.PermitRequest) (Question, error) {
	if !Usable(q.GetPerSecond()) {
		return Question{}, failure.New(failure.InvalidRequest, failure.NotRun, "%v is no limit", q.GetPerSecond())
	}
	return Question{Hash: q.GetInstance(), PerSecond: q.GetPerSecond(), Age: decodeAge(q.GetAgeMs()), Want: int(min(q.GetWant(), maxWant)), Spare: q.GetSpare(), Cold: q.GetCold()}, nil
}

// encodeReply rounds the wait up, so that nobody asks too early.
func encodeReply(r Reply) *nodepb.PermitReply {
	return &nodepb.PermitReply{Granted: uint32(r.Granted), WaitMs: encodeAge(r.Wait + time.Millisecond - 1), Ended: r.Ended, EndedAgeMs: encodeAge(r.EndedAge)}
}

func decodeReply(r *nodepb.PermitReply) Reply {
	return Reply{Granted: int(min(r.GetGranted(), maxWant)), Wait: decodeAge(r.GetWaitMs()), Ended: r.GetEnded(), EndedAge: decodeAge(r.GetEndedAgeMs())}
}

func encodeNotice(hash uint32, n Notice, now time.Time) *nodepb.InstanceLimit {
	return &nodepb.InstanceLimit{Instance: hash, PerSecond: n.PerSecond, Ended: !n.Limited, AgeMs: encodeAge(now.Sub(n.At))}
}
