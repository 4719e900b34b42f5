package entry

import (
	"time"

	"github.com/wasabishunt/wasabishunt/rpcpool"
)

// Limits of the idle connections of an entry, see docs/decisions/entry-connections.md.
const (
	// idleAgents is one connection to each of the 2,600 agents: about 60 MB of the 128 MB of a node.
	idleAgents = 2600
	// idlePerAgent keeps 400 entries below the 4,096 connections that an agent takes: 1,600 idle ones, and 1,024 waiting requests.
	idlePerAgent = 4
	// idleTime is bounded by the agents, whose end of an idle connection keeps the memory of its largest prompt.
	idleTime = 2 * time.Minute
	// keptBuffer is the size in bytes above which the entry's end drops its write buffers.
	keptBuffer = 8 << 10
)

// NewPool returns the pool of connections to agents.
func NewPool(sourceIP string) *rpcpool.Pool {
	return rpcpool.New(rpcpool.Options{
		Capacity: idleAgents, KeyCapacity: idlePerAgent, Expiration: idleTime, KeepBuffer: keptBuffer, LocalIP: sourceIP,
	})
}
