// Package timeline counts what the event logs of several nodes tell of a span of time,
// and draws it as one page: how requests ended, with takeovers, configurations, nodes'
// starts and stops and outages of the store above one another.
//
// Logs are bounded: of what was served, and of failures in a storm, only some lines are
// written. Nodes tell each second what they dropped (lines_dropped), and that is counted.
package timeline

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/lab/explain"
)

// Ending is how a request ended.
type Ending uint8

// The endings, as they are stacked.
const (
	Served Ending = iota
	Late
	Refused
	Unknown
	endings
)

// Mark is a kind of event that is marked on the page.
type Mark uint8

// The marks, from the lowest lane up.
const (
	NodeStart Mark = iota
	NodeStop
	Degraded
	StoreLost
	Configuration
	Takeover
	marks
)

// Config says how to count.
type Config struct {
	// Step is the length of a column.
	Step time.Duration
	// Late is the time from which a served request counts as late.
	Late time.Duration
}

// Timeline is what was counted.
type Timeline struct {
	Start time.Time
	Step  time.Duration
	// Requests counts endings by column.
	Requests [endings][]float64
	// Marked holds the moments of each mark.
	Marked [marks][]time.Time
}

var errNoLines = errors.New("the logs hold no events; give the JSON lines that nodes write")

// Count counts the lines of the logs.
func Count(logs *explain.Logs, cfg Config) (*Timeline, error) {
	if cfg.Step <= 0 || cfg.Late <= 0 {
		return nil, errors.Errorf("step %v and late %v; both must be above zero", cfg.Step, cfg.Late)
	}
	lines := logs.Lines()
	if len(lines) == 0 {
		return nil, errNoLines
	}
	t := &Timeline{Start: lines[0].Time.Truncate(cfg.Step), Step: cfg.Step}
	columns := t.column(lines[len(lines)-1].Time) + 1
	for ending := range t.Requests {
		t.Requests[ending] = make([]float64, columns)
	}
	versions := map[string]bool{}
	for i := range lines {
		t.count(&lines[i], cfg, versions)
	}
	return t, nil
}

// column returns the column of a moment; clocks that went back fall into the first.
func (t *Timeline) column(at time.Time) int { return max(0, int(at.Sub(t.Start)/t.Step)) }

func (t *Timeline) add(ending Ending, at time.Time, count float64) {
	column := min(t.column(at), len(t.Requests[ending])-1)
	t.Requests[ending][column] += count
}

func (t *Timeline) mark(mark Mark, at time.Time) { t.Marked[mark] = append(t.Marked[mark], at) }

func (t *Timeline) count(line *explain.Line, cfg Config, versions map[string]bool) {
	switch line.Event {
	case eventlog.RequestServed:
		ending := Served
		if took, ok := number(line, "took"); ok && time.Duration(took*float64(time.Millisecond)) >= cfg.Late {
			ending = Late
		}
		t.add(ending, line.Time, 1)
	case eventlog.RequestFailed:
		ending := Unknown
		if line.Text("promised_not_kept") == "true" {
			ending = Refused
		}
		t.add(ending, line.Time, 1)
	case eventlog.LinesDropped:
		t.countDropped(line)
	case eventlog.NodeStarted:
		t.mark(NodeStart, line.Time)
	case eventlog.NodeStopping:
		t.mark(NodeStop, line.Time)
	case eventlog.NodeDegraded:
		if line.Text("degraded") == "true" {
			t.mark(Degraded, line.Time)
		}
	case eventlog.StoreLost:
		t.mark(StoreLost, line.Time)
	case eventlog.ConfigurationApplied:
		// The first node that has a version stands for all.
		if version := line.Text("version"); !versions[version] {
			versions[version] = true
			t.mark(Configuration, line.Time)
		}
	case eventlog.FailoverOrder:
		if line.Text("outcome") == "accepted" {
			t.mark(Takeover, line.Time)
		}
	}
}

// countDropped counts requests whose lines were dropped in the second before: those served
// as in time, since nothing tells how long they took.
func (t *Timeline) countDropped(line *explain.Line) {
	if served, ok := number(line, string(eventlog.RequestServed)); ok {
		t.add(Served, line.Time, served)
	}
	if failed, ok := number(line, string(eventlog.RequestFailed)); ok {
		t.add(Refused, line.Time, failed)
	}
}

// number returns a numeric field.
func number(line *explain.Line, field string) (float64, bool) {
	var value float64
	err := json.Unmarshal(line.Fields[field], &value)
	return value, err == nil
}
