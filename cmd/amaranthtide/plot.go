package main

import (
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"amaranthtide/standin/caller"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 32 * vg.Centimeter
	plotMargin = 4 * vg.Millimeter
)

// panel is the diagram of one measure over time.
type panel struct {
	title, unit string
	value       func(p benchRow, second int) (float64, bool)
}

func perSecond(value func(caller.SecondStats) (float64, bool)) func(benchRow, int) (float64, bool) {
	return func(p benchRow, i int) (float64, bool) {
		if i >= len(p.seconds) {
			return 0, false
		}
		return value(p.seconds[i])
	}
}

func ratio(part, all int) (float64, bool) { return float64(part) / float64(max(1, all)), all > 0 }

var panels = []panel{
	{"Skew: greatest load over mean in each second", "ratio", func(p benchRow, i int) (float64, bool) {
		if i >= len(p.skew) || p.skew[i] == 0 {
			return 0, false
		}
		return p.skew[i], true
	}},
	{"Cache reuse of returning chats", "share", perSecond(func(s caller.SecondStats) (float64, bool) {
		return ratio(s.ReuseCached, s.ReusePossible)
	})},
	{"Served repeatable requests", "share", perSecond(func(s caller.SecondStats) (float64, bool) {
		return ratio(s.RepeatableAnswered, s.Repeatable)
	})},
	{"First token, p99 of each second", "s", perSecond(func(s caller.SecondStats) (float64, bool) {
		return s.FirstTokenP99.Seconds(), s.FirstTokenP99 > 0
	})},
}

// drawPlot writes a PNG image with one panel per measure and one line per policy.
func drawPlot(w io.Writer, r benchResult) error {
	plots := make([][]*plot.Plot, len(panels))
	for i, panel := range panels {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Label.Text = panel.title, "time (s)", panel.unit
		p.Legend.Top = true
		for j, row := range r.Policies {
			line, err := plotter.NewLine(points(row, panel, time.Duration(r.Duration)))
			if err != nil {
				return err
			}
			line.Color, line.Dashes = plotutil.Color(j), plotutil.Dashes(j)
			p.Add(line)
			p.Legend.Add(row.Policy, line)
		}
		plots[i] = []*plot.Plot{p}
	}
	img := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadTop: plotMargin, PadBottom: plotMargin, PadLeft: plotMargin, PadRight: plotMargin, PadY: plotMargin}
	canvases := plot.Align(plots, tiles, draw.New(img))
	for i := range plots {
		plots[i][0].Draw(canvases[i][0])
	}
	_, err := vgimg.PngCanvas{Canvas: img}.WriteTo(w)
	return err
}

func points(row benchRow, panel panel, duration time.Duration) plotter.XYs {
	var xys plotter.XYs
	for i := range int(duration / time.Second) {
		if v, ok := panel.value(row, i); ok {
			xys = append(xys, plotter.XY{X: float64(i), Y: v})
		}
	}
	if len(xys) == 0 {
		// plotter.NewLine fails without points.
		xys = plotter.XYs{{}}
	}
	return xys
}
