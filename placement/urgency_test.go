package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Guards against short prompts that wait behind long ones of the same priority, and long ones of an urgent account
// that wait behind short ones of another.
func TestRank(t *testing.T) {
	for name, c := range map[string]struct {
		urgency Urgency
		rank    int
	}{
		"short":                         {Urgency{1, 1500}, 3},
		"medium":                        {Urgency{0, 1501}, 1},
		"long":                          {Urgency{0, 6001}, 2},
		"long before a later priority":  {Urgency{0, 60000}, 2},
		"short of a later priority":     {Urgency{1, 10}, 3},
		"plain service":                 {Urgency{1, 0}, 3},
		"beyond the ranks of an engine": {Urgency{7, 9000}, 9},
	} {
		require.Equal(t, c.rank, c.urgency.Rank(), name)
	}
}

// Guards against a prompt that is refused because of prompts that it overtakes: with long prompts queued up to their
// own target of 2 s, all medium ones with a target of 0.6 s were refused.
func TestAheadCountsOnlyWhatIsReadBefore(t *testing.T) {
	var p priorities
	const all, long = 60_000, 50_000
	require.Equal(t, all, p.aheadTokens(Urgency{1, 2000}, all, long), "no priorities were observed yet")
	p.record(Urgency{1, 9000}, 9000)
	require.Equal(t, all-long, p.aheadTokens(Urgency{1, 2000}, all, long))
	require.Equal(t, all, p.aheadTokens(Urgency{1, 9000}, all, long))
	require.Equal(t, all, p.aheadTokens(Urgency{2, 2000}, all, long), "the others are more urgent")
	require.Zero(t, p.aheadTokens(Urgency{0, 9000}, all, long), "the others are less urgent")
	p.record(Urgency{2, 9000}, 9000)
	require.InDelta(t, all/2, p.aheadTokens(Urgency{1, 9000}, all, long), 200)
	require.Equal(t, all, p.aheadTokens(Urgency{9, 9000}, all, long))
}

// Guards against a prompt that is refused because of memory that less urgent ones wait for: it gets memory before
// them.
func TestMemoryIsNotWaitedForBehindLaterPrompts(t *testing.T) {
	q := &Request{CacheTokens: 50_000, Tokens: 2000, Parts: []Part{{"own", 2000}}}
	c := &Candidate{HeldTokens: 100_000, MemoryShare: 0, ReadRate: 50, Instance: &upstreams.Instance{}}
	require.Less(t, EstimateFirstEvent(q, c).FirstEvent(), 300*time.Millisecond)
	c.MemoryShare = 1
	require.Greater(t, EstimateFirstEvent(q, c).FirstEvent(), time.Second)
}

// Guards against admitting long prompts with a late target to engines whose memory is full: after a flood, engines
// with a third more requests than memory preempted and read again for 20 s at a normal load.
func TestLongPromptsLeaveMemoryToOtherKinds(t *testing.T) {
	var p priorities
	p.record(Urgency{Priority: 0, PromptTokens: 12_000}, 12_000)
	p.record(Urgency{Priority: 2, PromptTokens: 12_000}, 12_000)
	estimator, now := NewQueueLimitEstimator(), time.Unix(1000, 0)
	estimator.Observe("s", "hasty", Urgency{}, 500*time.Millisecond, 50*time.Millisecond, now)
	q := &Request{CacheTokens: 100_000, Tokens: 12_000, Urgency: Urgency{Priority: 0, PromptTokens: 12_000}, Parts: []Part{{"own", 12_000}}}
	admitted := func(held int) bool {
		c := &Candidate{HeldTokens: held, MemoryShare: p.memoryShare(q.Urgency), ReadRate: 50, Instance: &upstreams.Instance{}}
		f := EstimateFirstEvent(q, c)
		requirements := Requirements{Target: 2 * time.Second, TimeLeft: 12 * time.Second, Limits: estimator.Observe("s", "patient", q.Urgency, 2*time.Second, f.Service, now)}
		ok, _ := Admit(requirements, f)
		return ok
	}
	require.True(t, admitted(90_000))
	require.False(t, admitted(135_000))
}
