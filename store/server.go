package store

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sync/semaphore"
	"storj.io/drpc"

	"github.com/wasabishunt/wasabishunt/defaults"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/rpc/storepb"
)

// ServerOptions limits a Server.
type ServerOptions struct {
	// MaxTransferBytes limits the total size of the bodies in transfer; default 512 MiB. It must not be below the
	// store's MaxPieceBytes.
	MaxTransferBytes int64
	// QueueTimeout limits how long a transfer waits until its body fits into MaxTransferBytes; default 2 s.
	QueueTimeout time.Duration
	// TransferTimeout limits one transfer; default 60 s.
	TransferTimeout time.Duration
}

func (o ServerOptions) withDefaults() ServerOptions {
	defaults.Set(&o.MaxTransferBytes, 512<<20)
	defaults.Set(&o.QueueTimeout, 2*time.Second)
	defaults.Set(&o.TransferTimeout, time.Minute)
	return o
}

// Server implements the Store service.
type Server struct {
	store          *Store
	link           *Link
	options        ServerOptions
	transferBudget *semaphore.Weighted
	// bulkReadBudget is the part of transferBudget available to reads by other stores. They hold it while they wait for
	// the link, so without this limit a refill would block all other transfers.
	bulkReadBudget      *semaphore.Weighted
	bulkReadBudgetBytes int64
}

// bulkReadShare is the share of MaxTransferBytes available to reads by other stores.
const bulkReadShare = 0.5

var _ storepb.DRPCStoreServer = (*Server)(nil)

// NewServer returns a server for a store and its link.
func NewServer(store *Store, link *Link, options ServerOptions) *Server {
	options = options.withDefaults()
	bulkReadBudgetBytes := max(int64(bulkReadShare*float64(options.MaxTransferBytes)), min(store.settings.MaxPieceBytes, options.MaxTransferBytes))
	return &Server{
		store: store, link: link, options: options, transferBudget: semaphore.NewWeighted(options.MaxTransferBytes),
		bulkReadBudget: semaphore.NewWeighted(bulkReadBudgetBytes), bulkReadBudgetBytes: bulkReadBudgetBytes,
	}
}

// admitRead is like admit for a read. A read by another store first waits for its part of bulkReadBudget, up to the
// time limit of the transfer.
func (s *Server) admitRead(ctx context.Context, rank string, length int64) (release func(), err error) {
	if rank != RankBulk {
		return s.admit(ctx, length)
	}
	share := min(length, s.bulkReadBudgetBytes)
	if err := s.bulkReadBudget.Acquire(ctx, share); err != nil {
		return nil, failure.New(failure.Overloaded, failure.NotRun, "too many bulk transfers at once")
	}
	releaseBudget, err := s.admit(ctx, length)
	if err != nil {
		s.bulkReadBudget.Release(share)
		return nil, err
	}
	return func() {
		releaseBudget()
		s.bulkReadBudget.Release(share)
	}, nil
}

// admit waits until transferBudget has enough bytes left for a body. release returns these bytes to the budget.
func (s *Server) admit(ctx context.Context, length int64) (release func(), err error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.QueueTimeout)
	defer cancel()
	if err := s.transferBudget.Acquire(ctx, length); err != nil {
		return nil, failure.New(failure.Overloaded, failure.NotRun, "too many transfers at once")
	}
	return func() { s.transferBudget.Release(length) }, nil
}

// Drain waits until all transfers or ctx have ended. Transfers that start later are refused.
func (s *Server) Drain(ctx context.Context) error {
	if err := s.transferBudget.Acquire(ctx, s.options.MaxTransferBytes); err != nil {
		return failure.Wrap(err, failure.DeadlineExceeded, failure.Unknown, "transfers are still running")
	}
	return nil
}

// limitDuration closes a stream that takes longer than TransferTimeout. The returned function must be called when the
// transfer ends.
func (s *Server) limitDuration(stream drpc.Stream) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(stream.Context(), s.options.TransferTimeout)
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	return ctx, func() {
		stop()
		cancel()
	}
}

// PutPiece receives a piece.
func (s *Server) PutPiece(stream storepb.DRPCStore_PutPieceStream) error {
	ctx, done := s.limitDuration(stream)
	defer done()
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	outcome, err := s.receivePiece(ctx, first, stream)
	if err != nil {
		return earlyRefusal(outcome, err)
	}
	result := &storepb.PutResult{Stored: outcome == Stored}
	if !result.Stored {
		result.Reason = string(outcome)
	}
	return stream.SendAndClose(result)
}

// receivePiece receives and stores a piece. It returns an error with the outcome if it refuses the piece before it has
// read the complete body.
func (s *Server) receivePiece(ctx context.Context, first *storepb.PieceChunk, stream storepb.DRPCStore_PutPieceStream) (Outcome, error) {
	h, err := headerFromWire(first.Header)
	if err != nil {
		return RefusedInvalid, err
	}
	if h.Length > min(s.store.settings.MaxPieceBytes, s.options.MaxTransferBytes) {
		return RefusedOversize, failure.New(failure.BodyTooLarge, failure.NotRun, "a body of %d bytes exceeds the limit", h.Length)
	}
	release, err := s.admit(ctx, h.Length)
	if err != nil {
		return RefusedOverloaded, err
	}
	defer release()
	b := s.store.blocks.get(h.Length)
	defer b.release()
	if outcome, err := s.receiveBody(ctx, b.data, first.Rank, stream); err != nil {
		return outcome, err
	}
	// The error is dropped: the store has counted the refusal, and the caller gets the outcome.
	outcome, _ := s.store.putBlock(h, b, time.Duration(first.Header.IdleMs)*time.Millisecond)
	return outcome, nil
}

// receiveBody reads the body at the rate of the link. While it waits for the link, flow control blocks the sender.
func (s *Server) receiveBody(ctx context.Context, body []byte, rank string, stream storepb.DRPCStore_PutPieceStream) (Outcome, error) {
	transfer, err := s.link.Begin(rank, int64(len(body)))
	if err != nil {
		return RefusedOverloaded, err
	}
	defer transfer.End()
	pace := func(n int) error { return takeAll(ctx, transfer, n) }
	return RefusedTorn, receive(body, stream.Recv, pace)
}

// takeAll waits until the link has granted n bytes to the transfer.
func takeAll(ctx context.Context, transfer *Transfer, n int) error {
	for n > 0 {
		got, err := transfer.Take(ctx, int64(n))
		if err != nil {
			return err
		}
		n -= int(got)
	}
	return nil
}

// GetPiece sends a piece.
func (s *Server) GetPiece(request *storepb.GetPieceRequest, stream storepb.DRPCStore_GetPieceStream) error {
	ctx, done := s.limitDuration(stream)
	defer done()
	name, err := nameFromWire(request.Name)
	if err != nil {
		return err
	}
	want := piece.Want{Name: name, Account: request.Account}
	length, held := s.store.length(want)
	if !held {
		s.store.counters.misses.Inc(1)
		return stream.Send(&storepb.PieceChunk{NotFound: true, Last: true})
	}
	release, err := s.admitRead(ctx, request.Rank, length)
	if err != nil {
		return err
	}
	defer release()
	return s.sendPiece(ctx, want, request.Rank, stream)
}

func (s *Server) sendPiece(ctx context.Context, want piece.Want, rank string, stream storepb.DRPCStore_GetPieceStream) error {
	lease, err := s.store.Get(ctx, want)
	if failure.Is(err, failure.NotFound) {
		return stream.Send(&storepb.PieceChunk{NotFound: true, Last: true})
	}
	if err != nil {
		return err
	}
	defer lease.Release()
	transfer, err := s.link.Begin(rank, lease.Header.Length)
	if err != nil {
		return err
	}
	defer transfer.End()
	if err := stream.Send(&storepb.PieceChunk{Header: headerToWire(lease.Header)}); err != nil {
		return err
	}
	take := func(want int) (int, error) {
		n, err := transfer.Take(ctx, int64(want))
		return int(n), err
	}
	return send(lease.Body, take, stream.Send)
}

// HasPieces returns which pieces are held, and how long a transfer would wait for the link.
func (s *Server) HasPieces(_ context.Context, request *storepb.HasPiecesRequest) (*storepb.HasPiecesResponse, error) {
	if len(request.Names) > maxNames {
		return nil, failure.New(failure.InvalidRequest, failure.NotRun, "%d names, at most %d are allowed", len(request.Names), maxNames)
	}
	names := make([]piece.Name, len(request.Names))
	for i, raw := range request.Names {
		name, err := nameFromWire(raw)
		if err != nil {
			return nil, err
		}
		names[i] = name
	}
	wait, rate := s.link.Wait(request.Rank)
	return &storepb.HasPiecesResponse{
		Held: s.store.Has(request.Account, names), LinkWaitMs: wait.Milliseconds(), LinkBytesPerSecond: rate,
	}, nil
}

// maxListed limits the pieces in one page of ListPieces, so that a page of headers with the longest fields stays below
// the 4 MB that a drpc client accepts in one message.
const maxListed = 1500

// ListPieces returns one page of the pieces by descending value. The cursor is an offset, so pieces whose position
// changes between two pages may be listed twice or not at all. The next refill round finds those that were missed.
func (s *Server) ListPieces(_ context.Context, request *storepb.ListPiecesRequest) (*storepb.ListPiecesResponse, error) {
	offset := 0
	if request.After != "" {
		parsed, err := strconv.Atoi(request.After)
		if err != nil || parsed < 0 {
			return nil, failure.New(failure.InvalidRequest, failure.NotRun, "cursor %q is not a number", request.After)
		}
		offset = parsed
	}
	limit := int(min(max(request.Limit, 1), maxListed))
	listed := s.store.List(offset, limit)
	response := &storepb.ListPiecesResponse{}
	for _, l := range listed {
		h := headerToWire(l.Header)
		h.Value, h.IdleMs = l.Value, l.Idle.Milliseconds()
		response.Pieces = append(response.Pieces, h)
	}
	if len(listed) == limit {
		response.Next = strconv.Itoa(offset + limit)
	}
	return response, nil
}

// Status returns the status of the store.
func (s *Server) Status(context.Context, *storepb.StoreStatusRequest) (*storepb.StoreStatus, error) {
	stats := s.store.Stats()
	return &storepb.StoreStatus{
		Store: s.store.settings.Name, MemoryBytes: stats.MemoryBytes, DiskBytes: stats.DiskBytes, Pieces: stats.Pieces,
		Hits: stats.Hits, Misses: stats.Misses, Draining: stats.Draining,
	}, nil
}
