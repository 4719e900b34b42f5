package placement

import (
	"time"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
)

// maxReads is the number of prompts in one report. The reports of a node are 25 ms or more apart; the limit is far
// above what one node forwards between two of them.
const maxReads = 64

// promptRead is a prompt that this node sent to an engine since its last report.
type promptRead struct {
	instance uint32
	parts    []keyedPart
	// capacity is the cache size of the engine in tokens.
	capacity int
	use      promptUse
}

// recordRead adds the parts of a prompt to the estimated cache of the engine that reads it: later requests find them
// there.
func (t *Tracker) recordRead(s *instanceState, read promptRead) {
	s.cache.add(read.parts, read.use, read.capacity, &t.runTimes)
	t.uses.record(read.parts, read.use.sentAt)
	if len(t.reads) < maxReads {
		t.reads = append(t.reads, read)
	}
}

// drainReads returns and clears the prompts sent since the last report.
func (t *Tracker) drainReads(now time.Time) *nodepb.PromptReads {
	if len(t.reads) == 0 {
		return nil
	}
	out := &nodepb.PromptReads{}
	for _, read := range t.reads {
		appendRead(out, read, now)
	}
	t.reads = t.reads[:0]
	return out
}

func appendRead(out *nodepb.PromptReads, read promptRead, now time.Time) {
	out.Instances = append(out.Instances, read.instance)
	out.CacheTokens = append(out.CacheTokens, uint32(read.capacity))
	out.PartCounts = append(out.PartCounts, uint32(len(read.parts)))
	out.ReadMs = append(out.ReadMs, uint32(max(0, read.use.readAt.Sub(now).Milliseconds())))
	for _, part := range read.parts {
		out.Parts = append(out.Parts, part.key)
		out.Tokens = append(out.Tokens, uint32(part.tokens))
	}
	if last := len(out.CacheTokens) - 1; last > 0 && out.CacheTokens[last] == readCapacity(out, last-1) {
		out.CacheTokens[last] = 0
	}
}

// readCapacity returns the cache size of the engine of read i. It is encoded as 0 where it equals that of the read
// before.
func readCapacity(reads *nodepb.PromptReads, i int) uint32 {
	for i > 0 && reads.CacheTokens[i] == 0 {
		i--
	}
	return reads.CacheTokens[i]
}

// decodeReads returns nil for lists whose lengths don't match. Reports of the version before read_ms have none: their
// prompts count as read.
func decodeReads(encoded *nodepb.PromptReads, now time.Time) []promptRead {
	n := len(encoded.GetInstances())
	if len(encoded.GetCacheTokens()) != n || len(encoded.GetPartCounts()) != n || len(encoded.GetParts()) != len(encoded.GetTokens()) {
		return nil
	}
	reads := make([]promptRead, n)
	capacity, next := 0, 0
	for i := range reads {
		count := int(encoded.GetPartCounts()[i])
		if count > len(encoded.GetParts())-next {
			return nil
		}
		if reported := int(encoded.GetCacheTokens()[i]); reported > 0 {
			capacity = reported
		}
		parts := make([]keyedPart, count)
		total := 0
		for k := range parts {
			parts[k] = keyedPart{encoded.GetParts()[next+k], int(encoded.GetTokens()[next+k])}
			total += parts[k].tokens
		}
		next += count
		use := promptUse{sentAt: now, readAt: now, size: Urgency{PromptTokens: total}.size()}
		if i < len(encoded.GetReadMs()) {
			use.readAt = now.Add(time.Duration(encoded.GetReadMs()[i]) * time.Millisecond)
		}
		reads[i] = promptRead{encoded.GetInstances()[i], parts, capacity, use}
	}
	return reads
}

// applyReads adds the prompts that other nodes sent to the estimated caches. The caller holds the lock.
func (t *Tracker) applyReads(reads []promptRead) {
	for _, read := range reads {
		t.uses.record(read.parts, read.use.sentAt)
		if s := t.byHash[read.instance]; s != nil {
			s.cache.add(read.parts, read.use, read.capacity, &t.runTimes)
		}
	}
}
