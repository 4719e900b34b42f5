package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two engines that both take memory for a document although one of them has it in use, while all engines are
// full; and against a queue at one engine while the others have room.
func TestMemoryPriceGrowsWithTheShareInUse(t *testing.T) {
	const capacity, document, question = 100_000, 9000, 3000
	q := &Request{Model: "m", Tokens: document + question, CacheTokens: capacity, Parts: []Part{{"d", document}, {"q", question}}}
	choose := func(held int) string {
		list := candidates(2)
		for i := range list {
			list[i].HeldTokens, list[i].CachedParts, list[i].CachedTokens = held, 1, document
		}
		// The engine that uses the document has 5,000 tokens, 100 ms, to read first.
		list[0].UsedTokens, list[0].AheadTokens = document, 5000
		return Pick(q, list).Instance.ID
	}
	require.Equal(t, "i1", choose(20_000))
	require.Equal(t, "i0", choose(85_000))
}

// memoryFlood replays questions about documents at engines whose memory is short, at twice the rate that they can serve if
// each question takes memory for its document. A question is refused if the chosen engine has to hold more than a seventh
// beyond its memory. It returns how many questions were served, and of how many documents.
func memoryFlood(choose func(q *Request, list []Candidate) *Candidate) (served, documents int) {
	const (
		engines, capacity         = 4, 100_000
		count, document, question = 60, 9000, 3000
		// runSteps is how long a question runs. The engines hold 33 questions with their documents.
		arrivals, perStep, runSteps = 3000, 3, 22
	)
	type run struct{ engine, document, until int }
	var runs []run
	asked := map[int]bool{}
	random := rand.New(rand.NewPCG(1, 1))
	for arrival := range arrivals {
		now := arrival / perStep
		runs = slices.DeleteFunc(runs, func(r run) bool { return r.until <= now })
		wanted := random.IntN(count)
		list := candidates(engines)
		for i := range list {
			users := map[int]bool{}
			for _, r := range runs {
				if r.engine == i {
					users[r.document] = true
					list[i].Requests++
				}
			}
			list[i].HeldTokens = document*len(users) + question*list[i].Requests
			if users[wanted] {
				list[i].CachedParts, list[i].CachedTokens, list[i].UsedTokens = 1, document, document
			}
		}
		q := &Request{
			Model: "m", Tokens: document + question, CacheTokens: capacity, Parts: []Part{{fmt.Sprint("d", wanted), document}, {fmt.Sprint("q", arrival), question}},
			StoredVersion: 1, Stored: []StoredPart{{Address: "store", Tokens: document, Transfer: fromMs(20)}},
		}
		best := choose(q, list)
		if best.HeldTokens+q.newTokens(best) > capacity*8/7 {
			continue
		}
		served++
		asked[wanted] = true
		engine := slices.IndexFunc(list, func(c Candidate) bool { return c.Instance.ID == best.Instance.ID })
		runs = append(runs, run{engine, wanted, now + runSteps})
	}
	return served, len(asked)
}

// Guards against a flood of questions about many documents that fills each engine with a copy of each: without the price, the
// first event decides until the memory is full, and a fetch from a store takes only 20 ms.
func TestFloodOfQuestionsAboutManyDocuments(t *testing.T) {
	without, _ := memoryFlood(func(q *Request, list []Candidate) *Candidate {
		best := &list[0]
		for i := range list {
			if engineCost(q, &list[i]) < engineCost(q, best) {
				best = &list[i]
			}
		}
		return best
	})
	with, documents := memoryFlood(Pick)
	require.Greater(t, with, without)
	require.Equal(t, 60, documents, "questions about each document are served")
}
