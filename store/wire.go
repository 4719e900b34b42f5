package store

import (
	"slices"

	"storj.io/drpc/drpcerr"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/rpc/storepb"
)

// chunkBytes is the maximum length of the data in one message.
const chunkBytes = 256 << 10

// maxNames limits the number of names in one HasPieces call.
const maxNames = 4096

func headerToWire(h piece.Header) *storepb.PieceHeader {
	return &storepb.PieceHeader{
		Name: h.Name[:], Generation: h.Generation, LengthBytes: h.Length, Tokens: h.Tokens, Checksum: h.Checksum[:],
		Account: h.Account, WeightVersion: h.WeightVersion, RecomputeMs: h.RecomputeMs,
	}
}

func headerFromWire(w *storepb.PieceHeader) (piece.Header, error) {
	if w == nil {
		return piece.Header{}, failure.New(failure.InvalidRequest, failure.NotRun, "piece without header")
	}
	name, err := nameFromWire(w.Name)
	if err != nil {
		return piece.Header{}, err
	}
	if len(w.Checksum) != len(piece.Checksum{}) {
		return piece.Header{}, failure.New(failure.InvalidRequest, failure.NotRun, "checksum of %d bytes", len(w.Checksum))
	}
	h := piece.Header{
		Name: name, Generation: w.Generation, Length: w.LengthBytes, Tokens: w.Tokens, RecomputeMs: w.RecomputeMs,
		Checksum: piece.Checksum(w.Checksum), Account: w.Account, WeightVersion: w.WeightVersion,
	}
	if err := h.Validate(); err != nil {
		return piece.Header{}, failure.Wrap(err, failure.InvalidRequest, failure.NotRun, "piece header")
	}
	return h, nil
}

func nameFromWire(b []byte) (piece.Name, error) {
	if len(b) != len(piece.Name{}) {
		return piece.Name{}, failure.New(failure.InvalidRequest, failure.NotRun, "piece name of %d bytes", len(b))
	}
	return piece.Name(b), nil
}

// receive reads chunks into body until the last one and calls pace after each. It fails if the stream ends early or has
// more data than the body.
func receive(body []byte, recv func() (*storepb.PieceChunk, error), pace func(n int) error) error {
	filled := 0
	for {
		chunk, err := recv()
		if err != nil {
			return failure.Wrap(err, failure.StreamBroken, failure.Unknown, "piece ends after %d of %d bytes", filled, len(body))
		}
		if len(chunk.Data) > len(body)-filled {
			return failure.New(failure.StreamBroken, failure.Unknown, "piece is longer than the length in its header")
		}
		filled += copy(body[filled:], chunk.Data)
		if chunk.Last {
			return checkComplete(filled, len(body))
		}
		// With empty chunks a peer could keep the transfer open without sending data.
		if len(chunk.Data) == 0 {
			return failure.New(failure.StreamBroken, failure.Unknown, "empty chunk")
		}
		if err := pace(len(chunk.Data)); err != nil {
			return err
		}
	}
}

func checkComplete(filled, want int) error {
	if filled != want {
		return failure.New(failure.StreamBroken, failure.Unknown, "piece ends after %d of %d bytes", filled, want)
	}
	return nil
}

// send writes a body in chunks and marks the last one. take returns how many bytes may be sent now.
func send(body []byte, take func(want int) (int, error), write func(*storepb.PieceChunk) error) error {
	if len(body) == 0 {
		return write(&storepb.PieceChunk{Last: true})
	}
	for len(body) > 0 {
		n, err := take(min(len(body), chunkBytes))
		if err != nil {
			return err
		}
		chunk := &storepb.PieceChunk{Data: body[:n], Last: n == len(body)}
		if err := write(chunk); err != nil {
			return failure.Wrap(err, failure.StreamBroken, failure.Unknown, "send piece")
		}
		body = body[n:]
	}
	return nil
}

// earlyOutcomes are refusals before the whole body was read. They are sent as error codes, which end the sender's stream
// at once. A response would reach the sender only after it has sent the whole body, which the store does not read.
var earlyOutcomes = []Outcome{RefusedInvalid, RefusedOversize, RefusedOverloaded, RefusedTorn}

func earlyRefusal(outcome Outcome, err error) error {
	return drpcerr.WithCode(err, uint64(slices.Index(earlyOutcomes, outcome)+1))
}

// outcomeOf returns the early refusal encoded in an error code.
func outcomeOf(err error) (Outcome, bool) {
	code := drpcerr.Code(err)
	if code == 0 || code > uint64(len(earlyOutcomes)) {
		return "", false
	}
	return earlyOutcomes[code-1], true
}
