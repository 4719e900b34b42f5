package engine

// Paths of the HTTP protocol.
const (
	PathCompletions = "/v1/completions"
	PathLoad        = "/load"
	PathEvents      = "/events"
	PathWeights     = "/weights"
	// PathKV is followed by the hex name of the piece.
	PathKV = "/kv/"
)

// Query parameters of KV transfers and event reads.
const (
	QueryModel         = "model"
	QueryWeightVersion = "weight_version"
	QueryCacheScope    = "cache_scope"
	QueryTokens        = "tokens"
	QueryAfter         = "after"
)

// DoneMark is the SSE data that follows the final chunk.
const DoneMark = "[DONE]"

// CompletionRequest is the body of a completion call. The fields after Stream are extensions of the OpenAI API.
type CompletionRequest struct {
	Model         string   `json:"model"`
	Prompt        string   `json:"prompt"`
	MaxTokens     int64    `json:"max_tokens"`
	Stream        bool     `json:"stream"`
	RequestID     string   `json:"request_id,omitempty"`
	WeightVersion string   `json:"weight_version,omitempty"`
	Adapter       string   `json:"adapter,omitempty"`
	Priority      int      `json:"priority,omitempty"`
	Emitted       []string `json:"emitted,omitempty"`
	CacheScope    string   `json:"cache_scope,omitempty"`
	PieceNames    []string `json:"piece_names,omitempty"`
}

// CompletionChunk is one SSE event of a completion.
type CompletionChunk struct {
	Object string `json:"object"`
	// TokenIndex is the position in the complete answer, from 0, including tokens emitted before a resumption.
	TokenIndex    int64              `json:"token_index"`
	Choices       []CompletionChoice `json:"choices"`
	Usage         *CompletionUsage   `json:"usage,omitempty"`
	WeightVersion string             `json:"weight_version,omitempty"`
}

// CompletionChoice holds the text of a chunk. FinishReason is set on the final chunk only.
type CompletionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// CompletionUsage is set on the final chunk.
type CompletionUsage struct {
	CompletionTokens int64 `json:"completion_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
}

// ErrorBody is the body of every response that is not 2xx.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes the failure. Type is a failure kind.
type ErrorDetail struct {
	Type         string `json:"type"`
	Message      string `json:"message"`
	Execution    string `json:"execution"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// LoadBody is the response body of PathLoad.
type LoadBody struct {
	RunningRequests int64 `json:"running_requests"`
	QueuedTokens    int64 `json:"queued_tokens"`
	CacheTokens     int64 `json:"cache_tokens"`
	CacheCapacity   int64 `json:"cache_capacity"`
	AgeMs           int64 `json:"age_ms"`
}

// EventBody is one cache event.
type EventBody struct {
	Sequence uint64 `json:"sequence"`
	Piece    string `json:"piece"`
	Stored   bool   `json:"stored"`
}

// EventsBody is the response body of PathEvents.
type EventsBody struct {
	Events []EventBody `json:"events"`
	// Gap is true if the engine has dropped events after the given sequence number.
	Gap bool `json:"gap"`
}

// WeightOrder is the request body of a weight command.
type WeightOrder struct {
	Model         string `json:"model"`
	WeightVersion string `json:"weight_version"`
	FencingToken  uint64 `json:"fencing_token"`
}

// WeightsBody is the response body of a read of PathWeights.
type WeightsBody struct {
	Loaded       []string `json:"loaded"`
	Loading      string   `json:"loading,omitempty"`
	FencingToken uint64   `json:"fencing_token"`
}
