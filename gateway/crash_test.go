package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/failure"
	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/quarantine"
	"github.com/wasabishunt/wasabishunt/upstreams"
)

// promptDialect also passes on the parts of a prompt.
type promptDialect struct{ testDialect }

func (d promptDialect) Attributes(r *http.Request) (Attributes, error) {
	a, err := d.testDialect.Attributes(r)
	if list := r.Header.Get("Parts"); list != "" {
		a.Generation = &Generation{Model: "m"}
		for _, id := range strings.Split(list, ",") {
			a.Generation.Parts = append(a.Generation.Parts, placement.Part{ID: id, Tokens: 1})
		}
	}
	return a, err
}

func (d promptDialect) Request(in http.Header, out Outbound) http.Header {
	h := d.testDialect.Request(in, out)
	h["Parts"] = in["Parts"]
	return h
}

const (
	deadlyPart = "deadly"
	// blockingCrashes is the number of crashes after which package quarantine blocks a part.
	blockingCrashes = 3
	// nextOccasion is longer than the time within which several crashes count as one.
	nextOccasion = 500 * time.Millisecond
)

// crashingEngine is a test upstream that crashes when it begins to answer a prompt with the deadly part: its connections end
// and its port is closed.
type crashingEngine struct {
	t       *testing.T
	id      string
	address string
	answer  reply
	// crashes counts the prompts with the deadly part that reached any engine.
	crashes *atomic.Int32
	// keepsListening is set if only the connection of the prompt with the deadly part breaks.
	keepsListening bool

	mu       sync.Mutex
	listener net.Listener
	conns    []net.Conn
}

// start listens, at the address of before if there is one.
func (e *crashingEngine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := "127.0.0.1:0"
	if e.address != "" {
		address = e.address
	}
	var err error
	e.listener, err = net.Listen("tcp", address)
	require.NoError(e.t, err)
	e.address = e.listener.Addr().String()
	go e.accept(e.listener)
}

func (e *crashingEngine) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns = append(e.conns, conn)
		e.mu.Unlock()
		go e.serve(conn)
	}
}

func (e *crashingEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if strings.Contains(r.Header.Get("Parts"), deadlyPart) {
			e.crashes.Add(1)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
			if !e.keepsListening {
				e.crash()
			}
			return
		}
		if !e.answer(conn, r, e.id) {
			return
		}
	}
}

// crash closes the port and ends all connections, some with a reset.
func (e *crashingEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.listener.Close()
	for i, conn := range e.conns {
		if i%2 == 1 {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
	e.conns = nil
}

// crashSystem is a gateway in front of engines that crash on the deadly part.
type crashSystem struct {
	*system
	engines []*crashingEngine
	crashes atomic.Int32
	number  int
}

func newCrashSystem(t *testing.T, count int, answer reply) *crashSystem {
	s := &crashSystem{system: newSystem(t)}
	var list []upstreams.Instance
	for i := range count {
		e := &crashingEngine{t: t, id: fmt.Sprint("e", i), answer: answer, crashes: &s.crashes}
		e.start()
		t.Cleanup(e.crash)
		s.engines = append(s.engines, e)
		list = append(list, upstreams.Instance{ID: e.id, Service: "s", Address: e.address, Versions: map[string]uint64{}})
	}
	options := s.gateway.options
	options.Directory.ApplyList(list, time.Now())
	options.Dialect, options.Quarantine = promptDialect{}, quarantine.New("n")
	s.gateway = New(options)
	s.front.Config.Handler = s.gateway
	return s
}

// prompt sends a prompt with the given shared parts and a last part of its own.
func (s *crashSystem) prompt(path string, shared ...string) (int, string, error) {
	s.number++
	parts := strings.Join(append(shared, fmt.Sprint("own", s.number)), ",")
	return s.call("POST", path, "", func(r *http.Request) { r.Header.Set("Parts", parts) })
}

// Guards against prompts with one part crashing one instance after the other, and against refusing sound prompts that share
// the account and all other parts.
func TestPartThatCrashesInstancesIsQuarantined(t *testing.T) {
	s := newCrashSystem(t, 6, good)
	ticker := time.NewTicker(nextOccasion)
	defer ticker.Stop()
	var refusal string
	for range blockingCrashes {
		status, body, err := s.prompt("/once/", "a", deadlyPart, "b")
		require.NoError(t, err)
		require.Equal(t, 502, status)
		require.Contains(t, body, "unknown")
		<-ticker.C
		for _, shared := range [][]string{{"a", "b"}, {"a"}} {
			status, body, err = s.prompt("/once/", shared...)
			require.NoError(t, err)
			require.Equal(t, 200, status, body)
		}
	}
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		status, body, err := s.prompt(path, "a", "c", deadlyPart)
		require.NoError(t, err)
		require.Equal(t, 503, status)
		refusal = body
	}
	require.Contains(t, refusal, `"quarantined"`)
	require.Contains(t, refusal, "not_run")
	require.EqualValues(t, blockingCrashes, s.crashes.Load(), "no further prompt with the part is sent")
	require.EqualValues(t, 4, s.gateway.metrics.quarantined.Count())
	for _, shared := range [][]string{{"a"}, {"a", "b"}, {"a", "c"}} {
		status, body, err := s.prompt("/once/", shared...)
		require.NoError(t, err)
		require.Equal(t, 200, status, body)
	}
}

// Guards against a repeat of a prompt at one instance after the other, and against a promise that such a prompt did not run.
func TestQuarantinedPromptIsNotRepeated(t *testing.T) {
	s := newCrashSystem(t, 6, good)
	ticker := time.NewTicker(nextOccasion)
	defer ticker.Stop()
	for range blockingCrashes - 1 {
		status, _, err := s.prompt("/once/", deadlyPart)
		require.NoError(t, err)
		require.Equal(t, 502, status)
		<-ticker.C
	}
	status, body, err := s.prompt("/safe/", deadlyPart)
	require.NoError(t, err)
	require.Equal(t, 502, status)
	require.Contains(t, body, "quarantined")
	require.Contains(t, body, "unknown")
	require.EqualValues(t, blockingCrashes, s.crashes.Load())
}

// Guards against blaming a part for connections that break at a sound instance.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	s := newCrashSystem(t, 3, good)
	for _, e := range s.engines {
		e.keepsListening = true
	}
	ticker := time.NewTicker(nextOccasion)
	defer ticker.Stop()
	for range 3 {
		status, _, err := s.prompt("/once/", deadlyPart)
		require.NoError(t, err)
		require.Equal(t, 502, status)
		<-ticker.C
	}
	require.EqualValues(t, 3, s.crashes.Load())
	require.Zero(t, s.gateway.metrics.crashes.Count())
}

// Guards against blaming prompts whose answers had begun long before the crash, and those at an instance that ends as planned.
func TestCrashDoesNotBlamePromptsWithAnswers(t *testing.T) {
	hold := make(chan struct{})
	s := newCrashSystem(t, 1, func(conn net.Conn, r *http.Request, instance string) bool {
		events(1, 1, false)(conn, r, instance)
		<-hold
		return false
	})
	defer close(hold)
	d := s.gateway.crashes
	sound := d.begin(s.gateway.options.Directory.View().OfService("s")[0], "r", quarantine.Keys([]placement.Part{{ID: "a"}, {ID: "own"}}))
	sound.firstEvent = time.Now().Add(-settleTime)
	late := d.begin(sound.instance, "r", quarantine.Keys([]placement.Part{{ID: "b"}, {ID: "own"}}))
	list := s.gateway.options.Quarantine
	d.mu.Lock()
	d.recordCrash(sound.instance, time.Now())
	d.mu.Unlock()
	suspects := list.Suspects(time.Now())
	require.Len(t, suspects, 1)
	require.Equal(t, late.parts[0], suspects[0].GetPart())

	leaving := *sound.instance
	leaving.Draining = true
	s.gateway.options.Directory.ApplyList([]upstreams.Instance{leaving}, time.Now())
	d.begin(&leaving, "r", []uint64{1})
	d.mu.Lock()
	d.recordCrash(&leaving, time.Now())
	d.mu.Unlock()
	require.Len(t, list.Suspects(time.Now()), 1, "an instance that leaves may end as planned")
}

// Guards against sending more prompts to an instance whose crash is known, and against keeping prompts away from it because
// of the failures that its crash caused.
func TestInstanceThatIsBackAfterACrashGetsRequests(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/"} {
		s := newCrashSystem(t, 1, good)
		o := s.gateway.options
		status, _, err := s.prompt(path, deadlyPart)
		require.NoError(t, err)
		require.Equal(t, 502, status)
		crashed := o.Tracker.UnresponsiveInstances(o.Directory.View())
		require.Len(t, crashed, 1)
		o.Tracker.Begin(crashed[0], placement.Work{}).End(placement.Failed, time.Now())
		s.engines[0].start()
		s.gateway.probe(t.Context(), crashed[0])
		candidates := o.Tracker.Candidates(o.Directory.View().OfService("s"), time.Now(), &placement.Request{})
		require.Zero(t, candidates[0].FailureShare)
		status, body, err := s.prompt("/once/", "a")
		require.NoError(t, err)
		require.Equal(t, 200, status, body)
	}
}

// Guards against taking an answer without length for a proof that a prompt is sound although its instance crashed meanwhile,
// and against never counting such an answer.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	s := newCrashSystem(t, 1, good)
	d, list := s.gateway.crashes, s.gateway.options.Quarantine
	instance := s.gateway.options.Directory.View().OfService("s")[0]
	parts := []uint64{1}
	for i := range blockingCrashes - 1 {
		list.RecordCrash(fmt.Sprint("other", i), parts, time.Now().Add(-time.Second))
	}
	first := d.begin(instance, "r1", parts)
	first.recordAnswer(true)
	d.mu.Lock()
	d.recordCrash(instance, time.Now())
	d.expire(time.Now().Add(2 * crashPeriod))
	d.mu.Unlock()
	_, allowed := list.Check(parts, time.Now())
	require.False(t, allowed, "crashes, and an answer that the last one cut off")
	second := d.begin(instance, "r2", parts)
	second.recordAnswer(true)
	d.mu.Lock()
	d.expire(time.Now().Add(2 * crashPeriod))
	d.mu.Unlock()
	_, allowed = list.Check(parts, time.Now())
	require.True(t, allowed)
}

// Guards against advice to come back after hours for a part that another node may have cleared long before.
func TestAdviceOnAQuarantinedPromptIsBounded(t *testing.T) {
	list, parts := quarantine.New("n"), quarantine.Keys([]placement.Part{{ID: "deadly"}, {ID: "own"}})
	now := time.Now()
	for i := range 6 {
		list.RecordCrash(fmt.Sprint("i", i), parts, now.Add(time.Duration(i-6)*nextOccasion))
	}
	c := &call{gateway: &Gateway{options: Options{Quarantine: list}, metrics: newMeters(gometrics.NewRegistry())}, parts: parts, attributes: Attributes{Generation: &Generation{}}}
	var refusal *failure.Error
	require.ErrorAs(t, c.checkQuarantine(t.Context()), &refusal)
	require.Equal(t, failure.Quarantined, refusal.Kind)
	require.Equal(t, failure.NotRun, refusal.Execution)
	require.Equal(t, time.Minute, refusal.RetryAfter)
}
