// Package explain tells the story of a request, a server or a failover from the
// event logs of many nodes (package eventlog).
//
// It reads plain JSON lines, and lines with a prefix before the JSON, such as a
// collector's time and node. Clocks of nodes differ and jump: lines of one node
// keep the order in which they were written, and a clock that goes back does not
// take its later lines back.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/eventlog"
)

// Line is one line of a log.
type Line struct {
	Time   time.Time
	Node   string
	Event  eventlog.Event
	Fields map[string]json.RawMessage
	// order is the line's place in its file, merged its time on one scale.
	order  int
	merged time.Time
}

// Text returns a field's text; strings lose their quotes.
func (l *Line) Text(field string) string {
	raw := l.Fields[field]
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Logs are the merged lines of many nodes.
type Logs struct {
	lines []Line
	// Skipped counts lines that are no events.
	Skipped int
}

// Read adds the lines of one file.
func (l *Logs) Read(input io.Reader) error {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			l.Skipped++
			continue
		}
		line.order = len(l.lines)
		l.lines = append(l.lines, line)
	}
	return errors.Wrap(scanner.Err(), "read a log; lines have 1 MiB at most")
}

func parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	line := Line{Fields: map[string]json.RawMessage{}}
	if json.Unmarshal([]byte(text[start:]), &line.Fields) != nil {
		return Line{}, false
	}
	line.Node, line.Event = line.Text("node"), eventlog.Event(line.Text("event"))
	var err error
	line.Time, err = time.Parse(time.RFC3339Nano, line.Text("time"))
	if err != nil || line.Node == "" || line.Event == "" {
		return Line{}, false
	}
	for _, common := range []string{"time", "node", "event"} {
		delete(line.Fields, common)
	}
	return line, true
}

// Lines returns all lines in the order of their times.
func (l *Logs) Lines() []Line {
	merged := l.merge()
	for i := range merged {
		merged[i].Time = merged[i].merged
	}
	return merged
}

// merge orders all lines by time, and those of one node as they were written.
func (l *Logs) merge() []Line {
	latest := map[string]time.Time{}
	for i := range l.lines {
		line := &l.lines[i]
		line.merged = line.Time
		if before := latest[line.Node]; before.After(line.merged) {
			line.merged = before
		}
		latest[line.Node] = line.merged
	}
	merged := slices.Clone(l.lines)
	slices.SortStableFunc(merged, func(first, second Line) int {
		return cmp.Or(first.merged.Compare(second.merged), cmp.Compare(first.order, second.order))
	})
	return merged
}

// NotFoundError tells that no line matches.
type NotFoundError struct{ What, Name string }

// Error implements the error interface.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line tells of %s %q; give the logs of all nodes, and look for lines_dropped in them", e.What, e.Name)
}

// contextBefore is how far back changes of belief are shown before a request.
const contextBefore = 8 * time.Second

// Request writes the story of a request: what its nodes believed of its service
// shortly before, and every line that names it.
func (l *Logs) Request(out io.Writer, id string) error {
	lines := l.merge()
	first, last := -1, -1
	nodes, services, servers := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range lines {
		if lines[i].Text("request") != id {
			continue
		}
		if first < 0 {
			first = i
		}
		last = i
		nodes[lines[i].Node] = true
		services[lines[i].Text("service")] = true
		servers[lines[i].Text("server")] = true
	}
	if first < 0 {
		return &NotFoundError{"request", id}
	}
	since := lines[first].merged.Add(-contextBefore)
	return write(out, lines[:last+1], func(line *Line) bool {
		if line.Text("request") == id {
			return true
		}
		return nodes[line.Node] && line.merged.After(since) && concerns(line, services, servers)
	})
}

// concerns reports whether a line tells a belief about a service, its servers,
// or about all.
func concerns(line *Line, services, servers map[string]bool) bool {
	if eventlog.Vocabulary[line.Event] != eventlog.Belief {
		return false
	}
	service, server := line.Text("service"), line.Text("server")
	if service == "" && server == "" {
		return true
	}
	return (service != "" && services[service]) || (server != "" && servers[server])
}

// Server writes what nodes believed of a server, and the attempts that failed on it.
func (l *Logs) Server(out io.Writer, id string) error {
	return l.all(out, "server", id, func(line *Line) bool {
		return line.Text("server") == id && line.Event != eventlog.RequestServed || line.Text("target") == id || line.Text("leader") == id
	})
}

// Tenant writes what a tenant's callers were refused, when its less urgent work was held back
// for more urgent work, and what their nodes believed of the
// quotas and the configuration.
func (l *Logs) Tenant(out io.Writer, name string) error {
	nodes := map[string]bool{}
	for i := range l.lines {
		if l.lines[i].Text("tenant") == name {
			nodes[l.lines[i].Node] = true
		}
	}
	if len(nodes) == 0 {
		return &NotFoundError{"tenant", name}
	}
	return write(out, l.merge(), func(line *Line) bool {
		switch line.Event {
		case eventlog.RequestFailed, eventlog.TransactionRolledBack, eventlog.QuotaHeldBack:
			return line.Text("tenant") == name
		case eventlog.QuotaShare, eventlog.ConfigurationApplied, eventlog.MessageLost:
			return nodes[line.Node]
		default:
			return false
		}
	})
}

// Failover writes the changes of a service's primary.
func (l *Logs) Failover(out io.Writer, service string) error {
	return l.all(out, "service", service, func(line *Line) bool {
		return line.Text("service") == service && eventlog.Vocabulary[line.Event] == eventlog.Belief
	})
}

func (l *Logs) all(out io.Writer, what, name string, matches func(*Line) bool) error {
	lines := l.merge()
	found := slices.ContainsFunc(lines, func(line Line) bool { return matches(&line) })
	if !found {
		return &NotFoundError{what, name}
	}
	return write(out, lines, matches)
}

func write(out io.Writer, lines []Line, shown func(*Line) bool) error {
	for i := range lines {
		line := &lines[i]
		if !shown(line) {
			continue
		}
		var fields strings.Builder
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			fields.WriteString(" " + name + "=" + line.Text(name))
		}
		if _, err := fmt.Fprintf(out, "%s %-20s %s%s\n", line.merged.Format("15:04:05.000"), line.Node, line.Event, fields.String()); err != nil {
			return errors.Wrap(err, "write the story")
		}
	}
	return nil
}
