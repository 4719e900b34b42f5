package piece_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/blake3"
	"pgregory.net/rapid"

	"github.com/wasabishunt/wasabishunt/piece"
)

func sample(body []byte) piece.Header {
	return piece.Header{
		Name: piece.Name{1, 2, 3}, Generation: 7, Length: int64(len(body)), Tokens: 2000, RecomputeMs: 100,
		Checksum: piece.Sum(body), Account: "account", WeightVersion: "v1",
	}
}

func encode(t require.TestingT, h piece.Header, body []byte) []byte {
	header, err := piece.EncodeHeader(h)
	require.NoError(t, err)
	return append(header, body...)
}

func reason(err error) piece.Reason {
	if e, ok := errors.AsType[*piece.FormatError](err); ok {
		return e.Reason
	}
	return ""
}

// Guards against a field that is lost or changed by encoding and decoding.
func TestHeaderSurvivesEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.SliceOf(rapid.Byte()).Draw(t, "body")
		h := sample(body)
		h.Generation = rapid.Uint64().Draw(t, "generation")
		h.Account = rapid.StringN(0, 200, piece.MaxFieldBytes).Draw(t, "account")
		h.WeightVersion = rapid.StringN(0, 200, piece.MaxFieldBytes).Draw(t, "version")
		got, gotBody, err := piece.Decode(encode(t, h, body))
		require.NoError(t, err)
		assert.Equal(t, h, got)
		assert.True(t, bytes.Equal(body, gotBody))
	})
}

// Guards against a truncated file or a flipped bit, at any position, that is decoded as a valid piece.
func TestEveryCutAndEveryFlippedBitIsRefused(t *testing.T) {
	file := encode(t, sample([]byte("body of the piece")), []byte("body of the piece"))
	for n := range file {
		_, _, err := piece.Decode(file[:n])
		assert.Equal(t, piece.Torn, reason(err), "cut at %d", n)
		for bit := range 8 {
			flipped := bytes.Clone(file)
			flipped[n] ^= 1 << bit
			_, _, err := piece.Decode(flipped)
			assert.NotEmpty(t, reason(err), "bit %d of byte %d", bit, n)
		}
	}
	_, _, err := piece.Decode(append(file, 0))
	assert.Equal(t, piece.Trailing, reason(err))
}

// Guards against a length that makes the reader allocate unlimited memory, even with a valid header checksum.
func TestOversizedLengthsAreRefused(t *testing.T) {
	h := sample(nil)
	h.Length = piece.MaxBodyBytes + 1
	_, err := piece.EncodeHeader(h)
	assert.Equal(t, piece.Oversized, reason(err))
	file := encode(t, sample(nil), nil)
	binary.LittleEndian.PutUint64(file[16+32+8:], 1<<62)
	sum := blake3.Sum256(file[:len(file)-32])
	copy(file[len(file)-32:], sum[:])
	_, _, err = piece.Decode(file)
	assert.Equal(t, piece.Oversized, reason(err))
	binary.LittleEndian.PutUint32(file[12:], 1<<31)
	_, err = piece.HeaderLength(file)
	assert.Equal(t, piece.Oversized, reason(err))
}

// Guards against a valid piece that is returned to a reader of another one.
func TestForeignPiecesAreRefused(t *testing.T) {
	h := sample(nil)
	assert.NoError(t, piece.Want{Name: h.Name, Account: "account", Generation: 7}.Check(h))
	for _, want := range []piece.Want{
		{Name: piece.Name{9}, Account: "account"},
		{Name: h.Name, Account: "other"},
		{Name: h.Name, Account: "account", Generation: 8},
	} {
		assert.Equal(t, piece.Mismatch, reason(want.Check(h)))
	}
}

// Guards against a decoder that panics or accepts data that EncodeHeader does not produce.
func FuzzDecode(f *testing.F) {
	f.Add(encode(f, sample([]byte("body")), []byte("body")))
	f.Add(encode(f, sample(nil), nil)[:60])
	f.Add([]byte("WSBKVPC\x00\x01\x00\x00\x00\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, file []byte) {
		h, body, err := piece.Decode(file)
		if err != nil {
			require.NotEmpty(t, reason(err))
			return
		}
		require.Equal(t, file, encode(t, h, body))
	})
}
