package timeline

import (
	"image/color"
	"strconv"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Layout of the page.
const (
	pageWidth  = 11 * vg.Inch
	pageHeight = 6 * vg.Inch
	// laneHeightShare is the height of a lane of marks as a share of the highest column.
	laneHeightShare = 0.09
	// legendFactor is the height of the plot as a multiple of the highest column. It leaves space
	// for the legend.
	legendFactor = 1.3
	// maxCountTicks is the approximate number of counts at the axis.
	maxCountTicks = 4
)

var (
	endingNames  = [endingCount]string{"served", "late", "rejected, not run", "failed or unknown"}
	endingColors = [endingCount]color.RGBA{
		{R: 0x5a, G: 0x9e, B: 0x6f, A: 0xff},
		{R: 0xe3, G: 0xb5, B: 0x05, A: 0xff},
		{R: 0xd9, G: 0x6b, B: 0x27, A: 0xff},
		{R: 0xa8, G: 0x1e, B: 0x32, A: 0xff},
	}
	markNames = [markCount]string{
		"node started", "node stopping", "node degraded", "store lost", "configuration", "primary replaced",
	}
	markColor = color.RGBA{R: 0x1b, G: 0x3a, B: 0x6b, A: 0xff}
)

// Draw writes the page as a picture. The extension of the path selects the format.
func (t *Timeline) Draw(path string) error {
	p := plot.New()
	p.Title.Text = "Requests by outcome, from " + t.Start.Format("2006-01-02 15:04:05") + " on"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "requests per " + t.Step.String()
	p.Legend.Top = true
	highest := t.highest()
	p.X.Min, p.X.Max = 0, float64(t.columnCount())*t.Step.Seconds()
	p.Y.Min, p.Y.Max = laneHeight(markCount, highest), legendFactor*highest
	p.Y.Tick.Marker = ticks(highest)
	p.Add(plotter.NewGrid())
	if err := t.drawRequests(p); err != nil {
		return err
	}
	if err := t.drawMarks(p, highest); err != nil {
		return err
	}
	return errors.Wrap(p.Save(pageWidth, pageHeight, path), "write picture; check its folder")
}

func (t *Timeline) columnCount() int { return len(t.Requests[Served]) }

// highest returns the largest sum of a column, at least one.
func (t *Timeline) highest() float64 {
	highest := 1.0
	for column := range t.columnCount() {
		sum := 0.0
		for ending := range t.Requests {
			sum += t.Requests[ending][column]
		}
		highest = max(highest, sum)
	}
	return highest
}

// laneHeight returns the y coordinate of a mark's lane, below the columns.
func laneHeight(mark Mark, highest float64) float64 {
	return -laneHeightShare * highest * float64(mark+1)
}

// ticks returns labels for the lanes and for some counts.
func ticks(highest float64) plot.ConstantTicks {
	var all plot.ConstantTicks
	for mark := range markNames {
		all = append(all, plot.Tick{Value: laneHeight(Mark(mark), highest), Label: markNames[mark]})
	}
	step := max(1, int(highest/maxCountTicks))
	for count := 0; float64(count) <= highest; count += step {
		all = append(all, plot.Tick{Value: float64(count), Label: strconv.Itoa(count)})
	}
	return all
}

// drawRequests draws the endings as stacked areas.
func (t *Timeline) drawRequests(p *plot.Plot) error {
	base := make([]float64, t.columnCount())
	for ending := range t.Requests {
		area := make(plotter.XYs, 0, 4*t.columnCount())
		for column, count := range t.Requests[ending] {
			left, right := t.columnBounds(column)
			area = append(area, plotter.XY{X: left, Y: base[column] + count}, plotter.XY{X: right, Y: base[column] + count})
		}
		for column := t.columnCount() - 1; column >= 0; column-- {
			left, right := t.columnBounds(column)
			area = append(area, plotter.XY{X: right, Y: base[column]}, plotter.XY{X: left, Y: base[column]})
			base[column] += t.Requests[ending][column]
		}
		polygon, err := plotter.NewPolygon(area)
		if err != nil {
			return errors.Wrap(err, "draw requests")
		}
		polygon.Color, polygon.LineStyle.Width = endingColors[ending], 0
		p.Add(polygon)
		p.Legend.Add(endingNames[ending], polygon)
	}
	return nil
}

// columnBounds returns the x coordinates of a column's edges.
func (t *Timeline) columnBounds(column int) (left, right float64) {
	step := t.Step.Seconds()
	return float64(column) * step, float64(column+1) * step
}

// drawMarks draws a lane for each kind of mark.
func (t *Timeline) drawMarks(p *plot.Plot, highest float64) error {
	for mark, times := range t.Marked {
		if len(times) == 0 {
			continue
		}
		points := make(plotter.XYs, 0, len(times))
		for _, at := range times {
			points = append(points, plotter.XY{X: at.Sub(t.Start).Seconds(), Y: laneHeight(Mark(mark), highest)})
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return errors.Wrap(err, "draw marks")
		}
		const dot = 2.5
		scatter.GlyphStyle = draw.GlyphStyle{Color: markColor, Radius: vg.Points(dot), Shape: draw.CircleGlyph{}}
		p.Add(scatter)
	}
	return nil
}
