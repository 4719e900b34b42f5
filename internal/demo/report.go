package demo

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"github.com/wasabishunt/wasabishunt/internal/fleet"
	"github.com/wasabishunt/wasabishunt/internal/standin/engine"
	"github.com/wasabishunt/wasabishunt/internal/standin/service"
	"github.com/wasabishunt/wasabishunt/internal/workload"
)

// report checks the invariants and prints the tables.
func (d *demo) report(ctx context.Context) error {
	runs, states, err := d.engines(ctx)
	if err != nil {
		return err
	}
	executions, err := d.executions(ctx)
	if err != nil {
		return err
	}
	violations := d.violations(runs, states, executions)
	d.printRanks()
	d.printTokens(runs, states)
	d.printBookings(executions)
	for _, violation := range violations {
		d.logf("VIOLATED %s", violation)
	}
	if len(violations) > 0 {
		return &InvariantError{violations}
	}
	d.logf("all checked invariants held")
	return nil
}

func (d *demo) engines(ctx context.Context) ([]engine.RunRecord, []engine.State, error) {
	var runs []engine.RunRecord
	var states []engine.State
	for i := range d.fleet.Shape.Upstreams {
		name := fmt.Sprintf("engine-%d", i+1)
		var records []engine.RunRecord
		if err := d.fleet.CallStandin(ctx, name, http.MethodGet, "/standin/runs", nil, &records); err != nil {
			return nil, nil, &StepError{"report", name, err}
		}
		var state engine.State
		if err := d.fleet.CallStandin(ctx, name, http.MethodGet, "/standin/state", nil, &state); err != nil {
			return nil, nil, &StepError{"report", name, err}
		}
		runs = append(runs, records...)
		states = append(states, state)
	}
	return runs, states, nil
}

func (d *demo) executions(ctx context.Context) ([]service.Executions, error) {
	var all []service.Executions
	for i := range d.fleet.Shape.Services {
		name := fmt.Sprintf("service-%d", i+1)
		var one service.Executions
		if err := d.fleet.CallStandin(ctx, name, http.MethodGet, "/standin/executions", nil, &one); err != nil {
			return nil, &StepError{"report", name, err}
		}
		all = append(all, one)
	}
	return all, nil
}

func (d *demo) violations(runs []engine.RunRecord, states []engine.State, executions []service.Executions) []workload.Violation {
	var violations []workload.Violation
	complete := 0
	for _, answer := range d.checker.Answers() {
		violations = append(violations, workload.CheckAnswer(answer, fleet.Model+"-v1", fleet.SecondVersion)...)
		violations = append(violations, workload.CheckRefusal(answer, runs)...)
		if answer.Complete {
			complete++
		}
	}
	if complete == 0 {
		violations = append(violations, workload.Violation{Invariant: "service", Detail: "no question was answered"})
	}
	violations = append(violations, workload.CheckBookings(d.checker.Bookings(), executions...)...)
	for _, state := range states {
		if state.CorruptImports > 0 {
			violations = append(violations, workload.Violation{Invariant: "I1 no freed or torn block is read", Detail: fmt.Sprintf("%d corrupt imports", state.CorruptImports)})
		}
	}
	return violations
}

func (d *demo) table() *tabwriter.Writer {
	return tabwriter.NewWriter(d.options.Output, 0, 0, 2, ' ', tabwriter.AlignRight)
}

// printRanks prints the outcomes of questions by rank, most urgent first.
func (d *demo) printRanks() {
	targets := map[string]time.Duration{}
	for _, rank := range d.fleet.ObjectSet().Ranks {
		targets[rank.Name] = rank.FirstTokenTarget()
	}
	byRank := lo.GroupBy(d.checker.Answers(), func(a workload.Answer) string { return a.Question.Rank })
	w := d.table()
	_, _ = fmt.Fprintln(w, "\nrank\trequests\tanswered\ton time\tfirst token p50 ms\tp95 ms\tcached share\tnot run\tbroken\t")
	for _, rank := range []string{fleet.UrgentRank, fleet.DayRank, fleet.NightRank} {
		row := summarize(byRank[rank], targets[rank])
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.1f%%\t%d\t%d\t%.1f%%\t%d\t%d\t\n", rank, row.requests, row.complete,
			percent(row.onTime, row.requests), row.p50.Milliseconds(), row.p95.Milliseconds(),
			percent(row.cached, row.prompt), row.notRun, row.broken)
	}
	_ = w.Flush()
}

// rankRow is one line of the table.
type rankRow struct {
	requests, complete, onTime, notRun, broken int64
	prompt, cached                             int64
	p50, p95                                   time.Duration
}

func summarize(answers []workload.Answer, target time.Duration) rankRow {
	row := rankRow{requests: int64(len(answers))}
	var first []time.Duration
	for _, a := range answers {
		switch {
		case a.Complete:
			row.complete++
			row.prompt += a.PromptTokens
			row.cached += a.CachedTokens
			first = append(first, a.FirstToken)
			if a.FirstToken <= target {
				row.onTime++
			}
		case a.Failure != nil && a.Failure.Execution == "not_run":
			row.notRun++
		default:
			row.broken++
		}
	}
	slices.Sort(first)
	row.p50, row.p95 = quantile(first, 0.5), quantile(first, 0.95)
	return row
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func percent(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}

// printTokens prints the shares of prompt tokens that engines computed and recomputed, and the numbers of pieces that they
// exported to stores and imported from them.
func (d *demo) printTokens(runs []engine.RunRecord, states []engine.State) {
	computed := lo.SumBy(runs, func(r engine.RunRecord) int64 { return r.PromptTokens - r.CachedTokens })
	// Each account has two rulebooks, each of which must be computed once for each of the two weight versions.
	necessary := int64(d.fleet.Shape.Accounts * 2 * 2 * rulebookTokens)
	var imports, exports int64
	for _, state := range states {
		imports += state.Imports
		exports += state.Exports
	}
	total := lo.SumBy(runs, func(r engine.RunRecord) int64 { return r.PromptTokens })
	w := d.table()
	_, _ = fmt.Fprintln(w, "\nprompt tokens\tcomputed\trecomputed at most\tpieces exported to stores\tpieces imported from stores\t")
	_, _ = fmt.Fprintf(w, "%d\t%.1f%%\t%.1f%%\t%d\t%d\t\n", total, percent(computed, total), percent(max(0, computed-necessary), total), exports, imports)
	_ = w.Flush()
}

func (d *demo) printBookings(executions []service.Executions) {
	results := d.checker.Bookings()
	byKey := lo.GroupBy(results, func(r workload.BookingResult) string { return r.Booking.IdempotencyKey })
	answered, unknown := 0, 0
	for _, attempts := range byKey {
		if lo.SomeBy(attempts, func(r workload.BookingResult) bool { return r.Failure == nil }) {
			answered++
		} else {
			unknown++
		}
	}
	doubled := 0
	for _, violation := range workload.CheckBookings(results, executions...) {
		if violation.Invariant == "I6 at most once" {
			doubled++
		}
	}
	lost := lo.CountBy(workload.CheckBookings(results, executions...), func(v workload.Violation) bool { return v.Invariant == "I6 not lost" })
	w := d.table()
	_, _ = fmt.Fprintln(w, "\nbookings\tattempts\tanswered\tin doubt or refused\tdoubled\tlost\t")
	_, _ = fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t\n\n", len(byKey), len(results), answered, unknown, doubled, lost)
	_ = w.Flush()
}
