package main

import (
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth = 24 * vg.Centimeter
	rowHeight = 0.9 * vg.Centimeter
	plotFrame = 4 * vg.Centimeter
	// columnSpread is the part of a row over which the columns' points are spread.
	columnSpread = 0.6
)

// points are the differences of one column with their standard errors.
type points struct {
	plotter.XYs
	plotter.XErrors
}

// plot writes an SVG file with one row per mechanism and one point with its standard error per column.
func (s *summary) plot(path string) error {
	p := plot.New()
	p.X.Label.Text = "what the mechanism adds"
	p.Add(plotter.NewGrid())
	rows := slices.Clone(s.rows)
	slices.Reverse(rows)
	p.NominalY(rows...)
	for i, column := range s.columns {
		var series points
		offset := columnSpread * (float64(i)/float64(max(1, len(s.columns)-1)) - 0.5)
		for row, name := range rows {
			if d, ok := s.cells[name][column]; ok {
				series.XYs = append(series.XYs, plotter.XY{X: d.mean, Y: float64(row) - offset})
				series.XErrors = append(series.XErrors, struct{ Low, High float64 }{-d.stderr, d.stderr})
			}
		}
		if len(series.XYs) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(series)
		if err != nil {
			return err
		}
		bars, err := plotter.NewXErrorBars(series)
		if err != nil {
			return err
		}
		scatter.Color, scatter.Shape, bars.Color = plotutil.Color(i), plotutil.Shape(i), plotutil.Color(i)
		p.Add(scatter, bars)
		p.Legend.Add(column, scatter)
	}
	p.Legend.Top = true
	return p.Save(plotWidth, plotFrame+rowHeight*vg.Length(len(rows)), path)
}
