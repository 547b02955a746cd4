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

// The page's looks.
const (
	pageWidth  = 11 * vg.Inch
	pageHeight = 6 * vg.Inch
	// laneShare is the height of a lane of marks as a part of the highest column.
	laneShare = 0.09
	// headroom is left above the highest column for the legend.
	headroom = 1.3
	// countTicks is about how many counts are written at the axis.
	countTicks = 4
)

var (
	endingNames  = [endings]string{"served", "late", "refused, not run", "failed or unknown"}
	endingColors = [endings]color.RGBA{
		{R: 0x5a, G: 0x9e, B: 0x6f, A: 0xff},
		{R: 0xe3, G: 0xb5, B: 0x05, A: 0xff},
		{R: 0xd9, G: 0x6b, B: 0x27, A: 0xff},
		{R: 0xa8, G: 0x1e, B: 0x32, A: 0xff},
	}
	markNames = [marks]string{"node started", "node stopping", "node degraded", "store lost", "configuration", "primary replaced"}
	markColor = color.RGBA{R: 0x1b, G: 0x3a, B: 0x6b, A: 0xff}
)

// Draw writes the page as a picture, by the ending of its name.
func (t *Timeline) Draw(path string) error {
	p := plot.New()
	p.Title.Text = "Requests by their end, from " + t.Start.Format("2006-01-02 15:04:05") + " on"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "commands in " + t.Step.String()
	p.Legend.Top = true
	highest := t.highest()
	p.X.Min, p.X.Max = 0, float64(t.columns())*t.Step.Seconds()
	p.Y.Min, p.Y.Max = lane(marks, highest), headroom*highest
	p.Y.Tick.Marker = ticks(highest)
	p.Add(plotter.NewGrid())
	if err := t.drawRequests(p); err != nil {
		return err
	}
	if err := t.drawMarks(p, highest); err != nil {
		return err
	}
	return errors.Wrap(p.Save(pageWidth, pageHeight, path), "write the picture; check its folder")
}

func (t *Timeline) columns() int { return len(t.Requests[Served]) }

// highest returns the largest sum of a column, at least one.
func (t *Timeline) highest() float64 {
	highest := 1.0
	for column := range t.columns() {
		sum := 0.0
		for ending := range t.Requests {
			sum += t.Requests[ending][column]
		}
		highest = max(highest, sum)
	}
	return highest
}

// lane returns the height at which a mark stands: below the columns.
func lane(mark Mark, highest float64) float64 { return -laneShare * highest * float64(mark+1) }

// ticks names the lanes and some counts.
func ticks(highest float64) plot.ConstantTicks {
	var all plot.ConstantTicks
	for mark := range markNames {
		all = append(all, plot.Tick{Value: lane(Mark(mark), highest), Label: markNames[mark]})
	}
	step := max(1, int(highest/countTicks))
	for count := 0; float64(count) <= highest; count += step {
		all = append(all, plot.Tick{Value: float64(count), Label: strconv.Itoa(count)})
	}
	return all
}

// drawRequests draws the endings as areas one above the other.
func (t *Timeline) drawRequests(p *plot.Plot) error {
	below := make([]float64, t.columns())
	for ending := range t.Requests {
		area := make(plotter.XYs, 0, 4*t.columns())
		for column, count := range t.Requests[ending] {
			left, right := t.edges(column)
			area = append(area, plotter.XY{X: left, Y: below[column] + count}, plotter.XY{X: right, Y: below[column] + count})
		}
		for column := t.columns() - 1; column >= 0; column-- {
			left, right := t.edges(column)
			area = append(area, plotter.XY{X: right, Y: below[column]}, plotter.XY{X: left, Y: below[column]})
			below[column] += t.Requests[ending][column]
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

func (t *Timeline) edges(column int) (left, right float64) {
	step := t.Step.Seconds()
	return float64(column) * step, float64(column+1) * step
}

// drawMarks draws a lane for each kind of mark.
func (t *Timeline) drawMarks(p *plot.Plot, highest float64) error {
	for mark, moments := range t.Marked {
		if len(moments) == 0 {
			continue
		}
		points := make(plotter.XYs, 0, len(moments))
		for _, at := range moments {
			points = append(points, plotter.XY{X: at.Sub(t.Start).Seconds(), Y: lane(Mark(mark), highest)})
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
