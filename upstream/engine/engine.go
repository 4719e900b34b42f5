// Package engine is the protocol towards model engines. Client is the contract; each dialect is one file.
package engine

import (
	"context"
	"io"
)

// Client talks to one engine.
type Client interface {
	// Generate starts a run. Canceling the context cancels the run on the engine.
	Generate(ctx context.Context, request Request) (Stream, error)
	// Load returns the engine's own load report, which may lag.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns events after the given sequence number. Gap is true if events were lost.
	CacheEvents(ctx context.Context, after uint64) (events []CacheEvent, gap bool, err error)
	// ExportKV reads the KV blocks of one piece.
	ExportKV(ctx context.Context, ref PieceRef) (io.ReadCloser, error)
	// ImportKV gives the engine the KV blocks of one piece.
	ImportKV(ctx context.Context, ref PieceRef, body io.Reader, length int64) error
	// LoadWeights orders a weight version; it returns once the load has started.
	LoadWeights(ctx context.Context, command WeightCommand) error
	// Weights reads back which versions are loaded or loading.
	Weights(ctx context.Context) (Weights, error)
}

// Request is one run.
type Request struct {
	RequestID     string
	Model         string
	WeightVersion string
	Adapter       string
	Prompt        string
	MaxTokens     int64
	// Priority as engines understand it; lower runs first.
	Priority int
	// Emitted holds the tokens that the caller already has; the engine continues after them.
	Emitted []string
	// CacheScope separates the prefix caches of client accounts on the engine.
	CacheScope string
	// PieceNames are hex names of the prompt's whole pieces, in order.
	PieceNames []string
}

// Stream yields the events of one run.
type Stream interface {
	// Next returns the next event. After a final event it returns io.EOF; a stream that
	// ends without a final event returns another error.
	Next() (Event, error)
	Close() error
}

// Event is one token, or the end of the run when Final is set.
type Event struct {
	Index        int64
	Text         string
	Final        bool
	TotalTokens  int64
	FinishReason string
	// CachedTokens of the prompt were served from the engine's prefix cache; set on the final event.
	CachedTokens  int64
	WeightVersion string
}

// Load is an engine's load report.
type Load struct {
	RunningRequests int64
	QueuedTokens    int64
	CacheTokens     int64
	CacheCapacity   int64
	// AgeMs is how old the report is, in milliseconds.
	AgeMs int64
}

// CacheEvent says that the engine stored or evicted a piece.
type CacheEvent struct {
	Sequence uint64
	Piece    string
	Stored   bool
}

// PieceRef names the KV blocks of one piece.
type PieceRef struct {
	Name          string
	Model         string
	WeightVersion string
	CacheScope    string
	Tokens        int64
}

// WeightCommand orders the engine to load a weight version.
type WeightCommand struct {
	Model         string
	WeightVersion string
	// FencingToken rises with each agent incarnation.
	FencingToken uint64
}

// Weights is the engine's state of loaded weights.
type Weights struct {
	Loaded  []string
	Loading string
	// FencingToken is the highest token the engine has seen; 0 if it ignores tokens.
	FencingToken uint64
}
