package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/wasabishunt/wasabishunt/upstreams"
)

// benchmarkEngines returns a tracker with engines that hold documents, engine i the document di.
func benchmarkEngines(count int) (*Tracker, []*upstreams.Instance) {
	tracker := NewTracker()
	var list []*upstreams.Instance
	for i := range count {
		list = append(list, instance(fmt.Sprint("i", i)))
		tracker.state(list[i].Key()).setVersion("m", 1)
		tracker.Begin(list[i], Work{Salt: "v1", Parts: document(fmt.Sprint("d", i)).Parts, CacheTokens: 50_000})
	}
	return tracker, list
}

// BenchmarkDecision measures the choice of an engine for one long prompt, at the numbers of engines of the users' sites and of the
// target size: for documents that were used before, for new ones, for a prompt whose shared part all engines hold, and after a change of the list of
// instances.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{12, 15, 47, 2600} {
		for _, kind := range []string{"", "/new-document", "/no-document", "/new-list"} {
			b.Run(fmt.Sprintf("engines-%d%s", engines, kind), func(b *testing.B) {
				tracker, list := benchmarkEngines(engines)
				b.ReportAllocs()
				for request := 0; b.Loop(); request++ {
					q := document(fmt.Sprint("d", request%100))
					if kind == "/new-document" {
						q = document(fmt.Sprint("n", request))
					}
					if kind == "/no-document" {
						q.Parts = []Part{q.Parts[0], q.Parts[2]}
					}
					if kind == "/new-list" {
						changed := *list[0]
						list = slices.Clone(list)
						list[0] = &changed
					}
					q.Seed, q.TokenTransfer = fmt.Sprint(request), time.Microsecond
					if best, _ := tracker.Choose(list, time.Now(), q, Pauses{}); best == nil {
						b.Fatal("no engine")
					}
				}
			})
		}
	}
}

// BenchmarkRead measures the record of a prompt that another node sent to an engine: a node learns of those of all nodes.
func BenchmarkRead(b *testing.B) {
	tracker, list := benchmarkEngines(2600)
	now := time.Now()
	reads := make([]promptRead, 1<<16)
	for i := range reads {
		parts := []Part{{"common", 2500}, {fmt.Sprint("d", i%3000), 5000}, {fmt.Sprint("own", i), 1500}}
		reads[i] = promptRead{hashKey(list[i*7919%len(list)].ID), keyParts("v1", parts), 50_000, promptUse{now, now, 0}}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		tracker.applyReads(reads[i%len(reads):][:1])
	}
}
