package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
)

// resultKey identifies one run.
type resultKey struct {
	mechanism    string
	measuredCase measuredCase
	seed         string
}

// results holds the figures of all runs and appends each new one to a file, so that an interrupted measurement goes on
// where it ended. results.mu is a leaf lock: no other lock is acquired while it is held.
type results struct {
	mu      sync.Mutex
	file    *os.File
	figures map[resultKey]float64
}

// resultFields are mechanism, column, case, seed and figure, separated by tabs.
const resultFields = 5

func openResults(path string) (*results, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	r := &results{file: file, figures: map[resultKey]float64{}}
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		fields := strings.Split(scanner.Text(), "\t")
		if len(fields) != resultFields {
			return nil, fmt.Errorf("%s: want %d fields: %s", path, resultFields, scanner.Text())
		}
		figure, err := strconv.ParseFloat(fields[4], 64)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		r.figures[resultKey{fields[0], measuredCase{fields[1], fields[2]}, fields[3]}] = figure
	}
	return r, scanner.Err()
}

func (r *results) find(key resultKey) (float64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	figure, ok := r.figures[key]
	return figure, ok
}

func (r *results) add(key resultKey, figure float64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.figures[key] = figure
	_, err := fmt.Fprintf(r.file, "%s\t%s\t%s\t%s\t%g\n", key.mechanism, key.measuredCase.column, key.measuredCase.text, key.seed, figure)
	return err
}

func (r *results) close() { _ = r.file.Close() }
