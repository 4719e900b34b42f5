package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/wasabishunt/wasabishunt/controlclient"
	"github.com/wasabishunt/wasabishunt/entry"
)

// TestGoesOnAfterANewerSet guards against an entry that refuses requests because a newer set has arrived: its confirmation is
// still valid, but not for ReadyMargin, and the set was unconfirmed for a moment because a reply had named the newer version.
func TestGoesOnAfterANewerSet(t *testing.T) {
	c := newCluster(t, entry.Options{ReadyMargin: time.Hour, SetVersionTimeout: 20 * time.Millisecond})
	c.startFakeAgent("u1", completeAnswer)
	status := func(remaining time.Duration) (request, ready int) {
		c.view.Change(func(v *controlclient.View) { v.FreshUntil = time.Now().Add(remaining) })
		response, _ := c.do(http.MethodPost, chatPath, chatBody(false, ""))
		readyz, _ := c.do(http.MethodGet, "/readyz", "")
		return response.StatusCode, readyz.StatusCode
	}
	expect := func(want int, remaining time.Duration, reason string) {
		t.Helper()
		request, ready := status(remaining)
		assert.Equal(t, want, request, reason)
		assert.Equal(t, want, ready, reason)
	}
	observe := func() { c.view.Observe(c.view.Current().Version + 1) }
	arrive := func() { c.view.Change(func(v *controlclient.View) { v.Version++ }) }
	expect(http.StatusOK, 2*time.Hour, "confirmed")
	observe()
	expect(http.StatusServiceUnavailable, 30*time.Minute, "a newer set is missing")
	arrive()
	expect(http.StatusOK, 30*time.Minute, "the newer set has arrived")
	observe()
	expect(http.StatusServiceUnavailable, 0, "a newer set is missing and the confirmation has expired")
	arrive()
	expect(http.StatusServiceUnavailable, 30*time.Minute, "a stale entry needs the margin, also if it was behind when it became stale")
	expect(http.StatusOK, 2*time.Hour, "confirmed again")
}
