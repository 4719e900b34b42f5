package placement

import "github.com/wasabishunt/wasabishunt/rpc/nodepb"

// maxReads is the number of prompts told in one report; a node sends a report each 50 ms or more, so that is far above
// what one node forwards.
const maxReads = 64

// promptRead is a prompt that this node sent to an engine since its last report.
type promptRead struct {
	instance uint32
	parts    []keyedPart
	// capacity of the engine in tokens.
	capacity int
}

// noteRead takes the parts of a prompt as held by the engine that reads it: requests that follow find them there.
func (t *Tracker) noteRead(s *state, instance uint32, parts []keyedPart, capacity int) {
	s.cache.add(parts, capacity)
	if len(t.reads) < maxReads {
		t.reads = append(t.reads, promptRead{instance, parts, capacity})
	}
}

// encodeReads moves the prompts read since the last report into a report.
func (t *Tracker) encodeReads(report *nodepb.LoadReport) {
	for _, read := range t.reads {
		encoded := &nodepb.PromptRead{Instance: read.instance, CacheTokens: uint32(read.capacity)}
		for _, part := range read.parts {
			encoded.Parts = append(encoded.Parts, part.key)
			encoded.Tokens = append(encoded.Tokens, uint32(part.tokens))
		}
		report.Reads = append(report.Reads, encoded)
	}
	t.reads = t.reads[:0]
}

// adoptReads takes the prompts that another node sent. The caller holds the lock.
func (t *Tracker) adoptReads(reads []*nodepb.PromptRead) {
	for _, read := range reads {
		s := t.byHash[read.GetInstance()]
		if s == nil || len(read.GetParts()) != len(read.GetTokens()) {
			continue
		}
		parts := make([]keyedPart, len(read.GetParts()))
		for i, key := range read.GetParts() {
			parts[i] = keyedPart{key, int(read.GetTokens()[i])}
		}
		s.cache.add(parts, int(read.GetCacheTokens()))
	}
}
