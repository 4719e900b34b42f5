package simdisk

import (
	"bytes"
	"math/rand/v2"
	"slices"
)

type inode struct {
	data []byte
	// synced is the content that survives a crash.
	synced []byte
	// dropped holds the ranges of data that a failed sync did not write and no later one writes, because their pages count as clean.
	dropped []span
}

// span is the range of bytes from first to end, without end.
type span struct{ first, end int }

// writable returns what the next sync writes: the data with zeros in place of what a failed sync has dropped.
func (f *inode) writable() []byte {
	content := slices.Clone(f.data)
	for _, s := range f.dropped {
		clear(content[s.first:s.end])
	}
	return content
}

// drop marks what is not synced as clean, as a kernel does with the pages of a failed sync.
func (f *inode) drop() {
	f.dropped = append(f.dropped, span{min(len(f.synced), len(f.data)), len(f.data)})
}

// overwrite replaces a range of the data, which is written by the next sync.
func (f *inode) overwrite(offset int, data []byte) {
	f.data = slices.Clone(f.data)
	copy(f.data[offset:], data)
	f.clip(offset, offset+len(data))
}

// dropOverwritten marks a range as clean that differs from what is synced.
func (f *inode) dropOverwritten(first, end int) {
	end = min(end, len(f.synced))
	if first < end && !bytes.Equal(f.synced[first:end], f.data[first:end]) {
		f.dropped = append(f.dropped, span{first, end})
	}
}

// clip removes a range from the dropped ranges.
func (f *inode) clip(first, end int) {
	var kept []span
	for _, s := range f.dropped {
		for _, part := range []span{{s.first, min(s.end, first)}, {max(s.first, end), s.end}} {
			if part.first < part.end {
				kept = append(kept, part)
			}
		}
	}
	f.dropped = kept
}

// dataAfterCrash returns the synced data and a random prefix of the unsynced data, whose last bytes may be zeroed. Of what was overwritten
// in place, a random prefix is new.
func dataAfterCrash(f *inode, random *rand.Rand) []byte {
	if len(f.data) <= len(f.synced) {
		return overwrittenAfterCrash(f, random)
	}
	kept := len(f.synced) + random.IntN(len(f.data)-len(f.synced)+1)
	data := f.writable()[:kept]
	copy(data, overwrittenAfterCrash(f, random))
	zeroed := len(f.synced) + random.IntN(kept-len(f.synced)+1)
	if random.IntN(2) == 0 {
		clear(data[zeroed:])
	}
	return data
}

// overwrittenAfterCrash returns the synced data, of which a random prefix has been overwritten.
func overwrittenAfterCrash(f *inode, random *rand.Rand) []byte {
	content := f.writable()
	if bytes.HasPrefix(content, f.synced) {
		return slices.Clone(f.synced)
	}
	data := slices.Clone(f.synced)
	copy(data[:random.IntN(len(data)+1)], content)
	return data
}
