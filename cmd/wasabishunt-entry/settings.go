package main

import (
	"os"
	"time"

	"github.com/wasabishunt/wasabishunt/entry"
	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/operators"
	"github.com/wasabishunt/wasabishunt/piece"
	"github.com/wasabishunt/wasabishunt/settings"
)

// arguments are the flags and environment variables of the entry.
type arguments struct {
	settings.Registered

	Listen           string        `arg:"--listen,env:LISTEN" help:"IP address and port for callers (IP:port)"`
	PieceKeyFile     string        `arg:"--piece-key-file,env:PIECE_KEY_FILE" help:"file with the 32 bytes of the piece-name key (file)"`
	OperatorsFile    string        `arg:"--operators-file,env:OPERATORS_FILE" help:"file with lines of operator name and SHA-256 of the token, who may use /debug/requests; changes are taken without a restart; default nobody may (file)"`
	StaleSetLimit    time.Duration `arg:"--stale-set-limit,env:STALE_SET_LIMIT" default:"4s" help:"no new work after so long without confirmation of the set (duration)"`
	DrainNotice      time.Duration `arg:"--drain-notice,env:DRAIN_NOTICE" default:"5s" help:"time with readyz false before the listener closes (duration)"`
	DrainLimit       time.Duration `arg:"--drain-limit,env:DRAIN_LIMIT" default:"10m" help:"time for running requests after that (duration)"`
	MaxBodyBytes     int64         `arg:"--max-body-bytes,env:MAX_BODY_BYTES" default:"8388608" help:"limit of a request body (bytes)"`
	MaxBufferedBytes int64         `arg:"--max-buffered-bytes,env:MAX_BUFFERED_BYTES" default:"1073741824" help:"limit of all request bodies in flight (bytes)"`
	MaxConcurrent    int           `arg:"--max-concurrent,env:MAX_CONCURRENT" default:"2048" help:"limit of requests in flight (count)"`
	MaxConnections   int           `arg:"--max-connections,env:MAX_CONNECTIONS" default:"8192" help:"limit of open connections of callers (count)"`
	HeaderTimeout    time.Duration `arg:"--header-timeout,env:HEADER_TIMEOUT" default:"5s" help:"time for a request's head to arrive (duration)"`
	BodyTimeout      time.Duration `arg:"--body-timeout,env:BODY_TIMEOUT" default:"10s" help:"time for a request's body to arrive (duration)"`
	WriteTimeout     time.Duration `arg:"--write-timeout,env:WRITE_TIMEOUT" default:"10s" help:"time for one write to a caller (duration)"`
	DefaultDeadline  time.Duration `arg:"--default-deadline,env:DEFAULT_DEADLINE" default:"5m" help:"deadline of requests that name none (duration)"`
	MaxDeadline      time.Duration `arg:"--max-deadline,env:MAX_DEADLINE" default:"10m" help:"largest deadline that a caller may ask for (duration)"`
	MaxAttempts      int           `arg:"--max-attempts,env:MAX_ATTEMPTS" default:"3" help:"upstreams tried for one request (count)"`
	RetryShare       float64       `arg:"--retry-share,env:RETRY_SHARE" default:"0.1" help:"retries as a share of requests, 0 to 1 (share)"`

	pieceKey  piece.Key
	operators operators.List
}

// Validate returns all problems of the settings.
func (a *arguments) Validate() []failure.Problem {
	var c settings.Checker
	a.Registered.Check(&c, a.Listen, "entry-1")
	c.KeyFile("--piece-key-file", a.PieceKeyFile, a.pieceKey[:])
	a.checkOperators(&c)
	a.validateLimits(&c)
	return c.Problems()
}

func (a *arguments) checkOperators(c *settings.Checker) {
	if a.OperatorsFile == "" {
		return
	}
	file, err := os.Open(a.OperatorsFile)
	if err != nil {
		c.AddProblem("--operators-file", "%v", err)
		return
	}
	defer func() { _ = file.Close() }()
	for _, p := range a.operators.Load(file) {
		c.AddProblem("--operators-file", "%s: %s", p.Path, p.Message)
	}
}

func (a *arguments) validateLimits(c *settings.Checker) {
	settings.Positive(c, "--max-body-bytes", a.MaxBodyBytes)
	settings.Positive(c, "--max-concurrent", a.MaxConcurrent)
	settings.Positive(c, "--max-connections", a.MaxConnections)
	settings.Positive(c, "--max-attempts", a.MaxAttempts)
	settings.Positive(c, "--retry-share", a.RetryShare)
	if a.RetryShare > 1 {
		c.AddProblem("--retry-share", "must be at most 1, is %v", a.RetryShare)
	}
	if a.MaxBufferedBytes < a.MaxBodyBytes {
		c.AddProblem("--max-buffered-bytes", "must be at least --max-body-bytes")
	}
	c.PositiveDurations(map[string]time.Duration{
		"--stale-set-limit": a.StaleSetLimit, "--drain-notice": a.DrainNotice, "--drain-limit": a.DrainLimit,
		"--header-timeout": a.HeaderTimeout, "--body-timeout": a.BodyTimeout, "--write-timeout": a.WriteTimeout,
		"--default-deadline": a.DefaultDeadline, "--max-deadline": a.MaxDeadline,
	})
}

func (a *arguments) options() entry.Options {
	return entry.Options{
		SourceIP:         a.SourceIP,
		MaxBodyBytes:     a.MaxBodyBytes,
		MaxBufferedBytes: a.MaxBufferedBytes,
		MaxConcurrent:    a.MaxConcurrent,
		MaxConnections:   a.MaxConnections,
		HeaderTimeout:    a.HeaderTimeout,
		BodyTimeout:      a.BodyTimeout,
		WriteTimeout:     a.WriteTimeout,
		DefaultDeadline:  a.DefaultDeadline,
		MaxDeadline:      a.MaxDeadline,
		MaxAttempts:      a.MaxAttempts,
		RetryShare:       a.RetryShare,
		ReadyMargin:      a.StaleSetLimit / 2,
		Operators:        &a.operators,
		DrainNotice:      a.DrainNotice,
		DrainLimit:       a.DrainLimit,
	}
}
