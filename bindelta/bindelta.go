// Package bindelta encodes a document as its difference from an earlier one, compressed. It knows nothing of the documents'
// contents.
//
// A delta is a compressed sequence of operations: copy a range of the base, or insert bytes.
package bindelta

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/wasabishunt/wasabishunt/failure"
)

const (
	// blockBytes is the size of the blocks of the base that are searched in the target.
	blockBytes = 64
	// minCopyBytes is the shortest range that is copied. Shorter repetitions, such as the keys of small objects, cost less as
	// inserted bytes after compression.
	minCopyBytes = 256
	// hashFactor is the base of the polynomial hash of a block.
	hashFactor = 0x9e3779b97f4a7c15
)

// The kinds of operations, as the lowest bit of the length that begins each operation.
const (
	insertOperation = 0
	copyOperation   = 1
)

// Encode returns a delta that turns base into target. Without a base it is the compressed target.
func Encode(base, target []byte) ([]byte, error) {
	var out bytes.Buffer
	compressor, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "create a compressor")
	}
	w := &writer{out: compressor}
	encode(w, base, target)
	if err := compressor.Close(); err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "compress a delta")
	}
	return out.Bytes(), w.err
}

// writer writes operations and keeps the first error.
type writer struct {
	out     io.Writer
	scratch [2 * binary.MaxVarintLen64]byte
	err     error
}

func (w *writer) write(data []byte) {
	if w.err == nil && len(data) > 0 {
		_, w.err = w.out.Write(data)
	}
}

func (w *writer) insert(data []byte) {
	if len(data) > 0 {
		w.write(binary.AppendUvarint(w.scratch[:0], uint64(len(data))<<1|insertOperation))
		w.write(data)
	}
}

func (w *writer) copyRange(offset, length int) {
	w.write(binary.AppendUvarint(binary.AppendUvarint(w.scratch[:0], uint64(length)<<1|copyOperation), uint64(offset)))
}

func encode(w *writer, base, target []byte) {
	blocks := indexBlocks(base)
	// Bytes of the target before done are written.
	done := 0
	for at, hash := 0, uint64(0); at+blockBytes <= len(target); at++ {
		if at == done {
			hash = blockHash(target[at:])
		} else {
			hash = (hash-uint64(target[at-1])*highestPower)*hashFactor + uint64(target[at+blockBytes-1])
		}
		offset, known := blocks[hash]
		if !known {
			continue
		}
		begin, end, from := extend(base, target, offset, at, done)
		if end-begin < minCopyBytes {
			continue
		}
		w.insert(target[done:begin])
		w.copyRange(from, end-begin)
		done = end
		at = end - 1
	}
	w.insert(target[done:])
}

// indexBlocks maps the hashes of the blocks of the base to their offsets.
func indexBlocks(base []byte) map[uint64]int {
	blocks := make(map[uint64]int, len(base)/blockBytes)
	for offset := 0; offset+blockBytes <= len(base); offset += blockBytes {
		hash := blockHash(base[offset:])
		if _, known := blocks[hash]; !known {
			blocks[hash] = offset
		}
	}
	return blocks
}

func blockHash(data []byte) uint64 {
	var hash uint64
	for _, b := range data[:blockBytes] {
		hash = hash*hashFactor + uint64(b)
	}
	return hash
}

// highestPower is hashFactor to the power of blockBytes-1, the weight of the first byte of a block.
var highestPower = func() uint64 {
	power := uint64(1)
	for range blockBytes - 1 {
		power *= hashFactor
	}
	return power
}()

// extend returns the largest range of the target around a block at `at` that equals the base around offset, and where that range begins
// in the base. The range does not begin before done. It is empty if the blocks only have the same hash.
func extend(base, target []byte, offset, at, done int) (begin, end, from int) {
	if !bytes.Equal(base[offset:offset+blockBytes], target[at:at+blockBytes]) {
		return at, at, offset
	}
	begin, from = at, offset
	for begin > done && from > 0 && base[from-1] == target[begin-1] {
		begin, from = begin-1, from-1
	}
	end = at + blockBytes
	for rest := offset + blockBytes; end < len(target) && rest < len(base) && target[end] == base[rest]; end, rest = end+1, rest+1 {
	}
	return begin, end, from
}

// Apply returns the target of a delta. A target of more than limit bytes is refused.
func Apply(base, delta []byte, limit int) ([]byte, error) {
	in := &byteReader{in: flate.NewReader(bytes.NewReader(delta))}
	var target []byte
	for {
		head, err := binary.ReadUvarint(in)
		if err == io.EOF {
			return target, nil
		}
		if err != nil {
			return nil, malformed(err)
		}
		length := head >> 1
		if length > uint64(limit-len(target)) {
			return nil, failure.New(failure.BodyTooLarge, failure.NotRun, "the target of a delta exceeds the limit of %d bytes", limit)
		}
		if head&1 == copyOperation {
			offset, err := binary.ReadUvarint(in)
			if err != nil {
				return nil, malformed(err)
			}
			if offset > uint64(len(base)) || length > uint64(len(base))-offset {
				return nil, failure.New(failure.InvalidRequest, failure.NotRun, "a delta copies bytes %d to %d of a base of %d", offset, offset+length, len(base))
			}
			target = append(target, base[offset:offset+length]...)
			continue
		}
		begin := len(target)
		target = append(target, make([]byte, length)...)
		if _, err := io.ReadFull(in.in, target[begin:]); err != nil {
			return nil, malformed(err)
		}
	}
}

func malformed(cause error) error {
	return failure.Wrap(cause, failure.InvalidRequest, failure.NotRun, "malformed delta")
}

// byteReader reads single bytes.
type byteReader struct {
	in   io.Reader
	last [1]byte
}

// ReadByte implements io.ByteReader.
func (r *byteReader) ReadByte() (byte, error) {
	_, err := io.ReadFull(r.in, r.last[:])
	return r.last[0], err
}
