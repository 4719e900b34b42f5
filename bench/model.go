package bench

import "time"

// The time model: a mid-size language model, one accelerator generation and a 10 Gbit/s link per store.
const (
	entries = 3
	// network is one hop between entry and agent.
	network = 1500 * time.Microsecond
	// bytesPerToken is the size of KV cache per token; a piece is 80 MB.
	bytesPerToken = 40_000
	pieceBytes    = bytesPerToken * 2000
	// linkBytes is the bandwidth of each store's link in bytes per second.
	linkBytes = 1.25e9
	linkChunk = 16 << 20
	// engineCachePieces is the capacity of one engine's prefix cache in pieces, storePieces that of one store.
	engineCachePieces = 40
	storePieces       = 400
	maxRunning        = 48
	// engineChunk is the most prefill of one engine step in tokens, over one or several prompts.
	engineChunk = 512
	// configuredRate is the prefill rate in the object set, in tokens per second; the true rates differ from it.
	configuredRate = 8000.0
	// configuredDecode is the decode rate of one request in the object set, in tokens per second.
	configuredDecode = 40.0
	loadWeights      = 800 * time.Millisecond
	maxLoading       = 2
	// watchdog is how long an agent waits for its engine before it reports it failed.
	watchdog = time.Second
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

// step is the time of one iteration of continuous batching: one prefill chunk and one token for each running request.
func (h hardware) step(chunk int64, decoding int) time.Duration {
	d := time.Duration(float64(chunk) / h.prefill * float64(time.Second))
	if decoding > 0 {
		d += h.base + time.Duration(decoding)*h.perRequest
	}
	return d
}
