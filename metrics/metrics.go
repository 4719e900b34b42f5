// Package metrics exposes a go-metrics registry in the Prometheus text format.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

var nameReplacer = strings.NewReplacer(".", "_", "-", "_", "/", "_")

// Handler serves the metrics of a registry with the prefix wasabishunt_.
func Handler(registry gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		Write(w, registry)
	})
}

// Write writes the metrics of a registry, sorted by name.
func Write(w io.Writer, registry gometrics.Registry) {
	all := map[string]any{}
	registry.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		writeMetric(w, "wasabishunt_"+nameReplacer.Replace(name), all[name])
	}
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case gometrics.Counter:
		_, _ = fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case gometrics.Gauge:
		_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case gometrics.GaugeFloat64:
		_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case gometrics.Meter:
		s := m.Snapshot()
		_, _ = fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, s.Count())
	case gometrics.Histogram:
		s := m.Snapshot()
		writeSummary(w, name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles))
	case gometrics.Timer:
		s := m.Snapshot()
		writeSummary(w, name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles))
	}
}

var quantiles = []float64{0.5, 0.95, 0.99}

func writeSummary(w io.Writer, name string, count int64, sum float64, values []float64) {
	_, _ = fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		_, _ = fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	_, _ = fmt.Fprintf(w, "%s_sum %g\n%s_count %d\n", name, sum, name, count)
}
