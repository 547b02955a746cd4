package judge

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/upstream"
)

// Answer is what a caller was told.
type Answer struct {
	// Failed is set for a failure, NotRun if it promises that nothing is kept.
	Failed bool
	NotRun bool

	Rows      [][]byte
	Signature string
	State     upstream.TransactionState
}

// Session is an open session of a caller with the fleet.
type Session interface {
	// Ask sends a command and returns the answer; false means that the session has
	// ended without one.
	Ask(asked command.Command) (Answer, bool)
	Close()
}

// CallerConfig configures a Caller.
type CallerConfig struct {
	Name string
	// Tenant is the one that the caller works for; empty where callers need no key.
	Tenant string
	Seed   *rand.Rand
	Judge  *Judge
	// Stays makes the caller keep each session until it ends by itself.
	Stays bool
	// Connect opens a session on some node and tells its route; nil if it was
	// refused.
	Connect func(r *rand.Rand) (Session, *catalog.Route)
}

// Caller drives sessions with random operations and tells the judge what it was
// told. It is used by one goroutine.
type Caller struct {
	CallerConfig
	// Served, Refused and Unknown count final answers.
	Served  int
	Refused int
	Unknown int

	session int
	request int
	values  map[string]string
}

// NewCaller returns a caller that has not called yet.
func NewCaller(cfg CallerConfig) *Caller { return &Caller{CallerConfig: cfg} }

// connectPause is the pause after a session was refused.
const connectPause = 50 * time.Millisecond

// Run drives sessions until a time.
func (c *Caller) Run(until time.Time) {
	for time.Now().Before(until) {
		session, route := c.Connect(c.Seed)
		if session == nil {
			time.Sleep(connectPause)
			continue
		}
		c.session++
		c.values = map[string]string{}
		c.operate(session, route, until)
		session.Close()
	}
}

// Bounds of what a caller does.
const (
	maxOperations = 30
	maxStatements = 5
	// restMillis and statementRestMillis bound the rest between operations, and
	// between statements of a transaction.
	restMillis          = 120
	statementRestMillis = 40
	things              = 20
)

func (c *Caller) operate(session Session, route *catalog.Route, until time.Time) {
	for operations := c.Seed.IntN(maxOperations) + 1; operations > 0 || c.Stays; operations-- {
		if !time.Now().Before(until) {
			return
		}
		healthy := true
		switch c.Seed.IntN(10) {
		case 0:
			healthy = c.setValue(session)
		case 1, 2, 3:
			healthy = c.transaction(session, route)
		case 4, 5:
			healthy = c.single(session, route, true)
		default:
			healthy = c.single(session, route, false)
		}
		if !healthy {
			return
		}
		c.rest(restMillis)
	}
}

func (c *Caller) rest(millis int) {
	time.Sleep(time.Duration(c.Seed.IntN(millis)) * time.Millisecond)
}

func (c *Caller) nextID() string {
	c.request++
	return fmt.Sprintf("%s.%d.%d", c.Name, c.session, c.request)
}

func (c *Caller) sessionName() string { return fmt.Sprintf("%s.%d", c.Name, c.session) }

func (c *Caller) begin(id string, route *catalog.Route, began time.Time) {
	c.Judge.Begin(Asked{ID: id, Session: c.sessionName(), Tenant: c.Tenant, Route: route, Began: began})
}

func (c *Caller) setValue(session Session) bool {
	name, value := fmt.Sprintf("v%d", c.Seed.IntN(3)), fmt.Sprint(c.Seed.IntN(5))
	answer, open := session.Ask(command.Command{Kind: command.SetValue, RequestID: c.nextID(), Name: name, Value: value})
	if open && !answer.Failed {
		c.values[name] = value
	}
	return open
}

// statement returns a read or write of some thing.
func (c *Caller) statement(id string, writes bool) command.Command {
	thing := fmt.Sprintf("t%d", c.Seed.IntN(things))
	if writes {
		return command.Command{Kind: command.Write, RequestID: id, Text: "WRITE " + thing + " " + id}
	}
	return command.Command{Kind: command.Read, RequestID: id, Text: "READ " + thing}
}

func (c *Caller) single(session Session, route *catalog.Route, writes bool) bool {
	id := c.nextID()
	c.begin(id, route, time.Now())
	answer, open := session.Ask(c.statement(id, writes))
	if !open {
		return false
	}
	c.judge(&answer, []string{id}, writes)
	if !answer.Failed && !writes {
		c.checkRows(id, &answer)
	}
	return answer.State == upstream.Idle
}

// judge tells the judge what a final answer promised.
func (c *Caller) judge(answer *Answer, ids []string, wrote bool) {
	switch {
	case !answer.Failed:
		c.Served++
		if wrote {
			c.Judge.Acknowledged(ids)
		}
	case answer.NotRun:
		c.Refused++
		c.Judge.Promised(ids)
	default:
		c.Unknown++
	}
}

func (c *Caller) checkRows(id string, answer *Answer) {
	if len(answer.Rows) != 2 || answer.Signature != id {
		c.Judge.Violate("the answer to %s is signed for %s with %d rows", id, answer.Signature, len(answer.Rows))
		return
	}
	if expected := valuesText(c.values); string(answer.Rows[1]) != expected {
		c.Judge.Violate("read %s ran with values %q, the session has %q", id, answer.Rows[1], expected)
	}
}

func valuesText(values map[string]string) string {
	var names []string
	for name := range values {
		names = append(names, name)
	}
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		text.WriteString(name + "=" + values[name] + ";")
	}
	return text.String()
}

// transaction runs a whole transaction.
func (c *Caller) transaction(session Session, route *catalog.Route) bool {
	began := time.Now()
	kind, text := command.Begin, "BEGIN"
	if c.Seed.IntN(3) == 0 {
		kind, text = command.BeginReadOnly, "BEGIN READ"
	}
	if answer, open := session.Ask(command.Command{Kind: kind, RequestID: c.nextID(), Text: text}); !open || answer.Failed {
		return open
	}
	var writes []string
	for range c.Seed.IntN(maxStatements) {
		id := c.nextID()
		c.begin(id, route, began)
		writing := kind == command.Begin && c.Seed.IntN(2) == 0
		if writing {
			writes = append(writes, id)
		}
		answer, open := session.Ask(c.statement(id, writing))
		if !open {
			return false
		}
		if answer.Failed {
			c.judge(&answer, writes, true)
			return c.rollBack(session)
		}
		c.rest(statementRestMillis)
	}
	if c.Seed.IntN(5) == 0 {
		return c.rollBack(session)
	}
	answer, open := session.Ask(command.Command{Kind: command.Commit, RequestID: c.nextID(), Text: "COMMIT"})
	if open {
		c.judge(&answer, writes, len(writes) > 0)
	}
	return open
}

func (c *Caller) rollBack(session Session) bool {
	_, open := session.Ask(command.Command{Kind: command.Rollback, RequestID: c.nextID(), Text: "ROLLBACK"})
	return open
}
