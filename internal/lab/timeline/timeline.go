// Package timeline counts the events in the logs of several nodes over time and draws them on
// one page: the outcomes of requests, and below them changes of the primary and of the
// configuration, starts and stops of nodes and outages of the store.
//
// Nodes log only a limited number of lines per second, so lines of served requests, and of
// failed ones if there are many, may be missing. Nodes log the number of dropped lines each
// second (lines_dropped), and these are counted as well.
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

// The endings, from the bottom of the stack up.
const (
	Served Ending = iota
	Late
	Rejected
	Unknown
	endingCount
)

// Mark is a kind of event that is drawn as a dot.
type Mark uint8

// The marks, from the highest lane down.
const (
	NodeStart Mark = iota
	NodeStop
	Degraded
	StoreLost
	Configuration
	PrimaryReplaced
	markCount
)

// Config configures Count.
type Config struct {
	// Step is the duration of a column.
	Step time.Duration
	// Late is the response time from which a served request counts as late.
	Late time.Duration
}

// Timeline holds the counted events.
type Timeline struct {
	Start time.Time
	Step  time.Duration
	// Requests holds the number of requests by ending and column.
	Requests [endingCount][]float64
	// Marked holds the times of each mark.
	Marked [markCount][]time.Time
}

var errNoLines = errors.New("the logs contain no events; give the JSON lines that nodes write")

// Count counts the events in the logs.
func Count(logs *explain.Logs, cfg Config) (*Timeline, error) {
	if cfg.Step <= 0 || cfg.Late <= 0 {
		return nil, errors.Errorf("step is %v and late is %v; both must be above zero", cfg.Step, cfg.Late)
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
		t.countLine(&lines[i], cfg, versions)
	}
	return t, nil
}

// column returns the column of a time; times before the start belong to the first column.
func (t *Timeline) column(at time.Time) int { return max(0, int(at.Sub(t.Start)/t.Step)) }

func (t *Timeline) addRequests(ending Ending, at time.Time, count float64) {
	column := min(t.column(at), len(t.Requests[ending])-1)
	t.Requests[ending][column] += count
}

func (t *Timeline) addMark(mark Mark, at time.Time) { t.Marked[mark] = append(t.Marked[mark], at) }

func (t *Timeline) countLine(line *explain.Line, cfg Config, versions map[string]bool) {
	switch line.Event {
	case eventlog.RequestServed:
		ending := Served
		if took, ok := numericField(line, "took"); ok && time.Duration(took*float64(time.Millisecond)) >= cfg.Late {
			ending = Late
		}
		t.addRequests(ending, line.Time, 1)
	case eventlog.RequestFailed:
		ending := Unknown
		if line.Text("promised_not_kept") == "true" {
			ending = Rejected
		}
		t.addRequests(ending, line.Time, 1)
	case eventlog.LinesDropped:
		t.countDropped(line)
	case eventlog.NodeStarted:
		t.addMark(NodeStart, line.Time)
	case eventlog.NodeStopping:
		t.addMark(NodeStop, line.Time)
	case eventlog.NodeDegraded:
		if line.Text("degraded") == "true" {
			t.addMark(Degraded, line.Time)
		}
	case eventlog.StoreLost:
		t.addMark(StoreLost, line.Time)
	case eventlog.ConfigurationApplied:
		// A version is marked once, when the first node applies it.
		if version := line.Text("version"); !versions[version] {
			versions[version] = true
			t.addMark(Configuration, line.Time)
		}
	case eventlog.FailoverOrder:
		if line.Text("outcome") == "accepted" {
			t.addMark(PrimaryReplaced, line.Time)
		}
	}
}

// countDropped counts requests whose lines were dropped in the previous second. Served ones
// count as not late, since their response times are unknown, and failed ones as rejected.
func (t *Timeline) countDropped(line *explain.Line) {
	if served, ok := numericField(line, string(eventlog.RequestServed)); ok {
		t.addRequests(Served, line.Time, served)
	}
	if failed, ok := numericField(line, string(eventlog.RequestFailed)); ok {
		t.addRequests(Rejected, line.Time, failed)
	}
}

// numericField returns a numeric field. It returns false if there is none.
func numericField(line *explain.Line, field string) (float64, bool) {
	var value float64
	err := json.Unmarshal(line.Fields[field], &value)
	return value, err == nil
}
