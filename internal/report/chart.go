// Package report draws what was measured.
package report

import (
	"fmt"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Series is one curve.
type Series struct {
	Name   string
	Points [][2]float64
	Low    []float64 // of an interval round each point, with High; nil is none
	High   []float64
}

// Chart is curves over a common axis, with a stretch of it shaded.
type Chart struct {
	Title, XLabel, YLabel string
	Series                []Series
	From, To              float64 // shaded, where From is under To
	Shades                [][2]float64
	Threshold             float64 // renderedSection across, where it is not 0
}

// errorBarSeries is a line with how far each point may be off.
type errorBarSeries struct {
	plotter.XYs
	line Series
}

// YError implements plotter.YErrorer.
func (i errorBarSeries) YError(n int) (low, high float64) {
	y := i.line.Points[n][1]
	return y - i.line.Low[n], i.line.High[n] - y
}

// palette is told apart by people who see colours differently (Okabe and Ito, 2008).
var palette = [...]color.RGBA{{0, 114, 178, 255}, {213, 94, 0, 255}, {0, 158, 115, 255}, {204, 121, 167, 255}, {230, 159, 0, 255}, {86, 180, 233, 255}}

// SVG draws the chart.
func (c Chart) SVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, c.XLabel, c.YLabel
	p.Legend.Top, p.Legend.Padding, p.Legend.ThumbnailWidth = true, vg.Points(4), vg.Points(14)
	most := 0.0
	for _, l := range c.Series {
		for _, at := range l.Points {
			most = max(most, at[1])
		}
	}
	shades := c.Shades
	if c.From < c.To {
		shades = append([][2]float64{{c.From, c.To}}, shades...)
	}
	for _, s := range shades {
		shade, err := plotter.NewPolygon(plotter.XYs{{X: s[0]}, {X: s[0], Y: most * 1.05}, {X: s[1], Y: most * 1.05}, {X: s[1]}})
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		shade.Color, shade.LineStyle.Width = color.RGBA{235, 235, 235, 255}, 0
		p.Add(shade)
	}
	for i, l := range c.Series {
		xys := make(plotter.XYs, len(l.Points))
		for n, at := range l.Points {
			xys[n].X, xys[n].Y = at[0], at[1]
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return fmt.Errorf("report: %s: %w", l.Name, err)
		}
		line.Color, line.Width = palette[i%len(palette)], vg.Points(1.5)
		if l.Low != nil {
			bars, err := plotter.NewYErrorBars(errorBarSeries{xys, l})
			if err != nil {
				return fmt.Errorf("report: %s: %w", l.Name, err)
			}
			bars.Color = line.Color
			p.Add(bars)
		}
		p.Add(line)
		p.Legend.Add(l.Name, line)
	}
	if c.Threshold != 0 {
		limit := plotter.NewFunction(func(float64) float64 { return c.Threshold })
		limit.Dashes, limit.Color = []vg.Length{vg.Points(3), vg.Points(3)}, color.Gray{Y: 90}
		p.Add(limit)
	}
	p.Y.Min = 0
	canvas := vgsvg.New(16*vg.Centimeter, 9*vg.Centimeter)
	p.Draw(draw.New(canvas))
	if _, err := canvas.WriteTo(w); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
