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

// Dimensions and shades of gray of a chart. The dimensions of the legend and of lines are in points.
const (
	chartWidth           = 16 * vg.Centimeter
	chartHeight          = 9 * vg.Centimeter
	legendPadding        = 4
	legendThumbnailWidth = 14
	seriesLineWidth      = 1.5
	thresholdDash        = 3
	spanHeightFactor     = 1.05 // height of a shaded span relative to the highest point
	thresholdGray        = 90
	spanShadingGray      = 235
)

// palette has colors that color-blind readers can tell apart (Okabe and Ito, "Color universal design", 2008).
var palette = [...]color.RGBA{
	{0, 114, 178, 255},
	{213, 94, 0, 255},
	{0, 158, 115, 255},
	{204, 121, 167, 255},
	{230, 159, 0, 255},
	{86, 180, 233, 255},
}

// Point is one measured point.
type Point struct{ X, Y float64 }

// Span is an interval on the X axis.
type Span struct{ From, To float64 }

// Series is one curve.
type Series struct {
	Name   string
	Points []Point
	Low    []float64 // lower ends of the points' error bars; nil draws no error bars
	High   []float64 // upper ends; as many as Low
}

// Chart is a line chart of series over a common X axis.
type Chart struct {
	Title     string
	XLabel    string
	YLabel    string
	Series    []Series
	Shaded    []Span  // spans with a gray background, such as incidents
	Threshold float64 // Y of a dashed horizontal line; 0 draws none
}

// SVG writes the chart as an SVG document.
func (c Chart) SVG(out io.Writer) error {
	figure := plot.New()
	figure.Title.Text = c.Title
	figure.X.Label.Text = c.XLabel
	figure.Y.Label.Text = c.YLabel
	figure.Legend.Top = true
	figure.Legend.Padding = vg.Points(legendPadding)
	figure.Legend.ThumbnailWidth = vg.Points(legendThumbnailWidth)
	if err := c.addShading(figure); err != nil {
		return err
	}
	for n, series := range c.Series {
		if err := series.addTo(figure, palette[n%len(palette)]); err != nil {
			return fmt.Errorf("report: %s: %w", series.Name, err)
		}
	}
	if c.Threshold != 0 {
		threshold := plotter.NewFunction(func(float64) float64 { return c.Threshold })
		threshold.Dashes = []vg.Length{vg.Points(thresholdDash), vg.Points(thresholdDash)}
		threshold.Color = color.Gray{Y: thresholdGray}
		figure.Add(threshold)
	}
	figure.Y.Min = 0
	canvas := vgsvg.New(chartWidth, chartHeight)
	figure.Draw(draw.New(canvas))
	if _, err := canvas.WriteTo(out); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

// addShading adds the shaded spans. It must be called before the series are added, so that these are drawn over the spans.
func (c Chart) addShading(figure *plot.Plot) error {
	top := c.maxY() * spanHeightFactor
	for _, span := range c.Shaded {
		corners := plotter.XYs{{X: span.From}, {X: span.From, Y: top}, {X: span.To, Y: top}, {X: span.To}}
		shade, err := plotter.NewPolygon(corners)
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		shade.Color = color.RGBA{spanShadingGray, spanShadingGray, spanShadingGray, 255}
		shade.LineStyle.Width = 0
		figure.Add(shade)
	}
	return nil
}

// maxY returns the largest Y of all points, or 0 if all are negative.
func (c Chart) maxY() float64 {
	highest := 0.0
	for _, series := range c.Series {
		for _, point := range series.Points {
			highest = max(highest, point.Y)
		}
	}
	return highest
}

// addTo adds the curve, its error bars and its legend entry to the plot.
func (s Series) addTo(figure *plot.Plot, lineColor color.Color) error {
	xys := make(plotter.XYs, len(s.Points))
	for n, point := range s.Points {
		xys[n] = plotter.XY(point)
	}
	line, err := plotter.NewLine(xys)
	if err != nil {
		return err
	}
	line.Color = lineColor
	line.Width = vg.Points(seriesLineWidth)
	if s.Low != nil {
		bars, err := plotter.NewYErrorBars(errorBars{xys, s})
		if err != nil {
			return err
		}
		bars.Color = lineColor
		figure.Add(bars)
	}
	figure.Add(line)
	figure.Legend.Add(s.Name, line)
	return nil
}

// errorBars is a series with the ends of its error bars, in the form that plotter.NewYErrorBars requires.
type errorBars struct {
	plotter.XYs
	series Series
}

// YError implements plotter.YErrorer. It returns the lengths of a point's error bar below and above the point.
func (b errorBars) YError(n int) (low, high float64) {
	y := b.series.Points[n].Y
	return y - b.series.Low[n], b.series.High[n] - y
}
