package metrics

import (
	"fmt"
	"net/http"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/wasabishunt/wasabishunt/failure"
)

const (
	// statusReadTimeout limits reading one status request.
	statusReadTimeout = 5 * time.Second
	// statusWriteTimeout limits writing one status response.
	statusWriteTimeout = 10 * time.Second
	// statusIdleTimeout limits how long an idle connection is kept open.
	statusIdleTimeout = time.Minute
)

// NewStatusServer returns the server of /healthz, /readyz and /metrics at the --status address of a process. ready must
// return nil while the process accepts new requests.
func NewStatusServer(ready func() error, registry gometrics.Registry) *http.Server {
	return &http.Server{
		Handler: StatusHandler(ready, registry), ReadTimeout: statusReadTimeout,
		WriteTimeout: statusWriteTimeout, IdleTimeout: statusIdleTimeout,
	}
}

// StatusHandler serves /healthz, /readyz and /metrics. If ready returns an error, /readyz responds with 503 and the
// kind and message of the failure.
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
