package bench

import "time"

// The time model: a mid-size language model, one accelerator generation and a 10 Gbit/s link per store.
const (
	// entryCount is the number of entry processes.
	entryCount = 3
	// networkDelay is the delay of one hop between entry and agent.
	networkDelay = 1500 * time.Microsecond
	// bytesPerToken is the size of KV cache per token; a piece is 80 MB.
	bytesPerToken = 40_000
	pieceBytes    = bytesPerToken * 2000
	// linkBytesPerSecond is the bandwidth of each store's link in bytes per second.
	linkBytesPerSecond = 1.25e9
	// linkChunkBytes is the size of one chunk of a transfer.
	linkChunkBytes = 16 << 20
	// engineCachePieces is the capacity of one engine's prefix cache in pieces, storePieces that of one store.
	engineCachePieces = 40
	storePieces       = 400
	// maxRunning is the number of run slots of each engine.
	maxRunning = 48
	// engineChunkTokens is the most prefill of one engine step in tokens, over one or several prompts.
	engineChunkTokens = 512
	// configuredRate is the prefill rate in the object set, in tokens per second; the true rates differ from it.
	configuredRate = 8000.0
	// configuredDecode is the decode rate of one request in the object set, in tokens per second.
	configuredDecode = 40.0
	// weightLoadTime is the time in which an engine loads weights; at most maxLoading engines of a model load at once.
	weightLoadTime = 800 * time.Millisecond
	maxLoading     = 2
	// watchdogTimeout is how long an agent waits for its engine before it treats the engine as failed.
	watchdogTimeout = time.Second
)

// hardware is the speed of one engine.
type hardware struct {
	prefill float64 // Tokens per second.
	// A decode step takes base plus perRequest for every running request.
	base, perRequest time.Duration
}

var (
	newHardware = hardware{10_000, 14 * time.Millisecond, 300 * time.Microsecond}
	oldHardware = hardware{6_000, 22 * time.Millisecond, 500 * time.Microsecond}
)

// hardwareOf returns the old hardware for every third engine.
func hardwareOf(i int) hardware {
	if i%3 == 2 {
		return oldHardware
	}
	return newHardware
}

// stepTime is the time of one iteration of continuous batching: one prefill chunk and one token for each running request.
func (h hardware) stepTime(chunk int64, decoding int) time.Duration {
	d := time.Duration(float64(chunk) / h.prefill * float64(time.Second))
	if decoding > 0 {
		d += h.base + time.Duration(decoding)*h.perRequest
	}
	return d
}
