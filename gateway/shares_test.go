package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wasabishunt/wasabishunt/placement"
	"github.com/wasabishunt/wasabishunt/serving/fairshare"
	"github.com/wasabishunt/wasabishunt/trafficset"
)

// newShortSystem returns a system whose only engine has 100 ms of work before a prompt, and a ledger in which the account alpha is far
// above its share.
func newShortSystem(t *testing.T) (*system, *fairshare.Ledger, *observer.ObservedLogs) {
	s := newSystem(t, good)
	core, logs := observer.New(zap.InfoLevel)
	s.gateway.options.Dialect, s.gateway.options.Log = saltDialect{}, zap.New(core)
	publishTenants(s, 2, false, "ka")
	instance := s.gateway.options.Directory.View().OfService("s")[0]
	s.gateway.options.Tracker.Begin(instance, placement.Work{PrefillTokens: 5000, Urgency: placement.Urgency{PromptTokens: 700}})
	ledger, now := fairshare.New(), time.Now()
	alpha, beta := fairshare.NewKey("s", "alpha"), fairshare.NewKey("s", "beta")
	for range 20 {
		ledger.Admitted(alpha, time.Second, now)
		ledger.Admitted(beta, 500*time.Millisecond, now)
		ledger.Refused(alpha, now)
		ledger.Refused(beta, now)
	}
	return s, ledger, logs
}

func (s *system) callAs(t *testing.T, key string) *http.Response {
	response, err := s.front.Client().Do(s.request(http.MethodPost, "/safe/x", "", func(r *http.Request) { r.Header.Set("Key", key) }))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response
}

// Guards against an account that floods a service and takes it from the others, against a refusal whose line does not tell the shares,
// and against advice to return before there is room for the account.
func TestAccountAboveItsShareIsRefusedFirst(t *testing.T) {
	s, ledger, logs := newShortSystem(t)
	s.gateway.options.Shares = ledger
	require.Equal(t, http.StatusOK, s.callAs(t, "kb").StatusCode)
	refused := s.callAs(t, "ka")
	require.Equal(t, http.StatusTooManyRequests, refused.StatusCode)
	retryAfter, err := strconv.ParseFloat(refused.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.InDelta(t, 0.45, retryAfter, 0.02, "three tenths of the caller's time")
	lines := logs.FilterMessage("account is above its share").All()
	require.Len(t, lines, 1)
	fields := lines[0].ContextMap()
	require.Equal(t, "alpha", fields["account"])
	require.Greater(t, fields["work"], fields["equal_share"])
	require.Len(t, logs.FilterMessage("service is short of capacity").All(), 1)
	require.EqualValues(t, 1, gometrics.GetOrRegisterCounter("gateway.above_share", s.gateway.options.Metrics).Count())
}

// Guards against shares in deployments that don't require them.
func TestWithoutTheSwitchNoAccountIsLimited(t *testing.T) {
	s, _, logs := newShortSystem(t)
	require.Equal(t, http.StatusOK, s.callAs(t, "kb").StatusCode)
	require.Equal(t, http.StatusOK, s.callAs(t, "ka").StatusCode)
	require.Empty(t, logs.FilterMessage("account is above its share").All())
	require.Empty(t, logs.FilterMessage("service is short of capacity").All())
}

// Guards against shares that leave out the time in which a running request holds memory.
func TestRunningRequestIsCharged(t *testing.T) {
	s, ledger, _ := newShortSystem(t)
	s.gateway.options.Shares = ledger
	key := fairshare.NewKey("s", "alpha")
	before := ledger.Decide(key, 0, time.Second, time.Now()).Work
	began := time.Now().Add(-time.Second)
	c := &call{gateway: s.gateway, sends: 1, charge: shareCharge{key: key, read: 10 * time.Millisecond, memory: 0.5, at: began}}
	c.settleShare(began.Add(time.Second))
	require.InDelta(t, 0.49, (ledger.Decide(key, 0, time.Second, time.Now()).Work - before).Seconds(), 0.2)
}

// Guards against an account that is charged for upstream time that it did not get, and is then limited for it: a request is admitted again for
// each instance that has no permit or can't be reached, and may end without a send.
func TestRequestIsChargedOnceAndOnlyIfSent(t *testing.T) {
	s, ledger, _ := newShortSystem(t)
	s.gateway.options.Shares = ledger
	account := &trafficset.Account{Name: "alpha"}
	key := fairshare.NewKey("s", "alpha")
	work := func() float64 { return ledger.Decide(key, 0, time.Second, time.Now()).Work.Seconds() }
	chosen := &choice{forecast: placement.Forecast{Read: 10 * time.Second}}
	admitted := func() *call {
		c := &call{gateway: s.gateway, account: account, service: &trafficset.Service{Name: "s"}}
		for range 3 {
			c.recordAdmitted(chosen)
		}
		return c
	}
	before := work()
	unsent := admitted()
	require.InDelta(t, 10, work()-before, 1, "charged once")
	unsent.settleShare(time.Now())
	require.InDelta(t, before, work(), 1, "not sent")
	admitted().recordRefused()
	require.InDelta(t, before, work(), 1, "refused before its first send")
	sent := admitted()
	sent.sends = 1
	sent.settleShare(time.Now())
	require.InDelta(t, 10, work()-before, 1, "sent")
}
