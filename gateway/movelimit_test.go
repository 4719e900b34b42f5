package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/wasabishunt/wasabishunt/rpc/nodepb"
	"github.com/wasabishunt/wasabishunt/upstreamlimit"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// nameLimitOfOthers names a limit for all instances but that of the first run, once that has begun.
func (s *system) nameLimitOfOthers(perSecond float64) {
	for end := time.Now().Add(time.Second); len(s.startedRuns()) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	for _, instance := range s.instances() {
		if s.runsAt(instance.ID) == 0 {
			now := time.Now()
			s.gateway.options.Limiter.Named(&instance, perSecond, now, "test", now)
		}
	}
}

// Guards against a move to an instance whose limit leaves no permit, and against one that is not made though there is a permit.
func TestMoveNeedsAPermit(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		granted uint32
		answer  reply
		then    reply
		runs    int
	}{
		"stream without permit":  {"/resume/", 0, pausingStream(minStallTimeout + 200*time.Millisecond), events(2, 2, true), 1},
		"stream with permit":     {"/resume/", 1, pausingStream(minStallTimeout + 200*time.Millisecond), events(2, 2, true), 2},
		"request without permit": {"/safe/", 0, pausedAnswer(minAttemptTimeout + 200*time.Millisecond), good, 1},
		"request with permit":    {"/safe/", 1, pausedAnswer(minAttemptTimeout + 200*time.Millisecond), good, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := firstThen(c.answer, c.then)
			s := newSystem(t, answer, answer)
			s.extendTime()
			s.withRemoteOwner(func(context.Context, *nodepb.PermitRequest) (*nodepb.PermitReply, error) {
				return &nodepb.PermitReply{Granted: c.granted, WaitMs: 1000}, nil
			})
			go s.nameLimitOfOthers(1)
			status, body, err := s.call("POST", c.path, "")
			require.NoError(t, err)
			require.Equal(t, 200, status)
			if c.path == "/resume/" {
				require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n", body)
			}
			require.Len(t, s.startedRuns(), c.runs)
		})
	}
}

// Guards against ending a send whose instance answers while another node is asked for a permit to move it.
func TestSendStaysIfItGoesOnDuringTheQuestion(t *testing.T) {
	const questionTime = 30 * time.Millisecond
	asked := make(chan struct{}, 1)
	answer := func(conn net.Conn, r *http.Request, instance string) bool {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"), instance)
		for i := 1; i <= 3; i++ {
			event := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
			switch i {
			case 1:
				<-asked
			case 2:
				time.Sleep(2 * questionTime)
			}
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	s := newSystem(t, answer, answer)
	s.withRemoteOwner(func(_ context.Context, q *nodepb.PermitRequest) (*nodepb.PermitReply, error) {
		asked <- struct{}{}
		time.Sleep(questionTime)
		return &nodepb.PermitReply{Granted: q.GetWant()}, nil
	})
	go s.nameLimitOfOthers(1)
	status, body, err := s.call("POST", "/resume/", "")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n", body)
	require.Len(t, s.startedRuns(), 1)
}

// withRemoteOwner gives the gateway a limiter for whose instances another node hands out the permits.
func (s *system) withRemoteOwner(ask func(ctx context.Context, q *nodepb.PermitRequest) (*nodepb.PermitReply, error)) {
	const ownAddress = "10.0.0.1:7000"
	l := upstreamlimit.New(upstreamlimit.Options{
		Self: ownAddress, Log: zap.NewNop(), Metrics: gometrics.NewRegistry(),
		Ask: func(ctx context.Context, _ string, q *nodepb.PermitRequest) (*nodepb.PermitReply, error) {
			return ask(ctx, q)
		},
	})
	now := time.Now()
	l.SetNodes(nodesThatOwn(ownAddress, s.instances()), now.Add(-limitSettled))
	l.Confirm(s.gateway.options.Directory.View(), now)
	s.gateway.options.Limiter = l
}

// nodesThatOwn returns a list of nodes with self, which owns none of the instances.
func nodesThatOwn(self string, instances []upstreams.Instance) []string {
	nodes := []string{self}
	for i := range instances {
		for port := 1; ; port++ {
			if first, _ := upstreamlimit.Owners(instances[i].Key().Hash(), nodes); first != self {
				break
			}
			nodes = append(nodes, net.JoinHostPort("10.0.1.1", fmt.Sprint(1000*(i+1)+port)))
		}
	}
	return nodes
}
