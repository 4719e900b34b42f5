package placement

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// unchangedChoices and unchangedReports are the results of the code before speeds of instances were estimated (commit 554b2ff).
const (
	unchangedChoices = 0xd1a7b33c775e577e
	unchangedReports = 0xa8c458eb6642edab
)

// Guards against estimates of speeds that affect services whose answers carry no figure and that don't require estimates: their
// choices and the bytes of their reports must stay as they were. Load: 3,000 requests to 52 engines and 20 plain instances.
func TestServicesWithoutFigureAreServedAsBefore(t *testing.T) {
	choices, reports := fnv.New64a(), fnv.New64a()
	tracker, random, now := NewTracker(), rand.New(rand.NewPCG(3, 4)), time.Now()
	list := func(service string, n int) (instances []*upstreams.Instance) {
		for i := range n {
			instances = append(instances, &upstreams.Instance{ID: fmt.Sprint(service, i), Service: service, AvailabilityZone: fmt.Sprint("z", i%3)})
		}
		return instances
	}
	engines, plain := list("engine", 52), list("plain", 20)
	type running struct {
		attempt *Attempt
		until   time.Time
	}
	var inProgress []running
	for request := range 3000 {
		now = now.Add(5 * time.Millisecond)
		inProgress = slices.DeleteFunc(inProgress, func(r running) bool {
			if r.until.After(now) {
				return false
			}
			// The read rate is learned from real time, which differs between runs.
			if r.attempt.aheadTokens < minLearnedTokens {
				r.attempt.Prefilled()
			}
			outcome := Answered
			if random.IntN(20) == 0 {
				outcome = Failed
			}
			r.attempt.End(outcome, now)
			return true
		})
		q, from := &Request{Zone: "z1", Seed: fmt.Sprint(request)}, plain
		work := Work{}
		if request%2 == 0 {
			from, q.CacheTokens, q.Tokens = engines, 50_000, 100+random.IntN(9000)
			work.PrefillTokens, work.HeldTokens, work.CacheTokens = q.Tokens, q.Tokens, q.CacheTokens
			q.Urgency = Urgency{Priority: random.IntN(3), PromptTokens: q.Tokens}
			work.Urgency = q.Urgency
		}
		candidates := tracker.Candidates(from, now, q)
		best := Pick(q, candidates)
		f := EstimateFirstEvent(&Request{CacheTokens: 50_000, Tokens: 500}, best)
		// The fields of the release whose choices the hash is of. Forecast has had another one since, which decides nothing here.
		_, _ = fmt.Fprint(choices, best.Instance.ID, struct{ Wait, Service, Queue, Reused time.Duration }{f.Wait, f.Service, f.Queue, f.Reused}, " ")
		attempt := tracker.Begin(best.Instance, work)
		if random.IntN(2) == 0 {
			attempt.RecordAnswer(&Load{random.IntN(9), random.IntN(3), 8}, "", 0, now)
		}
		inProgress = append(inProgress, running{attempt, now.Add(time.Duration(random.IntN(400)) * time.Millisecond)})
		if request%5 == 0 {
			_, _ = reports.Write(canonical(t, tracker.Report(uint64(request+1))))
			d := tracker.Digest(now)
			_, _ = reports.Write(canonical(t, &nodepb.LoadReport{Keys: d.GetKeys(), Requests: d.GetRequests(), PrefillTokens: d.GetPrefillTokens(), LongTokens: d.GetLongTokens(), HeldTokens: d.GetHeldTokens()}))
			_, _ = fmt.Fprint(reports, proto.Size(d))
		}
	}
	assert.Equal(t, uint64(unchangedChoices), choices.Sum64(), "choices")
	assert.Equal(t, uint64(unchangedReports), reports.Sum64(), "reports")
}

// canonical encodes a report with its instances in the order of their keys; their order in reports is random.
func canonical(t *testing.T, r *nodepb.LoadReport) []byte {
	order := make([]int, len(r.GetKeys()))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return int(int64(r.GetKeys()[a]) - int64(r.GetKeys()[b])) })
	sorted := func(values []uint32) (out []uint32) {
		for _, i := range order {
			out = append(out, values[i])
		}
		return out
	}
	r.Keys, r.Requests, r.PrefillTokens, r.LongTokens, r.HeldTokens = sorted(r.GetKeys()), sorted(r.GetRequests()), sorted(r.GetPrefillTokens()), sorted(r.GetLongTokens()), sorted(r.GetHeldTokens())
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	require.NoError(t, err)
	return data
}
