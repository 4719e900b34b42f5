package agent_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/agent"
	"github.com/wasabishunt/wasabishunt/rpc/agentpb"
)

// BenchmarkTokenRelay measures the relay of one token from the engine's stream to the reader of the agent's stream, with
// a fake engine in the same process. It guards against a cost per token that grows with the length of the answer.
func BenchmarkTokenRelay(b *testing.B) {
	for _, count := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("tokens=%d", count), func(b *testing.B) {
			f := startAgent(b, agent.Options{}, agent.Dependencies{})
			tokens := make([]string, count)
			for i := range tokens {
				tokens[i] = "token "
			}
			f.engine.setScript(answer(tokens...))
			_, client := f.dial()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q := request(fmt.Sprint("bench-", i))
				q.MaxTokens = int64(count)
				stream, err := client.Generate(b.Context(), q)
				require.NoError(b, err)
				deltas, last := 0, (*agentpb.End)(nil)
				for last == nil {
					event, err := stream.Recv()
					require.NoError(b, err)
					if event.GetDelta() != nil {
						deltas++
					}
					last = event.GetEnd()
				}
				require.Equal(b, count, deltas)
				require.NoError(b, stream.Close())
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(count), "ns/token")
		})
	}
}
