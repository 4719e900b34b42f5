// Package logging creates the loggers of processes, which write one line of key=value pairs per event.
package logging

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes to standard error and adds the role and the process to each line.
func New(role, processID string, level zapcore.Level) *zap.Logger {
	return newLogger(zapcore.Lock(os.Stderr), role, processID, level)
}
