package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a prompt that crashes one instance after the other unnoticed because its answer, without length and chunks,
// looks complete, and against passing on such an answer.
func TestCrashThatEndsAnAnswerWithoutLength(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			s := newCrashSystem(t, 6, nil)
			for _, e := range s.engines {
				e.answer = func(conn net.Conn, r *http.Request, instance string) bool {
					if !strings.Contains(r.Header.Get("Parts"), "unframed") {
						return good(conn, r, instance)
					}
					s.crashes.Add(1)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\n\r\nid: 1\ndata: x\n\n", r.Header.Get("Id"))
					e.crash()
					return false
				}
			}
			ticker := time.NewTicker(nextOccasion)
			defer ticker.Stop()
			for range blockingCrashes {
				status, body, err := s.prompt(path, "a", "unframed")
				if err == nil {
					require.Equal(t, 502, status, body)
				}
				<-ticker.C
			}
			status, _, err := s.prompt(path, "a", "unframed")
			require.NoError(t, err)
			require.Equal(t, 503, status)
			require.EqualValues(t, blockingCrashes, s.crashes.Load())
		})
	}
}
