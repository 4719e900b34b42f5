package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"golang.org/x/sync/errgroup"
)

// measuredCase is one value of {case} and the column in which its differences count.
type measuredCase struct{ column, text string }

func parseCases(texts []string) ([]measuredCase, error) {
	var cases []measuredCase
	for _, text := range texts {
		column, value, ok := strings.Cut(text, "=")
		if !ok {
			return nil, fmt.Errorf("case %q: want COLUMN=TEXT", text)
		}
		cases = append(cases, measuredCase{column, value})
	}
	return cases, nil
}

// measurement runs the command in the copies.
type measurement struct {
	args    arguments
	cases   []measuredCase
	figure  *regexp.Regexp
	results *results
}

func newMeasurement(args arguments, cases []measuredCase, r *results) (*measurement, error) {
	figure, err := regexp.Compile(args.Figure)
	if err != nil {
		return nil, err
	}
	if figure.NumSubexp() < 1 {
		return nil, fmt.Errorf("pattern %q has no group for the figure", args.Figure)
	}
	return &measurement{args: args, cases: cases, figure: figure, results: r}, nil
}

// measure runs all cases of all mechanisms and of the unchanged source.
func (m *measurement) measure(mechanisms []mechanism) error {
	group, ctx := errgroup.WithContext(context.Background())
	group.SetLimit(max(1, m.args.Parallel))
	for _, mechanism := range append([]mechanism{{name: unchanged}}, mechanisms...) {
		group.Go(func() error { return m.measureOne(ctx, mechanism) })
	}
	return group.Wait()
}

// measureOne runs all cases of one mechanism until another one fails.
func (m *measurement) measureOne(ctx context.Context, mech mechanism) error {
	directory := copyPath(m.args.Copies, mech.name)
	copied := false
	for _, c := range m.cases {
		for _, seed := range seedsOf(m.args.Seeds) {
			key := resultKey{mech.name, c, seed}
			if _, known := m.results.find(key); known {
				continue
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if !copied {
				if err := makeCopy(directory, mech); err != nil {
					return err
				}
				copied = true
			}
			figure, err := m.runOnce(directory, key)
			if err != nil {
				return err
			}
			if err := m.results.add(key, figure); err != nil {
				return err
			}
		}
	}
	if !copied {
		return nil
	}
	if m.args.Keep != "" {
		if err := collectNew(filepath.Join(directory, m.args.Keep), m.args.Keep); err != nil {
			return err
		}
	}
	return os.RemoveAll(directory)
}

// runOnce runs the command for one case and returns the figure.
func (m *measurement) runOnce(directory string, key resultKey) (float64, error) {
	command := strings.NewReplacer("{case}", key.measuredCase.text, "{seed}", key.seed, "{mechanism}", key.mechanism).Replace(m.args.Command)
	cmd := exec.Command("bash", "-c", command)
	cmd.Dir = directory
	// A command may fail because its figure is bad; without a figure it failed.
	output, failed := cmd.CombinedOutput()
	matches := m.figure.FindAllStringSubmatch(string(output), -1)
	if len(matches) == 0 {
		return 0, &commandError{command, failed, string(output)}
	}
	return strconv.ParseFloat(matches[len(matches)-1][1], 64)
}
