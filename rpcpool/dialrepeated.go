package rpcpool

import (
	"context"
	"net"
	"time"
)

type dialResult struct {
	conn net.Conn
	err  error
}

// DialRepeated dials again after each interval while no attempt has ended, and returns the result of the first one that ends. TCP repeats the
// first packet of a connection only after 1 s, and a VM that is just starting drops that packet. The context limits all attempts.
func DialRepeated(ctx context.Context, interval time.Duration, dial func(ctx context.Context) (net.Conn, error)) (net.Conn, error) {
	attemptsCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialResult)
	start := func() {
		go func() {
			conn, err := dial(attemptsCtx)
			select {
			case results <- dialResult{conn, err}:
			case <-attemptsCtx.Done():
				if conn != nil {
					_ = conn.Close()
				}
			}
		}()
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	start()
	for {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-ticker.C:
			start()
		}
	}
}
