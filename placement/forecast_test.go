package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// Guards against refusals in a flood of questions about one document: its memory was counted once for each running
// request, although the engine holds it once, and an engine with room for eight more requests looked full.
func TestFloodOfQuestionsAboutOneDocument(t *testing.T) {
	const capacity, document, question, output = 50_000, 9_000, 2_500, 50
	tracker, engine, now := NewTracker(), instance("e"), time.Now()
	var list []*upstreams.Instance
	list = append(list, engine)
	admitted := 0
	for i := range 10 {
		q := &Request{
			Model: "m", Parts: []Part{{"document", document}, {fmt.Sprint("question", i), question}}, Tokens: document + question, CacheTokens: capacity,
			Urgency: Urgency{PromptTokens: document + question},
		}
		c := tracker.Candidates(list, now, q)[0]
		f := EstimateFirstEvent(q, &c)
		if f.Service < 600*time.Millisecond {
			admitted++
		}
		attempt := tracker.Begin(engine, Work{
			Urgency: q.Urgency, HeldTokens: q.HeldTokens(&c, output), Salt: q.Salt(0), Parts: q.Parts, CacheTokens: capacity,
		})
		t.Cleanup(func() { attempt.End(Canceled, time.Now()) })
	}
	require.Equal(t, 10, admitted)
}

// Guards against engines that preempt running requests when several nodes fill the same free memory between two reports,
// and against a request without a document in use that counts as if it shared one.
func TestMemoryCountedForARequest(t *testing.T) {
	q := &Request{Tokens: 10_000}
	require.Equal(t, 13_130, q.HeldTokens(&Candidate{}, 100))
	require.Equal(t, 2_730, q.HeldTokens(&Candidate{UsedTokens: 8_000, CachedTokens: 9_000}, 100), "cached parts that nothing uses take memory")
	require.Equal(t, 130, q.HeldTokens(&Candidate{UsedTokens: 11_000}, 100))
}
