package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"github.com/wasabishunt/wasabishunt/failure"
)

// A record is: magic (4 bytes), payload length (4), checksum (4), payload; integers are little-endian. The payload is
// a sequence of items: kind (1 byte), length (uvarint), protobuf message. One save writes one record and syncs it, so
// at most the last record of the log can be torn by a crash.
const (
	recordMagic  = 0x4c41_5257
	headerBytes  = 12
	maxItemBytes = 64 << 20
	// maxRecordBytes limits the memory that a corrupt length field can claim.
	maxRecordBytes = 128 << 20
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	magicBytes = binary.LittleEndian.AppendUint32(nil, recordMagic)
)

type itemKind byte

const (
	itemEntry itemKind = iota + 1
	itemHardState
	itemMark
	// itemReset marks an installed snapshot, which invalidates all earlier entries.
	itemReset
	itemHeader
)

// checksum covers the payload and the position of the record, so that stale bytes or a record copied inside a payload
// are not accepted as a record.
func checksum(segment uint64, offset int64, payload []byte) uint32 {
	var position [20]byte
	binary.LittleEndian.PutUint64(position[:], segment)
	binary.LittleEndian.PutUint64(position[8:], uint64(offset))
	binary.LittleEndian.PutUint32(position[16:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, payload)
}

func appendItem(payload []byte, kind itemKind, m proto.Message) ([]byte, error) {
	data, err := proto.Marshal(m)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "encode a log record")
	}
	if len(data) > maxItemBytes {
		return nil, failure.New(failure.BodyTooLarge, failure.NotRun, "log entry of %d bytes, the limit is %d", len(data), maxItemBytes)
	}
	payload = append(payload, byte(kind))
	payload = binary.AppendUvarint(payload, uint64(len(data)))
	return append(payload, data...), nil
}

func encodeRecord(segment uint64, offset int64, payload []byte) []byte {
	record := make([]byte, headerBytes, headerBytes+len(payload))
	binary.LittleEndian.PutUint32(record, recordMagic)
	binary.LittleEndian.PutUint32(record[4:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(record[8:], checksum(segment, offset, payload))
	return append(record, payload...)
}

// decodeRecord returns the payload of the record at offset, and false if there is no complete valid record.
func decodeRecord(segment uint64, data []byte, offset int64) ([]byte, bool) {
	rest := data[offset:]
	if len(rest) < headerBytes || !bytes.HasPrefix(rest, magicBytes) {
		return nil, false
	}
	length := binary.LittleEndian.Uint32(rest[4:])
	if length > maxRecordBytes || int64(length) > int64(len(rest)-headerBytes) {
		return nil, false
	}
	payload := rest[headerBytes : headerBytes+int64(length)]
	if checksum(segment, offset, payload) != binary.LittleEndian.Uint32(rest[8:]) {
		return nil, false
	}
	return payload, true
}

// findRecord reports whether a complete valid record starts at or after offset.
func findRecord(segment uint64, data []byte, offset int64) bool {
	for {
		next := bytes.Index(data[offset:], magicBytes)
		if next < 0 {
			return false
		}
		offset += int64(next)
		if _, ok := decodeRecord(segment, data, offset); ok {
			return true
		}
		offset++
	}
}

// eachItem calls visit for each item of a payload.
func eachItem(payload []byte, visit func(kind itemKind, data []byte) error) error {
	for len(payload) > 0 {
		kind := itemKind(payload[0])
		length, n := binary.Uvarint(payload[1:])
		if n <= 0 || length > uint64(len(payload)-1-n) {
			return failure.New(failure.StorageFailed, failure.NotRun, "log record has an invalid item length")
		}
		payload = payload[1+n:]
		if err := visit(kind, payload[:length]); err != nil {
			return err
		}
		payload = payload[length:]
	}
	return nil
}
