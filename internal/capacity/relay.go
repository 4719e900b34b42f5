package capacity

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wasabishunt/wasabishunt/failure"
)

const (
	// relayCallers is the number of requests in flight.
	relayCallers = 16
	// relayRequests is the number of requests at each answer length.
	relayRequests = 320
	// firstTokenRequests is the number of requests whose first token is timed, one request at a time.
	firstTokenRequests = 200
)

// promptText is a short prompt, so that the engine needs little time.
var promptText = strings.Repeat("word ", 100)

// relayTokens are the lengths of answers in tokens.
var relayTokens = []int64{10, 50, 200}

// measureRelay measures processor time per request and token on each part of the path, and the added time to the
// first token. Callers, engine, agent and entry share this process, so the cost of a part is the difference between paths.
func measureRelay(ctx context.Context, o Options) ([]*Table, error) {
	s := &stack{}
	defer s.close()
	s.startEngine()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	paths := []struct {
		name string
		call callFunc
	}{{"engine alone", s.callEngine}, {"through agent", s.callAgent}, {"through entry and agent", s.callEntry}}
	costs, latency := &series{}, &Table{
		Title:   "Time to first token, one request at a time, ms",
		Columns: []string{"path", "median over requests: median over repeats (range)", "95th percentile: median over repeats (range)"},
	}
	for _, path := range paths {
		var medians, tails []float64
		for repeat := range o.Repeats {
			for _, tokens := range relayTokens {
				used, began := cpu(), time.Now()
				if err := callMany(ctx, path.call, tokens); err != nil {
					return nil, failure.Wrap(err, failure.Internal, failure.Unknown, "%s", path.name)
				}
				costs.add(repeat, path.name+": CPU per request, us", int(tokens), 1e6*(cpu()-used).Seconds()/relayRequests)
				costs.add(repeat, path.name+": requests/s", int(tokens), relayRequests/time.Since(began).Seconds())
			}
			median, tail, err := firstTokenTimes(ctx, path.call)
			if err != nil {
				return nil, failure.Wrap(err, failure.Internal, failure.Unknown, "%s", path.name)
			}
			medians, tails = append(medians, median), append(tails, tail)
		}
		latency.add(path.name, spread(medians), spread(tails))
		progress("relay: %s", path.name)
	}
	return []*Table{costs.table("Streamed answers, 16 requests in flight", "token"), latency}, nil
}

func callMany(ctx context.Context, call callFunc, tokens int64) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(relayCallers)
	for i := range relayRequests {
		group.Go(func() error {
			_, err := call(ctx, fmt.Sprintf("many-%d-%d", i, time.Now().UnixNano()), tokens)
			return err
		})
	}
	return group.Wait()
}

func firstTokenTimes(ctx context.Context, call callFunc) (median, tail float64, err error) {
	var times []float64
	for i := range firstTokenRequests {
		first, err := call(ctx, fmt.Sprintf("first-%d-%d", i, time.Now().UnixNano()), 2)
		if err != nil {
			return 0, 0, err
		}
		times = append(times, 1000*first.Seconds())
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*95/100], nil
}
