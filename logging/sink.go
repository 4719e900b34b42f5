package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// DefaultQueue is the default number of lines that a Sink queues: about 1 MB, or some seconds of a busy node.
const DefaultQueue = 4096

// Sink writes lines to a writer in a goroutine. Write never blocks: if the queue is full, lines are dropped and
// counted.
type Sink struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	once    sync.Once
	closing chan struct{}
	done    chan struct{}
}

// NewSink returns a Sink with a queue of the given number of lines and starts its goroutine.
func NewSink(out io.Writer, queue int) *Sink {
	s := &Sink{out: out, queue: make(chan []byte, queue), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer. It queues a copy of the line, because the logger reuses the buffer.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case <-s.closing:
		return len(line), nil
	default:
	}
	select {
	case s.queue <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of dropped lines that have not been reported in the log yet.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// closeTimeout limits how long Close waits for the queued lines to be written.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines within closeTimeout. Lines that are written afterwards are lost: a task that outlives the stop of a process, as one
// that waits for its disk, may still log.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.closing) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}

func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.queue:
			if !s.writeOut(line) {
				return
			}
		case <-s.closing:
			s.drain()
			return
		}
	}
}

// drain writes what is still queued.
func (s *Sink) drain() {
	for {
		select {
		case line := <-s.queue:
			if !s.writeOut(line) {
				return
			}
		default:
			return
		}
	}
}

// writeOut writes a line, and how many were dropped before it, and reports whether the writer takes more.
func (s *Sink) writeOut(line []byte) bool {
	if n := s.dropped.Swap(0); n > 0 {
		line = append(line, fmt.Sprintf("level=warn event=\"log lines dropped\" count=%d\n", n)...)
	}
	_, err := s.out.Write(line)
	return err == nil
}

// NewWithSink returns a logger that writes to a sink and adds the role and the process to each line.
func NewWithSink(sink *Sink, role, processID string, level zapcore.Level) *zap.Logger {
	return newLogger(sink, role, processID, level)
}

func newLogger(out zapcore.WriteSyncer, role, processID string, level zapcore.Level) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.MessageKey = "event"
	config.EncodeTime = zapcore.TimeEncoderOfLayout(time.RFC3339Nano)
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), out, level)
	return zap.New(core).With(zap.String("role", role), zap.String("process", processID))
}
