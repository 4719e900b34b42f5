// Command ablation measures what each mechanism of a list is worth: it switches off one mechanism at a time in a copy of
// the source, runs a command there for each case and seed, and compares a figure in its output with that of an unchanged
// copy. The command and the pattern of the figure are arguments; the tool knows nothing of what it runs.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/alexflint/go-arg"

	"github.com/wasabishunt/wasabishunt/internal/sourcepatch"
)

// arguments of the command line.
type arguments struct {
	Lists    []string `arg:"positional,required" help:"lists of mechanisms in the form of docs/ablation"`
	Command  string   `arg:"--command,required" help:"shell command, run in the copy; {case}, {seed} and {mechanism} are replaced"`
	Figure   string   `arg:"--figure,required" help:"regular expression whose first group is the figure in the output; the last match counts"`
	Cases    []string `arg:"--case,separate,required" help:"COLUMN=TEXT: {case} is replaced by TEXT and the difference counts in COLUMN"`
	Seeds    []string `arg:"--seed,separate" help:"values of {seed}; default: the command runs once for each case"`
	Only     []string `arg:"--only,separate" help:"names of the mechanisms to measure; default: all"`
	Copies   string   `arg:"--copies,required" help:"directory for the copies of the source"`
	Keep     string   `arg:"--keep" help:"directory of the copy whose new files are collected, for example a journal"`
	Results  string   `arg:"--results,required" help:"file of results; runs that it already has are not repeated"`
	Table    string   `arg:"--table" help:"file for the table (Markdown)"`
	Plot     string   `arg:"--plot" help:"file for the plot (SVG)"`
	Parallel int      `arg:"--parallel" default:"1" help:"number of mechanisms measured at the same time"`
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	mechanisms, err := readMechanisms(args.Lists, args.Only)
	if err != nil {
		return err
	}
	cases, err := parseCases(args.Cases)
	if err != nil {
		return err
	}
	results, err := openResults(args.Results)
	if err != nil {
		return err
	}
	defer results.close()
	m, err := newMeasurement(args, cases, results)
	if err != nil {
		return err
	}
	if err := m.measure(mechanisms); err != nil {
		return err
	}
	summary := summarize(mechanisms, cases, seedsOf(args.Seeds), results)
	if args.Table != "" {
		if err := os.WriteFile(args.Table, []byte(summary.markdown()), 0o644); err != nil {
			return err
		}
	}
	if args.Plot != "" {
		return summary.plot(args.Plot)
	}
	fmt.Print(summary.markdown())
	return nil
}

// unchanged is the name of the copy that the mechanisms are compared with.
const unchanged = "unchanged"

// mechanism is one entry of a list; the unchanged source has none.
type mechanism struct {
	name  string
	entry sourcepatch.Entry
}

func readMechanisms(lists, only []string) ([]mechanism, error) {
	var mechanisms []mechanism
	for _, list := range lists {
		entries, err := sourcepatch.ReadList(list)
		if err != nil {
			return nil, err
		}
		for _, e := range entries {
			if len(only) == 0 || slices.Contains(only, e.Label) {
				mechanisms = append(mechanisms, mechanism{e.Label, e})
			}
		}
	}
	return mechanisms, nil
}

func seedsOf(seeds []string) []string {
	if len(seeds) == 0 {
		return []string{""}
	}
	return seeds
}

// copyPath returns the directory of a mechanism's copy.
func copyPath(copies, name string) string { return filepath.Join(copies, fileName(name)) }
