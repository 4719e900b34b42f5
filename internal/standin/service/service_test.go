package service_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/wasabishunt/wasabishunt/internal/standin/service"
)

func call(t *testing.T, ctx context.Context, url, booking string) (int, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/slots", strings.NewReader("body"))
	require.NoError(t, err)
	request.GetBody = nil
	request.Header.Set(service.HeaderBookingID, booking)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}

// Guards against executions that are not counted: a call is counted if a fault comes after its execution, and is not
// counted if the fault comes before.
func TestExecutionsAreCountedWhateverHappensToTheAnswer(t *testing.T) {
	crashes := 0
	s := service.New(func() { crashes++ })
	server := httptest.NewServer(s)
	defer server.Close()
	cases := []struct {
		name   string
		faults service.FaultSettings
		fails  bool
		count  int
	}{
		{"plain", service.FaultSettings{}, false, 1},
		{"close after", service.FaultSettings{CloseAfter: 1}, true, 1},
		{"crash after", service.FaultSettings{CrashAfter: true}, true, 1},
		{"close before", service.FaultSettings{CloseBefore: 1}, true, 0},
		{"refuse", service.FaultSettings{Refuse: true}, false, 0},
	}
	for _, c := range cases {
		s.SetFaults(c.faults)
		_, err := call(t, t.Context(), server.URL, c.name)
		assert.Equal(t, c.fails, err != nil, c.name)
		assert.Equal(t, c.count, s.Executions().ByBooking[c.name], c.name)
	}
	assert.Equal(t, 1, crashes)
	assert.Equal(t, map[string]int{service.BodyHash("POST", "/slots", []byte("body")): 3}, s.Executions().ByBody)
}

// Guards against a delay before the execution: a call that its caller cancels during the delay must have been
// executed.
func TestDelayComesAfterTheExecution(t *testing.T) {
	s := service.New(func() {})
	server := httptest.NewServer(s)
	defer server.Close()
	s.SetFaults(service.FaultSettings{DelayMs: 60_000})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	failed := make(chan error, 1)
	go func() {
		_, err := call(t, ctx, server.URL, "b1")
		failed <- err
	}()
	require.Eventually(t, func() bool { return s.Executions().ByBooking["b1"] == 1 }, 5*time.Second, time.Millisecond)
	cancel()
	require.Error(t, <-failed)
}
