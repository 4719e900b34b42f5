package main

import (
	"fmt"
	"math"
	"strings"

	"github.com/samber/lo"
)

// difference is the mean of paired differences: the figure with the mechanism minus the one without it.
type difference struct {
	mean float64
	// stderr is the standard error of the mean, 0 for a single pair.
	stderr float64
	pairs  int
}

// summary has one row per mechanism and one column per group of cases.
type summary struct {
	rows, columns []string
	// baseline is the mean figure of the unchanged source by column.
	baseline map[string]float64
	cells    map[string]map[string]difference
}

func summarize(mechanisms []mechanism, cases []measuredCase, seeds []string, r *results) *summary {
	s := &summary{
		rows:     lo.Map(mechanisms, func(m mechanism, _ int) string { return m.name }),
		columns:  lo.Uniq(lo.Map(cases, func(c measuredCase, _ int) string { return c.column })),
		baseline: map[string]float64{}, cells: map[string]map[string]difference{},
	}
	for _, column := range s.columns {
		var figures []float64
		differences := map[string][]float64{}
		for _, c := range cases {
			if c.column != column {
				continue
			}
			for _, seed := range seeds {
				with, ok := r.find(resultKey{unchanged, c, seed})
				if !ok {
					continue
				}
				figures = append(figures, with)
				for _, name := range s.rows {
					if without, ok := r.find(resultKey{name, c, seed}); ok {
						differences[name] = append(differences[name], with-without)
					}
				}
			}
		}
		s.baseline[column] = lo.Mean(figures)
		for name, values := range differences {
			if s.cells[name] == nil {
				s.cells[name] = map[string]difference{}
			}
			s.cells[name][column] = meanDifference(values)
		}
	}
	return s
}

func meanDifference(values []float64) difference {
	d := difference{mean: lo.Mean(values), pairs: len(values)}
	if len(values) < 2 {
		return d
	}
	sum := 0.0
	for _, v := range values {
		sum += (v - d.mean) * (v - d.mean)
	}
	n := float64(len(values))
	d.stderr = math.Sqrt(sum / (n - 1) / n)
	return d
}

// markdown returns the table: what each mechanism adds to the figure, with the standard error and the number of pairs.
func (s *summary) markdown() string {
	var b strings.Builder
	b.WriteString("| mechanism | " + strings.Join(s.columns, " | ") + " |\n|" + strings.Repeat(" --- |", len(s.columns)+1) + "\n| unchanged, mean figure |")
	for _, column := range s.columns {
		fmt.Fprintf(&b, " %.3f |", s.baseline[column])
	}
	b.WriteString("\n")
	for _, name := range s.rows {
		fmt.Fprintf(&b, "| %s |", name)
		for _, column := range s.columns {
			d, ok := s.cells[name][column]
			if !ok {
				b.WriteString(" |")
				continue
			}
			fmt.Fprintf(&b, " %+.3f ± %.3f (%d) |", d.mean, d.stderr, d.pairs)
		}
		b.WriteString("\n")
	}
	return b.String()
}
