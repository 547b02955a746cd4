// Package explain selects from the event logs of many nodes (package eventlog) the lines that
// explain what happened to a request, a server, a tenant or the primary of a service.
//
// Logs consist of JSON lines, optionally with a prefix before the JSON, such as a log
// collector's time and node. Nodes' clocks differ and may jump. The lines of one node keep the
// order in which they were written: a line with a time before that of its predecessor gets the
// predecessor's time.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/eventlog"
)

// Line is a line of a log.
type Line struct {
	Time   time.Time
	Node   string
	Event  eventlog.Event
	Fields map[string]json.RawMessage
	// index is the line's number in the order of reading. adjusted is its time, or the adjusted
	// time of the node's previous line if that is later.
	index    int
	adjusted time.Time
}

// Text returns the value of a field as text, strings without quotes.
func (l *Line) Text(field string) string {
	raw := l.Fields[field]
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	return string(raw)
}

// maxLineBytes is the maximum length of a line of a log.
const maxLineBytes = 1 << 20

// Logs holds the lines of many nodes' logs.
type Logs struct {
	lines []Line
	// Skipped counts lines that are not events.
	Skipped int
}

// Read adds the lines of one file. It skips lines that are too long.
func (l *Logs) Read(input io.Reader) error {
	reader := bufio.NewReaderSize(input, maxLineBytes)
	for {
		text, tooLong, err := reader.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read log")
		}
		line, ok := parseLine(string(text))
		ok = ok && !tooLong
		for tooLong && err == nil {
			_, tooLong, err = reader.ReadLine()
		}
		if !ok {
			l.Skipped++
			continue
		}
		line.index = len(l.lines)
		l.lines = append(l.lines, line)
	}
}

func parseLine(text string) (Line, bool) {
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

// Lines returns all lines in the order of their adjusted times, which are in Time.
func (l *Logs) Lines() []Line {
	ordered := l.merge()
	for i := range ordered {
		ordered[i].Time = ordered[i].adjusted
	}
	return ordered
}

// merge returns all lines in the order of their adjusted times. Lines of one node keep their
// order.
func (l *Logs) merge() []Line {
	latest := map[string]time.Time{}
	for i := range l.lines {
		line := &l.lines[i]
		line.adjusted = line.Time
		if previous := latest[line.Node]; previous.After(line.adjusted) {
			line.adjusted = previous
		}
		latest[line.Node] = line.adjusted
	}
	ordered := slices.Clone(l.lines)
	slices.SortStableFunc(ordered, func(first, second Line) int {
		return cmp.Or(first.adjusted.Compare(second.adjusted), cmp.Compare(first.index, second.index))
	})
	return ordered
}

// NotFoundError is returned if no line matches.
type NotFoundError struct{ What, Name string }

// Error implements the error interface.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no log line mentions %s %q; give the logs of all nodes and check them for lines_dropped", e.What, e.Name)
}

// contextPeriod is the time before a request whose state changes are shown.
const contextPeriod = 8 * time.Second

// Request writes every line that names a request, and the state changes of its nodes that
// concern its service or servers from shortly before.
func (l *Logs) Request(out io.Writer, id string) error {
	id = eventlog.Text(id)
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
	since := lines[first].adjusted.Add(-contextPeriod)
	return writeLines(out, lines[:last+1], func(line *Line) bool {
		if line.Text("request") == id {
			return true
		}
		return nodes[line.Node] && line.adjusted.After(since) && concerns(line, services, servers)
	})
}

// concerns reports whether a line is a state change of one of the services or servers, or of
// the node as a whole.
func concerns(line *Line, services, servers map[string]bool) bool {
	if eventlog.Vocabulary[line.Event] != eventlog.StateChange {
		return false
	}
	service, server := line.Text("service"), line.Text("server")
	if service == "" && server == "" {
		return true
	}
	return (service != "" && services[service]) || (server != "" && servers[server])
}

// Server writes the lines that concern a server, such as state changes and failed attempts, but
// not the requests that it served.
func (l *Logs) Server(out io.Writer, id string) error {
	return l.writeMatching(out, "server", id, func(line *Line) bool {
		return line.Text("server") == id && line.Event != eventlog.RequestServed ||
			line.Text("target") == id || line.Text("leader") == id
	})
}

// Tenant writes a tenant's failed requests, the periods in which its less urgent work was
// throttled, and the quota shares, configuration changes and lost messages of the nodes that
// logged lines about the tenant.
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
	return writeLines(out, l.merge(), func(line *Line) bool {
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

// Failover writes the state changes that concern a service, such as changes of its primary.
func (l *Logs) Failover(out io.Writer, service string) error {
	return l.writeMatching(out, "service", service, func(line *Line) bool {
		return line.Text("service") == service && eventlog.Vocabulary[line.Event] == eventlog.StateChange
	})
}

// writeMatching writes the lines that match, or returns a NotFoundError if there are none.
func (l *Logs) writeMatching(out io.Writer, what, name string, matches func(*Line) bool) error {
	lines := l.merge()
	found := slices.ContainsFunc(lines, func(line Line) bool { return matches(&line) })
	if !found {
		return &NotFoundError{what, name}
	}
	return writeLines(out, lines, matches)
}

// printable returns a text that stays on one line: quoted if it has characters that are not printable.
func printable(text string) string {
	if strings.ContainsFunc(text, func(r rune) bool { return !strconv.IsPrint(r) }) {
		return strconv.Quote(text)
	}
	return text
}

func writeLines(out io.Writer, lines []Line, shown func(*Line) bool) error {
	for i := range lines {
		line := &lines[i]
		if !shown(line) {
			continue
		}
		var fields strings.Builder
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			fields.WriteString(" " + name + "=" + printable(line.Text(name)))
		}
		if _, err := fmt.Fprintf(out, "%s %-20s %s%s\n",
			line.adjusted.Format("15:04:05.000"), line.Node, line.Event, fields.String()); err != nil {
			return errors.Wrap(err, "write lines")
		}
	}
	return nil
}
