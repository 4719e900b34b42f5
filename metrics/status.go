package metrics

import (
	"fmt"
	"net/http"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/wasabishunt/wasabishunt/failure"
)

const (
	// statusReadTimeout limits the arrival of one status request.
	statusReadTimeout = 5 * time.Second
	// statusWriteTimeout limits one status answer.
	statusWriteTimeout = 10 * time.Second
	// statusIdleTimeout closes idle connections of status readers.
	statusIdleTimeout = time.Minute
)

// NewStatusServer returns the server of a process's --status address: /healthz, /readyz and /metrics.
// ready returns nil while the process may be given new work.
func NewStatusServer(ready func() error, registry gometrics.Registry) *http.Server {
	return &http.Server{
		Handler: StatusHandler(ready, registry), ReadTimeout: statusReadTimeout,
		WriteTimeout: statusWriteTimeout, IdleTimeout: statusIdleTimeout,
	}
}

// StatusHandler serves /healthz, /readyz and /metrics. A process that is not ready answers 503 with the failure's
// kind and message.
func StatusHandler(ready func() error, registry gometrics.Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, fmt.Sprintf("%s: %s", failure.Of(err).Kind, failure.Of(err).Message), http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprintln(w, "ready")
	})
	mux.Handle("GET /metrics", Handler(registry))
	return mux
}
