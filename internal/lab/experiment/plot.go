package experiment

import (
	"image/color"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"dewknot/internal/lab/history"
)

// binWidth is the time resolution of the plot.
const binWidth = 250 * time.Millisecond

// lineColors are the colors of the designs.
var lineColors = []color.RGBA{
	{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff},
	{R: 0xc4, G: 0x3c, B: 0x39, A: 0xff},
	{R: 0x2e, G: 0x8b, B: 0x57, A: 0xff},
	{R: 0x8e, G: 0x5c, B: 0xa5, A: 0xff},
	{R: 0xd0, G: 0x8a, B: 0x1e, A: 0xff},
}

// PlotWrites plots, for a deployment, the acknowledged writes of the group whose primary is
// isolated, with one line per design.
func PlotWrites(path, deployment string, outcomes []Outcome) error {
	canvas := plot.New()
	canvas.Title.Text = "Acknowledged writes of the group whose primary is isolated at 16 s: " + deployment
	canvas.X.Label.Text = "seconds"
	canvas.Y.Label.Text = "writes per second"
	canvas.Legend.Top = true
	canvas.Legend.Left = true
	drawn := 0
	for _, outcome := range outcomes {
		if outcome.Deployment != deployment {
			continue
		}
		line, err := plotter.NewLine(writeRate(outcome.Operations))
		if err != nil {
			return errors.Wrap(err, "draw line")
		}
		line.Color = lineColors[drawn%len(lineColors)]
		line.Width = vg.Points(1.2)
		canvas.Add(line)
		canvas.Legend.Add(outcome.Variant, line)
		drawn++
	}
	const width, height = 9 * vg.Inch, 4 * vg.Inch
	return errors.Wrap(canvas.Save(width, height, path), "save plot")
}

func writeRate(operations []history.Operation) plotter.XYs {
	bins := make([]float64, runDuration/binWidth)
	for _, operation := range operations {
		relevant := operation.Type != history.Read && operation.Outcome == history.OK && operation.Group == "group0"
		if bin := int(operation.End / binWidth); relevant && bin < len(bins) {
			bins[bin]++
		}
	}
	points := make(plotter.XYs, len(bins))
	for index, count := range bins {
		points[index] = plotter.XY{X: float64(index) * binWidth.Seconds(), Y: count / binWidth.Seconds()}
	}
	return points
}
