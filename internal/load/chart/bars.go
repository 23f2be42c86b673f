// Package chart draws the results of trials for the design notes.
package chart

import (
	"image/color"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	width    = 16 * vg.Centimeter
	height   = 9 * vg.Centimeter
	barWidth = 12 * vg.Millimeter / 2
)

// grays holds the colours of the series, which stay distinguishable in print.
var grays = []color.Gray{{Y: 200}, {Y: 150}, {Y: 100}, {Y: 30}}

// Series is a named series with one value per group.
type Series struct {
	Name   string
	Values []float64
}

// Bars writes a grouped bar chart to the file path, whose extension selects the
// format (svg, png, pdf). It accepts at most four series, each with one value per
// group.
func Bars(path, title, unit string, groups []string, series []Series) error {
	if len(series) > len(grays) {
		return trace.BadParameter("chart: %d series; want at most %d", len(series), len(grays))
	}
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	for i, s := range series {
		if len(s.Values) != len(groups) {
			return trace.BadParameter("chart: series %q has %d values for %d groups", s.Name, len(s.Values), len(groups))
		}
		bars, err := plotter.NewBarChart(plotter.Values(s.Values), barWidth)
		if err != nil {
			return trace.Wrap(err)
		}
		bars.Color = grays[i]
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(series)-1)/2)
		p.Add(bars)
		p.Legend.Add(s.Name, bars)
	}
	p.NominalX(groups...)
	return trace.Wrap(p.Save(width, height, path))
}
