// Package engine defines the client interface for model engines and implements it over HTTP.
package engine

import (
	"context"
	"io"
)

// Client is a connection to one engine.
type Client interface {
	// Generate starts a run. Canceling the context also cancels the run on the engine.
	Generate(ctx context.Context, request Request) (Stream, error)
	// Load returns the engine's load report, which may be outdated.
	Load(ctx context.Context) (Load, error)
	// CacheEvents returns the events after the given sequence number. gap is true if events were lost.
	CacheEvents(ctx context.Context, after uint64) (events []CacheEvent, gap bool, err error)
	// ExportKV reads the KV blocks of one piece.
	ExportKV(ctx context.Context, ref PieceRef) (io.ReadCloser, error)
	// ImportKV sends the KV blocks of one piece to the engine.
	ImportKV(ctx context.Context, ref PieceRef, body io.Reader, length int64) error
	// LoadWeights makes the engine load a weight version. It returns once the load has started.
	LoadWeights(ctx context.Context, command WeightCommand) error
	// Weights returns which versions are loaded or being loaded.
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
	// Priority is the engine's priority of the run; lower values run first.
	Priority int
	// Emitted holds the tokens that the caller has already received; the engine continues after them.
	Emitted []string
	// CacheScope separates the prefix caches of client accounts on the engine.
	CacheScope string
	// PieceNames are the hex names of the prompt's complete pieces, in order.
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
	// CachedTokens is the number of prompt tokens served from the engine's prefix cache; set on the final event.
	CachedTokens  int64
	WeightVersion string
}

// Load is an engine's load report.
type Load struct {
	RunningRequests int64
	QueuedTokens    int64
	CacheTokens     int64
	CacheCapacity   int64
	// AgeMs is the age of the report in milliseconds.
	AgeMs int64
}

// CacheEvent reports that the engine has stored or evicted a piece.
type CacheEvent struct {
	Sequence uint64
	Piece    string
	Stored   bool
}

// PieceRef identifies the KV blocks of one piece.
type PieceRef struct {
	Name          string
	Model         string
	WeightVersion string
	CacheScope    string
	Tokens        int64
}

// WeightCommand is a command to load a weight version.
type WeightCommand struct {
	Model         string
	WeightVersion string
	// FencingToken increases with each agent incarnation.
	FencingToken uint64
}

// Weights lists the weight versions on an engine.
type Weights struct {
	Loaded  []string
	Loading string
	// FencingToken is the highest token the engine has received; 0 if it does not support tokens.
	FencingToken uint64
}
