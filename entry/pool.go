package entry

import (
	"time"

	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// Limits of an entry's idle connections to agents, see docs/decisions/entry-connections.md.
const (
	// maxIdleConns allows one connection to each of 2,600 agents, which takes about 60 MB of a node's 128 MB.
	maxIdleConns = 2600
	// maxIdleConnsPerAgent keeps 400 entries below an agent's limit of 4,096 connections: 1,600 idle ones plus 1,024
	// for queued requests.
	maxIdleConnsPerAgent = 4
	// idleConnTimeout is short because the agent's end of an idle connection retains the memory of its largest prompt.
	idleConnTimeout = 2 * time.Minute
	// maxKeptBufferBytes is the size above which the entry's end of an idle connection frees its write buffer.
	maxKeptBufferBytes = 8 << 10
)

// NewPool returns the pool of connections to agents.
func NewPool(sourceIP string) *rpcpool.Pool {
	return rpcpool.New(rpcpool.Options{
		Capacity: maxIdleConns, KeyCapacity: maxIdleConnsPerAgent, Expiration: idleConnTimeout, MaxBufferBytes: maxKeptBufferBytes, LocalIP: sourceIP,
	})
}
