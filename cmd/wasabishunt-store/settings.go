package main

import (
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/settings"
	"github.com/wasabishunt/wasabishunt/store"
)

// arguments are the flags and environment variables of the store.
type arguments struct {
	ProcessID        string        `arg:"--process-id,env:WASABISHUNT_STORE_PROCESS_ID" help:"unique id of this process (name)"`
	Store            string        `arg:"--store,env:WASABISHUNT_STORE_STORE" help:"name of the store in the object set (name)"`
	Listen           string        `arg:"--listen,env:WASABISHUNT_STORE_LISTEN" help:"IP address and port for agents and stores (IP:port)"`
	Advertise        string        `arg:"--advertise,env:WASABISHUNT_STORE_ADVERTISE" help:"IP address and port reported to control; default is that of --listen (IP:port)"`
	SourceIP         string        `arg:"--source-ip,env:WASABISHUNT_STORE_SOURCE_IP" help:"source IP address of connections to other processes; default is chosen by the kernel (IP)"`
	Status           string        `arg:"--status,env:WASABISHUNT_STORE_STATUS" help:"IP address and port of /healthz, /readyz and /metrics (IP:port)"`
	Control          []string      `arg:"--control,env:WASABISHUNT_STORE_CONTROL" help:"IP addresses and ports of control members (IP:port, several)"`
	Zone             string        `arg:"--zone,env:WASABISHUNT_STORE_ZONE" help:"availability zone (name)"`
	DataDir          string        `arg:"--data-dir,env:WASABISHUNT_STORE_DATA_DIR" help:"directory of the disk tier (directory)"`
	MemoryBytes      int64         `arg:"--memory-bytes,env:WASABISHUNT_STORE_MEMORY_BYTES" default:"1073741824" help:"capacity of the memory tier (bytes)"`
	DiskBytes        int64         `arg:"--disk-bytes,env:WASABISHUNT_STORE_DISK_BYTES" default:"17179869184" help:"capacity of the disk tier (bytes)"`
	MaxPieceBytes    int64         `arg:"--max-piece-bytes,env:WASABISHUNT_STORE_MAX_PIECE_BYTES" default:"134217728" help:"limit of one piece (bytes)"`
	MaxTransferBytes int64         `arg:"--max-transfer-bytes,env:WASABISHUNT_STORE_MAX_TRANSFER_BYTES" default:"536870912" help:"limit of all pieces in transfer (bytes)"`
	MaxConnections   int           `arg:"--max-connections,env:WASABISHUNT_STORE_MAX_CONNECTIONS" default:"1024" help:"limit of open connections (count)"`
	QueueTimeout     time.Duration `arg:"--queue-timeout,env:WASABISHUNT_STORE_QUEUE_TIMEOUT" default:"2s" help:"time that a transfer may wait for room (duration)"`
	TransferTimeout  time.Duration `arg:"--transfer-timeout,env:WASABISHUNT_STORE_TRANSFER_TIMEOUT" default:"1m" help:"time for one transfer (duration)"`
	RefillInterval   time.Duration `arg:"--refill-interval,env:WASABISHUNT_STORE_REFILL_INTERVAL" default:"5m" help:"time between refill rounds (duration)"`
	RefillMaxFill    float64       `arg:"--refill-max-fill,env:WASABISHUNT_STORE_REFILL_MAX_FILL" default:"0.8" help:"share of the disk tier that refill may fill, 0 to 1 (share)"`
	DrainNotice      time.Duration `arg:"--drain-notice,env:WASABISHUNT_STORE_DRAIN_NOTICE" default:"1s" help:"time that the store serves reads after it reported that it is leaving (duration)"`
	DrainLimit       time.Duration `arg:"--drain-limit,env:WASABISHUNT_STORE_DRAIN_LIMIT" default:"10s" help:"time for running transfers after that (duration)"`
	LogLevel         zapcore.Level `arg:"--log-level,env:WASABISHUNT_STORE_LOG_LEVEL" default:"info" help:"debug, info, warn or error (level)"`
}

// Validate lists all faults of the settings.
func (a *arguments) Validate() []failure.Problem {
	var c settings.Checker
	c.Required("--process-id", a.ProcessID, "store-1")
	c.Required("--store", a.Store, "store-a")
	c.Required("--zone", a.Zone, "zone-a")
	c.Required("--data-dir", a.DataDir, "/var/lib/wasabishunt")
	c.ListenAdvertise(a.Listen, &a.Advertise)
	c.Address("--status", a.Status)
	c.OptionalIP("--source-ip", a.SourceIP)
	c.Addresses("--control", a.Control)
	a.validateLimits(&c)
	return c.Problems()
}

func (a *arguments) validateLimits(c *settings.Checker) {
	settings.Positive(c, "--memory-bytes", a.MemoryBytes)
	settings.Positive(c, "--disk-bytes", a.DiskBytes)
	settings.Positive(c, "--max-piece-bytes", a.MaxPieceBytes)
	settings.Positive(c, "--max-connections", a.MaxConnections)
	if a.MaxTransferBytes < a.MaxPieceBytes {
		c.Fail("--max-transfer-bytes", "must be at least --max-piece-bytes")
	}
	settings.Positive(c, "--refill-max-fill", a.RefillMaxFill)
	if a.RefillMaxFill > 1 {
		c.Fail("--refill-max-fill", "must be at most 1, is %v", a.RefillMaxFill)
	}
	settings.Positive(c, "--queue-timeout", a.QueueTimeout)
	settings.Positive(c, "--transfer-timeout", a.TransferTimeout)
	settings.Positive(c, "--refill-interval", a.RefillInterval)
	settings.Positive(c, "--drain-limit", a.DrainLimit)
	if a.DrainNotice < 0 {
		c.Fail("--drain-notice", "must not be negative, is %v", a.DrainNotice)
	}
}

func (a *arguments) serverOptions() store.ServerOptions {
	return store.ServerOptions{
		MaxTransferBytes: a.MaxTransferBytes, QueueTimeout: a.QueueTimeout, TransferTimeout: a.TransferTimeout,
	}
}
