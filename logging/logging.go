// Package logging builds the processes' logger: one line of key=value pairs per event.
package logging

import (
	"os"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes to standard error and names the process in each line.
func New(role, processID string, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.MessageKey = "event"
	config.EncodeTime = zapcore.TimeEncoderOfLayout(time.RFC3339Nano)
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), zapcore.Lock(os.Stderr), level)
	return zap.New(core).With(zap.String("role", role), zap.String("process", processID))
}
