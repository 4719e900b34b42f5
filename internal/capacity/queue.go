package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/wasabishunt/wasabishunt/upstream/engine"
)

// queueSizes are the numbers of requests at an agent; 64 of them run and the others wait.
var queueSizes = []int{100, 400, 1000}

// stuckEngine accepts runs and never answers.
type stuckEngine struct{ engine.Client }

// Generate implements engine.Client.
func (stuckEngine) Generate(ctx context.Context, _ engine.Request) (engine.Stream, error) {
	return stuckStream{ctx}, nil
}

// Weights implements engine.Client.
func (stuckEngine) Weights(context.Context) (engine.Weights, error) {
	return engine.Weights{Loaded: []string{weightVersion}}, nil
}

// CacheEvents implements engine.Client.
func (stuckEngine) CacheEvents(context.Context, uint64) ([]engine.CacheEvent, bool, error) {
	return nil, false, nil
}

// Load implements engine.Client.
func (stuckEngine) Load(context.Context) (engine.Load, error) { return engine.Load{}, nil }

type stuckStream struct{ ctx context.Context }

// Next implements engine.Stream.
func (s stuckStream) Next() (engine.Event, error) {
	<-s.ctx.Done()
	return engine.Event{}, s.ctx.Err()
}

// Close implements engine.Stream.
func (stuckStream) Close() error { return nil }

// measureQueue measures the cost of a waiting request for its agent, including the caller's end of the stream.
func measureQueue(ctx context.Context, o Options) ([]*Table, error) {
	results := &series{}
	for repeat := range o.Repeats {
		if err := runQueue(ctx, o, repeat, results); err != nil {
			return nil, err
		}
		progress("queue: repeat %d", repeat)
	}
	return []*Table{results.table("Requests waiting in an agent, prompt of 500 bytes", "request")}, nil
}

func runQueue(ctx context.Context, o Options, repeat int, results *series) error {
	s := &stack{engine: stuckEngine{}}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return err
	}
	waiting, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer func() {
		stop()
		running.Wait()
	}()
	open := 0
	before := memory()
	for _, size := range queueSizes {
		used := cpu()
		for ; open < size; open++ {
			id := fmt.Sprintf("queued-%d", open)
			running.Go(func() { _, _ = s.callAgent(waiting, id, 100) })
		}
		if err := s.awaitRequests(ctx, size); err != nil {
			return err
		}
		results.add(repeat, "memory, bytes", size, memory()-before)
		results.add(repeat, "CPU to accept all since the previous size, ms", size, 1000*(cpu()-used).Seconds())
		began, used := time.Now(), cpu()
		if err := pause(ctx, o.Rest); err != nil {
			return err
		}
		results.add(repeat, "CPU while waiting, ms per s", size, 1000*(cpu()-used).Seconds()/time.Since(began).Seconds())
	}
	return nil
}

// awaitRequests waits until the agent runs or queues the given number of requests.
func (s *stack) awaitRequests(ctx context.Context, size int) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		load, err := s.agent.Status(ctx, nil)
		if err != nil {
			return err
		}
		accepted := int(load.GetRunning()) + int(load.GetQueuedRequests())
		if accepted >= size {
			return nil
		}
		if time.Now().After(deadline) {
			return measurementError("the agent runs or queues %d of %d requests", accepted, size)
		}
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
}
