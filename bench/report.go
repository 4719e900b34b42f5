package bench

import (
	"fmt"
	"io"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Write writes the results as markdown tables.
func (s *Suite) Write(w io.Writer) error {
	for _, d := range s.Deployments {
		if err := s.writeDeployment(w, d); err != nil {
			return err
		}
	}
	return nil
}

const caseHeader = `| policy | worth on time | urgent | day | night | first token p50/p95/p99 ms | urgent p99 ms | gap p50/p95/p99 ms | recomputed | computed | link | service urgent/day/night | others keep | small callers | large callers |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
`

func (s *Suite) writeDeployment(w io.Writer, d *Deployment) error {
	if _, err := fmt.Fprintf(w, "## Deployment %s\n", d.Name); err != nil {
		return err
	}
	for _, c := range s.Cases {
		if _, err := fmt.Fprintf(w, "\n### %s: %s\n\n%s", d.Name, c.Name, caseHeader); err != nil {
			return err
		}
		for _, p := range s.Baselines {
			if _, err := io.WriteString(w, s.result(d, c, p).row()); err != nil {
				return err
			}
		}
	}
	return s.writeAblations(w, d)
}

func (r *Result) row() string {
	total := r.Total()
	return fmt.Sprintf("| %s | %.1f | %.1f | %.1f | %.1f | %s | %d | %s | %.1f | %.1f | %.0f | %.0f/%.0f/%.0f | %.1f | %.1f | %.1f |\n",
		r.Policy, percent(total.OnTimeWorth()), percent(r.ByRank["urgent"].OnTimeShare()), percent(r.ByRank["day"].OnTimeShare()),
		percent(r.ByRank["night"].OnTimeShare()), quantiles(r.First), milliseconds(r.Urgent, 99), quantiles(r.Gaps), percent(r.Recomputed()),
		percent(r.Computed()), percent(r.LinkUse()), percent(r.RankShare("urgent")), percent(r.RankShare("day")),
		percent(r.RankShare("night")), percent(r.Others.OnTimeWorth()), percent(r.Small.OnTimeShare()), percent(r.Large.OnTimeShare()))
}

func percent(share float64) float64 { return 100 * share }

func milliseconds(h *hdrhistogram.Histogram, quantile float64) int64 {
	return h.ValueAtQuantile(quantile) / 1000
}

func quantiles(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("%d/%d/%d", milliseconds(h, 50), milliseconds(h, 95), milliseconds(h, 99))
}

// writeAblations writes the effect of each mechanism: the change when it is switched off, in percentage points.
func (s *Suite) writeAblations(w io.Writer, d *Deployment) error {
	header, line := "| mechanism off |", "| --- |"
	for _, c := range s.Cases {
		header += " " + c.Name + " |"
		line += " --- |"
	}
	if _, err := fmt.Fprintf(w, "\n### %s: one mechanism off\n\n%s\n%s\n", d.Name, header, line); err != nil {
		return err
	}
	for _, p := range s.Ablations {
		row := "| " + p.Name + " |"
		for _, c := range s.Cases {
			row += " " + formatChange(s.result(d, c, s.Baselines[0]), s.result(d, c, p)) + " |"
		}
		if _, err := fmt.Fprintln(w, row); err != nil {
			return err
		}
	}
	return nil
}

// formatChange formats the difference in worth on time, small callers on time and tokens recomputed, in percentage points,
// and in the 95th percentile of the time to first token of urgent and day work, in milliseconds.
func formatChange(with, without *Result) string {
	a, b := with.Total(), without.Total()
	return fmt.Sprintf("%+.1f/%+.1f/%+.1f/%+d", percent(b.OnTimeWorth()-a.OnTimeWorth()),
		percent(without.Small.OnTimeShare()-with.Small.OnTimeShare()), percent(without.Recomputed()-with.Recomputed()),
		milliseconds(without.First, 95)-milliseconds(with.First, 95))
}
