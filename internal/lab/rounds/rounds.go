// Package rounds reads scored rounds of simulated runs from journal entries and plots how the
// scores of a deployment changed.
package rounds

import (
	"encoding/json"
	"image/color"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Entry is a scored round of a deployment.
type Entry struct {
	Command string    `json:"cmd"`
	Site    string    `json:"site"`
	At      [2]string `json:"at"`
	Score   float64   `json:"score"`
	Runs    []Run     `json:"days"`
}

// Run is a simulated run of a round.
type Run struct {
	Name  string  `json:"name"`
	Value float64 `json:"G"`
	// Baseline is the Value for which the score is 0.
	Baseline float64 `json:"naive"`
}

// scoreCommand is the command whose entries contain complete rounds.
const scoreCommand = "score"

// oneTimePrefix is the name prefix of runs that only occur in one round.
const oneTimePrefix = "fresh-"

// Read returns the rounds of a deployment, sorted by start time.
func Read(paths []string, site string) ([]Entry, error) {
	var entries []Entry
	for _, path := range paths {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read journal entry")
		}
		var entry Entry
		if err := json.Unmarshal(content, &entry); err != nil {
			return nil, errors.Wrapf(err, "journal entry %s is no JSON object of a round", path)
		}
		if entry.Command == scoreCommand && entry.Site == site && len(entry.Runs) > 0 {
			entries = append(entries, entry)
		}
	}
	if len(entries) == 0 {
		return nil, errors.Errorf("the journal has no scored round of %q; score it, or name another site", site)
	}
	slices.SortFunc(entries, func(first, second Entry) int { return strings.Compare(first.At[0], second.At[0]) })
	return entries, nil
}

// standardRuns returns the runs that are part of every round.
func standardRuns(entry *Entry) []Run {
	var runs []Run
	for _, run := range entry.Runs {
		if !strings.HasPrefix(run.Name, oneTimePrefix) {
			runs = append(runs, run)
		}
	}
	return runs
}

// series is a set of bars.
type series struct {
	label  string
	values plotter.Values
	color  color.RGBA
}

// Plot writes a bar chart of the baseline, the first and the last round.
func Plot(path string, entries []Entry) error {
	first, last := standardRuns(&entries[0]), standardRuns(&entries[len(entries)-1])
	drawn := []series{
		{"baseline (scores 0)", nil, color.RGBA{R: 0xb0, G: 0xb0, B: 0xb0, A: 0xff}},
		{"first round", nil, color.RGBA{R: 0xd0, G: 0x8a, B: 0x1e, A: 0xff}},
		{"last round", nil, color.RGBA{R: 0x1b, G: 0x6c, B: 0xa8, A: 0xff}},
	}
	var names []string
	for i := range min(len(first), len(last)) {
		names = append(names, last[i].Name)
		for at, value := range []float64{last[i].Baseline, first[i].Value, last[i].Value} {
			drawn[at].values = append(drawn[at].values, value)
		}
	}
	canvas := plot.New()
	canvas.Title.Text = "Worth of the standard runs: " + entries[0].Site
	canvas.Y.Label.Text = "worth"
	canvas.Y.Min, canvas.Y.Max = 0, 1.15
	canvas.Legend.Top = true
	canvas.NominalX(names...)
	const margin = 0.6
	canvas.X.Min, canvas.X.Max = -margin, float64(len(names))-1+margin
	const barWidth = 18
	for at, set := range drawn {
		bars, err := plotter.NewBarChart(set.values, vg.Points(barWidth))
		if err != nil {
			return errors.Wrap(err, "draw bars")
		}
		bars.Color, bars.LineStyle.Width = set.color, 0
		bars.Offset = vg.Points(float64(at-1) * barWidth)
		canvas.Add(bars)
		canvas.Legend.Add(set.label, bars)
	}
	const width, height = 8 * vg.Inch, 4 * vg.Inch
	return errors.Wrap(canvas.Save(width, height, path), "save the plot")
}
