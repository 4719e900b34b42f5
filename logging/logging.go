// Package logging builds the processes' logger: one line of key=value pairs per event.
package logging

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes to standard error and names the process in each line.
func New(role, processID string, level zapcore.Level) *zap.Logger {
	return newLogger(zapcore.Lock(os.Stderr), role, processID, level)
}
