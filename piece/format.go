package piece

import (
	"encoding/binary"

	"github.com/zeebo/blake3"
)

// Layout of a piece file, integers in little-endian order:
//
//	magic 8 | format 4 | header length 4 | name 32 | generation 8 | length 8 | tokens 8 | recompute 8 | body checksum 32
//	| account length 2, bytes | weight version length 2, bytes | blake3 of all header bytes before 32 | body
const (
	magic         = "WSBKVPC\x00"
	formatVersion = 1
	fixedBytes    = 8 + 4 + 4 + 32 + 8 + 8 + 8 + 8 + 32
	sumBytes      = 32
	// MaxFieldBytes limits the length of the account and of the weight version.
	MaxFieldBytes = 1024
	// MaxHeaderBytes is the length of the longest header.
	MaxHeaderBytes = fixedBytes + 2*(2+MaxFieldBytes) + sumBytes
	// MinHeaderBytes is the length of a header without account and weight version.
	MinHeaderBytes = fixedBytes + 2*2 + sumBytes
	// MaxBodyBytes limits the length of a body: 2,000 tokens of 128 KiB each.
	MaxBodyBytes = 256 << 20
	// PrefixBytes is the length of the prefix of a file that holds the length of the header.
	PrefixBytes = 16
)

// Checksum is the blake3 hash of a body.
type Checksum [32]byte

// Sum returns the checksum of a body.
func Sum(body []byte) Checksum { return blake3.Sum256(body) }

// Header describes a piece.
type Header struct {
	Name       Name
	Generation uint64
	// Length is the length of the body in bytes.
	Length int64
	// Tokens is the number of tokens that the piece covers.
	Tokens int64
	// RecomputeMs is the prefill time in milliseconds that one hit saves.
	RecomputeMs   int64
	Checksum      Checksum
	Account       string
	WeightVersion string
}

// Validate checks that the header can be encoded.
func (h Header) Validate() error {
	switch {
	case h.Length < 0 || h.Length > MaxBodyBytes:
		return newFormatError(Oversized, "body of %d bytes", h.Length)
	case h.Tokens < 0 || h.RecomputeMs < 0:
		return newFormatError(Malformed, "negative tokens or recompute time")
	case len(h.Account) > MaxFieldBytes || len(h.WeightVersion) > MaxFieldBytes:
		return newFormatError(Oversized, "account or weight version above %d bytes", MaxFieldBytes)
	}
	return nil
}

// EncodeHeader returns the encoded header, which precedes the body in a file.
func EncodeHeader(h Header) ([]byte, error) {
	if err := h.Validate(); err != nil {
		return nil, err
	}
	total := MinHeaderBytes + len(h.Account) + len(h.WeightVersion)
	b := make([]byte, 0, total)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, formatVersion)
	b = binary.LittleEndian.AppendUint32(b, uint32(total))
	b = append(b, h.Name[:]...)
	b = binary.LittleEndian.AppendUint64(b, h.Generation)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.Length))
	b = binary.LittleEndian.AppendUint64(b, uint64(h.Tokens))
	b = binary.LittleEndian.AppendUint64(b, uint64(h.RecomputeMs))
	b = append(b, h.Checksum[:]...)
	b = appendField(b, h.Account)
	b = appendField(b, h.WeightVersion)
	sum := blake3.Sum256(b)
	return append(b, sum[:]...), nil
}

func appendField(b []byte, field string) []byte {
	b = binary.LittleEndian.AppendUint16(b, uint16(len(field)))
	return append(b, field...)
}

// HeaderLength returns the length of the header from the first PrefixBytes of a file.
func HeaderLength(prefix []byte) (int, error) {
	if len(prefix) < PrefixBytes {
		return 0, newFormatError(Torn, "file has %d bytes", len(prefix))
	}
	if string(prefix[:len(magic)]) != magic {
		return 0, newFormatError(UnknownFormat, "file has no magic number")
	}
	if version := binary.LittleEndian.Uint32(prefix[8:]); version != formatVersion {
		return 0, newFormatError(UnknownFormat, "format %d", version)
	}
	length := binary.LittleEndian.Uint32(prefix[12:])
	if length < MinHeaderBytes || length > MaxHeaderBytes {
		return 0, newFormatError(Oversized, "header of %d bytes", length)
	}
	return int(length), nil
}

// DecodeHeader decodes and verifies the header of a file and returns it with its length.
func DecodeHeader(file []byte) (Header, int, error) {
	length, err := HeaderLength(file)
	if err != nil {
		return Header{}, 0, err
	}
	if len(file) < length {
		return Header{}, 0, newFormatError(Torn, "header of %d bytes, file of %d", length, len(file))
	}
	hashed := file[:length-sumBytes]
	if blake3.Sum256(hashed) != [sumBytes]byte(file[length-sumBytes:length]) {
		return Header{}, 0, newFormatError(Corrupt, "header checksum differs")
	}
	h, err := parseHeader(hashed)
	if err != nil {
		return Header{}, 0, err
	}
	return h, length, h.Validate()
}

func parseHeader(b []byte) (Header, error) {
	var h Header
	b = b[PrefixBytes:]
	b = b[copy(h.Name[:], b):]
	numbers := make([]uint64, 4)
	for i := range numbers {
		numbers[i] = binary.LittleEndian.Uint64(b)
		b = b[8:]
	}
	h.Generation, h.Length, h.Tokens, h.RecomputeMs = numbers[0], int64(numbers[1]), int64(numbers[2]), int64(numbers[3])
	b = b[copy(h.Checksum[:], b):]
	var accountOK, versionOK bool
	h.Account, b, accountOK = readField(b)
	h.WeightVersion, b, versionOK = readField(b)
	if !accountOK || !versionOK || len(b) != 0 {
		return Header{}, newFormatError(Malformed, "field lengths do not add up to the header length")
	}
	return h, nil
}

func readField(b []byte) (string, []byte, bool) {
	if len(b) < 2 {
		return "", nil, false
	}
	n := int(binary.LittleEndian.Uint16(b))
	if len(b) < 2+n {
		return "", nil, false
	}
	return string(b[2 : 2+n]), b[2+n:], true
}

// Decode verifies a whole file and returns its header and body. The body is a subslice of file.
func Decode(file []byte) (Header, []byte, error) {
	h, length, err := DecodeHeader(file)
	if err != nil {
		return Header{}, nil, err
	}
	body := file[length:]
	if err := CheckBody(h, body); err != nil {
		return Header{}, nil, err
	}
	return h, body, nil
}

// CheckBody checks the length and the checksum of a body against the header.
func CheckBody(h Header, body []byte) error {
	switch {
	case int64(len(body)) < h.Length:
		return newFormatError(Torn, "body of %d bytes, want %d", len(body), h.Length)
	case int64(len(body)) > h.Length:
		return newFormatError(Trailing, "%d bytes after the body", int64(len(body))-h.Length)
	case Sum(body) != h.Checksum:
		return newFormatError(Corrupt, "body checksum differs")
	}
	return nil
}

// Want identifies the piece that a reader requested.
type Want struct {
	Name    Name
	Account string
	// Generation is checked unless it is 0.
	Generation uint64
}

// Check fails if the header is not that of the requested piece.
func (w Want) Check(h Header) error {
	switch {
	case h.Name != w.Name:
		return newFormatError(Mismatch, "piece has another name")
	case h.Account != w.Account:
		return newFormatError(Mismatch, "piece belongs to another account")
	case w.Generation != 0 && h.Generation != w.Generation:
		return newFormatError(Mismatch, "piece has generation %d, want %d", h.Generation, w.Generation)
	}
	return nil
}
