// Package capacity measures the use of processor time, memory and bytes of the real packages on one machine, for each
// watcher, object, booking, request and token. Each measurement runs at several sizes and reports the slope, so that
// other sizes can be calculated. Processor time is that of the whole process, including both ends of each connection,
// unless a table says otherwise.
package capacity

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/wasabishunt/wasabishunt/failure"
)

// Options are the sizes of the measurements.
type Options struct {
	// Watchers are the numbers of watching processes.
	Watchers []int
	// Accounts are the numbers of client accounts in the set.
	Accounts []int
	// Upstreams are the numbers of upstreams in the set.
	Upstreams []int
	// Repeats is the number of repeats of each measurement; the spread over them is the error.
	Repeats int
	// Rest is the time for which idle processes are observed.
	Rest time.Duration
	// Dir holds the data directories of control members.
	Dir string
}

// Table is one result in markdown.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
}

// add appends a row of formatted cells.
func (t *Table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.Rows = append(t.Rows, row)
}

// Write prints the table.
func (t *Table) Write(w io.Writer) error {
	lines := []string{"### " + t.Title, "", markdownRow(t.Columns), "|" + strings.Repeat(" --- |", len(t.Columns))}
	for _, row := range t.Rows {
		lines = append(lines, markdownRow(row))
	}
	_, err := fmt.Fprintln(w, strings.Join(lines, "\n")+"\n")
	return err
}

func markdownRow(cells []string) string { return "| " + strings.Join(cells, " | ") + " |" }

// Measurement prepares and runs one measurement and cleans up.
type Measurement func(context.Context, Options) ([]*Table, error)

// Measurements returns all measurements by name.
func Measurements() map[string]Measurement {
	return map[string]Measurement{
		"control":  measureControl,
		"returns":  measureReturns,
		"bookings": measureBookings,
		"idle":     measureIdle,
		"state":    measureState,
		"sets":     measureSets,
		"relay":    measureRelay,
		"queue":    measureQueue,
	}
}

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory returns the live heap and the stacks in bytes.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// point is one measured value at one size.
type point struct{ size, value float64 }

// slope is the least-squares growth per unit of size; base is the value at size 0.
func slope(points []point) (growth, base float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range points {
		n++
		sx += p.size
		sy += p.value
		sxx += p.size * p.size
		sxy += p.size * p.value
	}
	growth = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return growth, (sy - growth*sx) / n
}

// spread formats the median and the range of repeated values.
func spread(values []float64) string {
	sorted := slices.Sorted(slices.Values(values))
	low, high := sorted[0], sorted[len(sorted)-1]
	return fmt.Sprintf("%.4g (%.4g to %.4g)", sorted[len(sorted)/2], low, high)
}

// series collects points of several repeats by name.
type series struct {
	names  []string
	points map[string][][]point
}

func (s *series) add(repeat int, name string, size int, value float64) {
	if s.points == nil {
		s.points = map[string][][]point{}
	}
	if s.points[name] == nil {
		s.names = append(s.names, name)
	}
	for len(s.points[name]) <= repeat {
		s.points[name] = append(s.points[name], nil)
	}
	s.points[name][repeat] = append(s.points[name][repeat], point{float64(size), value})
}

// table prints each value by size, and the slope and base over the repeats.
func (s *series) table(title, unit string) *Table {
	t := &Table{Title: title, Columns: []string{"value", unit + ": median over repeats", "slope per " + unit + " (range)", "base (range)"}}
	for _, name := range s.names {
		var growths, bases []float64
		bySize := map[float64][]float64{}
		for _, points := range s.points[name] {
			growth, base := slope(points)
			growths, bases = append(growths, growth), append(bases, base)
			for _, p := range points {
				bySize[p.size] = append(bySize[p.size], p.value)
			}
		}
		t.add(name, formatMedians(bySize), spread(growths), spread(bases))
	}
	return t
}

func formatMedians(bySize map[float64][]float64) string {
	var order []float64
	for size := range bySize {
		order = append(order, size)
	}
	slices.Sort(order)
	var cells []string
	for _, size := range order {
		values := slices.Sorted(slices.Values(bySize[size]))
		cells = append(cells, fmt.Sprintf("%g: %.4g", size, values[len(values)/2]))
	}
	return strings.Join(cells, "; ")
}

// progress reports on standard error what has been measured, because a run takes minutes.
func progress(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
}

// plural formats a count with its noun.
func plural(count int, thing string) string {
	if count == 1 {
		return "1 " + thing
	}
	return fmt.Sprintf("%d %ss", count, thing)
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// measurementError returns the error of a measurement that did not run as intended.
func measurementError(format string, args ...any) error {
	return failure.New(failure.Internal, failure.Unknown, format, args...)
}
