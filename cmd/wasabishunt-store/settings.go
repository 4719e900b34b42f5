package main

import (
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/settings"
	"github.com/wasabishunt/wasabishunt/store"
)

// arguments are the flags and environment variables of the store.
type arguments struct {
	settings.Registered

	Store            string        `arg:"--store,env:STORE" help:"name of the store in the object set (name)"`
	Listen           string        `arg:"--listen,env:LISTEN" help:"IP address and port for agents and stores (IP:port)"`
	DataDir          string        `arg:"--data-dir,env:DATA_DIR" help:"directory of the disk tier (directory)"`
	MemoryBytes      int64         `arg:"--memory-bytes,env:MEMORY_BYTES" default:"1073741824" help:"capacity of the memory tier (bytes)"`
	DiskBytes        int64         `arg:"--disk-bytes,env:DISK_BYTES" default:"17179869184" help:"capacity of the disk tier (bytes)"`
	MaxPieceBytes    int64         `arg:"--max-piece-bytes,env:MAX_PIECE_BYTES" default:"134217728" help:"limit of one piece (bytes)"`
	MaxTransferBytes int64         `arg:"--max-transfer-bytes,env:MAX_TRANSFER_BYTES" default:"536870912" help:"limit of all pieces in transfer (bytes)"`
	MaxConnections   int           `arg:"--max-connections,env:MAX_CONNECTIONS" default:"1024" help:"limit of open connections (count)"`
	QueueTimeout     time.Duration `arg:"--queue-timeout,env:QUEUE_TIMEOUT" default:"2s" help:"time that a transfer may wait for room (duration)"`
	TransferTimeout  time.Duration `arg:"--transfer-timeout,env:TRANSFER_TIMEOUT" default:"1m" help:"time for one transfer (duration)"`
	RefillInterval   time.Duration `arg:"--refill-interval,env:REFILL_INTERVAL" default:"5m" help:"time between refill rounds (duration)"`
	RefillMaxFill    float64       `arg:"--refill-max-fill,env:REFILL_MAX_FILL" default:"0.8" help:"share of the disk tier that refill may fill, 0 to 1 (share)"`
	DrainNotice      time.Duration `arg:"--drain-notice,env:DRAIN_NOTICE" default:"1s" help:"time that the store serves reads after it reported that it is leaving (duration)"`
	DrainLimit       time.Duration `arg:"--drain-limit,env:DRAIN_LIMIT" default:"10s" help:"time for running transfers after that (duration)"`
}

// Validate returns all problems of the settings.
func (a *arguments) Validate() []failure.Problem {
	var c settings.Checker
	c.Required("--store", a.Store, "store-a")
	c.Required("--data-dir", a.DataDir, "/var/lib/wasabishunt")
	a.Registered.Check(&c, a.Listen, "store-1")
	a.validateLimits(&c)
	return c.Problems()
}

func (a *arguments) validateLimits(c *settings.Checker) {
	settings.Positive(c, "--memory-bytes", a.MemoryBytes)
	settings.Positive(c, "--disk-bytes", a.DiskBytes)
	settings.Positive(c, "--max-piece-bytes", a.MaxPieceBytes)
	settings.Positive(c, "--max-connections", a.MaxConnections)
	if a.MaxTransferBytes < a.MaxPieceBytes {
		c.AddProblem("--max-transfer-bytes", "must be at least --max-piece-bytes")
	}
	settings.Positive(c, "--refill-max-fill", a.RefillMaxFill)
	if a.RefillMaxFill > 1 {
		c.AddProblem("--refill-max-fill", "must be at most 1, is %v", a.RefillMaxFill)
	}
	settings.Positive(c, "--queue-timeout", a.QueueTimeout)
	settings.Positive(c, "--transfer-timeout", a.TransferTimeout)
	settings.Positive(c, "--refill-interval", a.RefillInterval)
	settings.Positive(c, "--drain-limit", a.DrainLimit)
	if a.DrainNotice < 0 {
		c.AddProblem("--drain-notice", "must not be negative, is %v", a.DrainNotice)
	}
}

func (a *arguments) serverOptions() store.ServerOptions {
	return store.ServerOptions{
		MaxTransferBytes: a.MaxTransferBytes, QueueTimeout: a.QueueTimeout, TransferTimeout: a.TransferTimeout,
	}
}
