package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/upstreamconn"
)

// Guards against ending a silent send for an instance that ceased to take requests while the connection to it was opened.
func TestSilentSendStaysIfTheOtherInstanceWithdrawsMeanwhile(t *testing.T) {
	for name, withdraw := range map[string]func(s *system, i int){
		"leaves": func(s *system, i int) {
			other := s.instances()[i]
			s.gateway.options.Directory.MarkLeaving(time.Now(), other.Key())
		},
		"pauses": func(s *system, i int) {
			other := s.instances()[i]
			s.gateway.options.Tracker.Pause(&other, time.Hour, time.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := pausingStream(minStallTimeout + 200*time.Millisecond)
			s := newSystem(t, answer, answer)
			s.extendTime()
			s.gateway.options.Pool = upstreamconn.NewPool(upstreamconn.Options{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				if len(s.startedRuns()) > 0 {
					for i, instance := range s.instances() {
						if instance.Address == address {
							withdraw(s, i)
						}
					}
				}
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}})
			status, body, err := s.call("POST", "/resume/", "")
			require.NoError(t, err)
			require.Equal(t, 200, status)
			require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", body)
			require.Len(t, s.startedRuns(), 1)
		})
	}
}
