package store

import (
	"context"
	"errors"
	"time"

	"storj.io/drpc"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/rpc/storepb"
	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// ClientOptions limits a Client.
type ClientOptions struct {
	// CallTimeout limits a call other than a transfer; default 1 s.
	CallTimeout time.Duration
	// TransferTimeout limits a transfer; default 30 s. The caller's context may end it earlier.
	TransferTimeout time.Duration
	// MaxPieceBytes limits one body; default 128 MiB.
	MaxPieceBytes int64
}

func (o ClientOptions) withDefaults() ClientOptions {
	defaults.Set(&o.CallTimeout, time.Second)
	defaults.Set(&o.TransferTimeout, 30*time.Second)
	defaults.Set(&o.MaxPieceBytes, 128<<20)
	return o
}

// Client reads and writes pieces of store processes. It verifies all pieces that it reads.
type Client struct {
	pool    *rpcpool.Pool
	options ClientOptions
}

// NewClient returns a client that uses connections of a pool.
func NewClient(pool *rpcpool.Pool, options ClientOptions) *Client {
	return &Client{pool: pool, options: options.withDefaults()}
}

// call makes one call on a pooled connection, within a time limit.
func (c *Client) call(ctx context.Context, address string, limit time.Duration, f func(context.Context, storepb.DRPCStoreClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn := c.pool.Get(ctx, address)
	defer func() { _ = conn.Close() }()
	return classify(ctx, f(ctx, storepb.NewDRPCStoreClient(conn)), address)
}

// classify wraps errors of drpc in typed errors; errors that are already typed are returned unchanged.
func classify(ctx context.Context, err error, address string) error {
	if err == nil || failure.Of(err).Kind != failure.Internal {
		return err
	}
	if ctx.Err() != nil {
		return failure.Wrap(err, failure.DeadlineExceeded, failure.Unknown, "store %s", address)
	}
	return failure.Wrap(err, failure.UpstreamFailed, failure.Unknown, "store %s", address)
}

// Get reads a whole piece. A piece that the store does not hold is a NotFound failure.
func (c *Client) Get(ctx context.Context, address string, want piece.Want, rank string) (piece.Header, []byte, error) {
	var h piece.Header
	var body []byte
	err := c.call(ctx, address, c.options.TransferTimeout, func(ctx context.Context, client storepb.DRPCStoreClient) error {
		stream, err := client.GetPiece(ctx, &storepb.GetPieceRequest{Name: want.Name[:], Account: want.Account, Rank: rank})
		if err != nil {
			return err
		}
		defer closeStream(stream)
		h, body, err = c.read(want, stream)
		return err
	})
	return h, body, err
}

func closeStream(stream drpc.Stream) { _ = stream.Close() }

func (c *Client) read(want piece.Want, stream storepb.DRPCStore_GetPieceClient) (piece.Header, []byte, error) {
	first, err := stream.Recv()
	if err != nil {
		return piece.Header{}, nil, err
	}
	if first.NotFound {
		return piece.Header{}, nil, notHeldError()
	}
	h, err := headerFromWire(first.Header)
	if err != nil {
		return h, nil, failure.Wrap(err, failure.UpstreamFailed, failure.Ran, "store sent an invalid header")
	}
	if err := want.Check(h); err != nil {
		return h, nil, failure.Wrap(err, failure.UpstreamFailed, failure.Ran, "store sent another piece")
	}
	if h.Length > c.options.MaxPieceBytes {
		return h, nil, failure.New(failure.UpstreamFailed, failure.Ran, "a body of %d bytes from the store exceeds the limit", h.Length)
	}
	body := make([]byte, h.Length)
	if err := receive(body, stream.Recv, func(int) error { return nil }); err != nil {
		return h, nil, err
	}
	if err := piece.CheckBody(h, body); err != nil {
		return h, nil, failure.Wrap(err, failure.StreamBroken, failure.Unknown, "store sent a damaged piece")
	}
	return h, body, nil
}

// Put writes a piece. If the store refuses it, the error is nil and the outcome is not Stored. The header must hold the
// checksum of the body.
func (c *Client) Put(ctx context.Context, address string, h piece.Header, body []byte, rank string) (Outcome, error) {
	return c.PutIdle(ctx, address, h, body, rank, 0)
}

// PutIdle is like Put for a piece that has not been used for the idle time.
func (c *Client) PutIdle(ctx context.Context, address string, h piece.Header, body []byte, rank string, idle time.Duration) (Outcome, error) {
	outcome := Outcome("")
	err := c.call(ctx, address, c.options.TransferTimeout, func(ctx context.Context, client storepb.DRPCStoreClient) error {
		stream, err := client.PutPiece(ctx)
		if err != nil {
			return err
		}
		defer closeStream(stream)
		header := headerToWire(h)
		header.IdleMs = idle.Milliseconds()
		outcome, err = write(header, body, rank, stream)
		return err
	})
	return outcome, err
}

func write(header *storepb.PieceHeader, body []byte, rank string, stream storepb.DRPCStore_PutPieceClient) (Outcome, error) {
	sendErr := stream.Send(&storepb.PieceChunk{Header: header, Rank: rank})
	if sendErr == nil {
		sendErr = send(body, func(want int) (int, error) { return want, nil }, stream.Send)
	}
	// A store that refuses a piece closes the stream early, so the response is read even after a failed send.
	result, err := stream.CloseAndRecv()
	if outcome, refused := outcomeOf(err); refused {
		return outcome, nil
	}
	if err != nil {
		return "", errors.Join(err, sendErr)
	}
	if result.Stored {
		return Stored, nil
	}
	return Outcome(result.Reason), nil
}

// HasResult is a store's response to Has.
type HasResult struct {
	// Held has one element for each name.
	Held []bool
	// LinkWait is the estimated time until a new transfer of the rank would start.
	LinkWait time.Duration
	// BytesPerSecond is the bandwidth of the store's link; 0 if unknown.
	BytesPerSecond float64
}

// Has returns which pieces of an account a store holds, and how long a transfer of the rank would wait.
func (c *Client) Has(ctx context.Context, address, account, rank string, names []piece.Name) (HasResult, error) {
	request := &storepb.HasPiecesRequest{Account: account, Rank: rank}
	for _, name := range names {
		request.Names = append(request.Names, name[:])
	}
	var result HasResult
	err := c.call(ctx, address, c.options.CallTimeout, func(ctx context.Context, client storepb.DRPCStoreClient) error {
		response, err := client.HasPieces(ctx, request)
		if err != nil {
			return err
		}
		if len(response.Held) != len(names) {
			return failure.New(failure.UpstreamFailed, failure.Ran, "store responded for %d of %d pieces", len(response.Held), len(names))
		}
		result = HasResult{response.Held, time.Duration(response.LinkWaitMs) * time.Millisecond, response.LinkBytesPerSecond}
		return nil
	})
	return result, err
}

// List reads one page of pieces by descending value. It returns the cursor of the next page, which is empty after the
// last page.
func (c *Client) List(ctx context.Context, address, after string, limit int) ([]Listed, string, error) {
	var response *storepb.ListPiecesResponse
	err := c.call(ctx, address, c.options.CallTimeout, func(ctx context.Context, client storepb.DRPCStoreClient) (err error) {
		response, err = client.ListPieces(ctx, &storepb.ListPiecesRequest{After: after, Limit: int64(limit)})
		return err
	})
	if err != nil {
		return nil, "", err
	}
	listed := make([]Listed, 0, len(response.Pieces))
	for _, w := range response.Pieces {
		h, err := headerFromWire(w)
		if err != nil {
			return nil, "", failure.Wrap(err, failure.UpstreamFailed, failure.Ran, "store listed an invalid header")
		}
		listed = append(listed, Listed{h, w.Value, time.Duration(w.IdleMs) * time.Millisecond})
	}
	return listed, response.Next, nil
}

// Status reads the status of a store.
func (c *Client) Status(ctx context.Context, address string) (*storepb.StoreStatus, error) {
	var status *storepb.StoreStatus
	err := c.call(ctx, address, c.options.CallTimeout, func(ctx context.Context, client storepb.DRPCStoreClient) (err error) {
		status, err = client.Status(ctx, &storepb.StoreStatusRequest{})
		return err
	})
	return status, err
}
