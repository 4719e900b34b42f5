// Package supervise recovers panics of tasks, so that they do not end the whole process.
//
// A task should be the smallest unit that can fail without affecting others: one message, one call, one round of a
// loop. Locks of state that a task shares must be released by deferred unlocks.
package supervise

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"storj.io/drpc"

	"github.com/wasabishunt/wasabishunt/clock"
	"github.com/wasabishunt/wasabishunt/failure"
)

// restartPause is the time before a task that panicked is run again. It limits the restarts of a task that always panics.
const restartPause = 200 * time.Millisecond

// Call runs f and returns an error of kind failure.Internal if it panicked. The panic is logged with its stack.
func Call(log *zap.Logger, task string, f func()) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = PanicError(log, task, cause)
		}
	}()
	f()
	return nil
}

// PanicError logs a recovered panic and returns it as an error.
func PanicError(log *zap.Logger, task string, cause any) error {
	log.Error("a task panicked", zap.String("task", task), zap.String("cause", fmt.Sprint(cause)), zap.ByteString("stack", debug.Stack()))
	return failure.New(failure.Internal, failure.Unknown, "%s panicked: %v", task, cause)
}

// Loop runs f until it returns or the context ends. If f panics, Loop runs it again after restartPause.
func Loop(ctx context.Context, log *zap.Logger, task string, f func()) {
	for Call(log, task, f) != nil && ctx.Err() == nil {
		clock.Sleep(ctx, restartPause)
	}
}

// Handler returns an error for calls that panic. net/http recovers panics of its handlers; drpc does not.
type Handler struct {
	drpc.Handler
	Log *zap.Logger
}

// HandleRPC implements drpc.Handler.
func (h Handler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	panicked := Call(h.Log, rpc, func() { err = h.Handler.HandleRPC(stream, rpc) })
	if panicked != nil {
		return panicked
	}
	return err
}

// HTTP logs panics of a handler to the log of the process, because net/http writes them only to its own log.
func HTTP(log *zap.Logger, task string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause != http.ErrAbortHandler {
				_ = PanicError(log, task, cause)
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}
