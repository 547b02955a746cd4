package judge

import (
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/upstream"
)

// Answer is the answer to a caller's command.
type Answer struct {
	// Failed is set if the command failed, NotRun if the failure states that it had no
	// effect.
	Failed bool
	NotRun bool
	// UnknownStatement is set if the command failed since no statement is prepared under its name.
	UnknownStatement bool

	Rows      [][]byte
	Signature string
	State     upstream.TransactionState
}

// Session is an open session of a caller with the fleet.
type Session interface {
	// Ask sends a command and returns its answer. It returns false if the session ended
	// without an answer.
	Ask(cmd command.Command) (Answer, bool)
	Close()
}

// CallerConfig configures a Caller.
type CallerConfig struct {
	Name string
	// Tenant is the caller's tenant; empty if callers need no key.
	Tenant string
	Random *rand.Rand
	// Texts draws the texts of the caller's commands. If it is nil, the name determines them.
	Texts *rand.Rand
	Judge *Judge
	// WithoutPauses makes the caller send each command as soon as the last one is answered.
	WithoutPauses bool
	// KeepsSessions makes the caller keep each session until it fails or Run ends.
	KeepsSessions bool
	// Connect opens a session on some node and returns it with its route. The session is nil
	// if it was rejected.
	Connect func(r *rand.Rand) (Session, *catalog.Route)
}

// Caller runs sessions with random operations and reports the answers to a Judge. It is not
// safe for concurrent use.
type Caller struct {
	CallerConfig
	// Served, Refused and Unknown count operations by their outcome. Refused ones had no
	// effect.
	Served  int
	Refused int
	Unknown int

	session int // number of sessions opened
	request int // number of requests made
	// values and prepared are the session values and the prepared statements that were acknowledged.
	values   map[string]string
	prepared map[string]command.PreparedStatement
}

// NewCaller returns a caller; Run starts it.
func NewCaller(cfg CallerConfig) *Caller {
	if cfg.Texts == nil {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(cfg.Name))
		cfg.Texts = rand.New(rand.NewPCG(hash.Sum64(), 0))
	}
	return &Caller{CallerConfig: cfg}
}

// reconnectDelay is the pause after a rejected session.
const reconnectDelay = 50 * time.Millisecond

// Run runs sessions until a time.
func (c *Caller) Run(until time.Time) {
	for time.Now().Before(until) {
		session, route := c.Connect(c.Random)
		if session == nil {
			time.Sleep(reconnectDelay)
			continue
		}
		c.session++
		c.values, c.prepared = map[string]string{}, map[string]command.PreparedStatement{}
		c.runSession(session, route, until)
		session.Close()
	}
}

// Bounds of the random choices of a caller.
const (
	maxOperations = 30
	maxStatements = 5
	// maxPauseMillis bounds the pause between operations, maxStatementPauseMillis that between
	// statements of a transaction.
	maxPauseMillis          = 120
	maxStatementPauseMillis = 40
	maxKeys                 = 20
)

func (c *Caller) runSession(session Session, route *catalog.Route, until time.Time) {
	for operations := c.Random.IntN(maxOperations) + 1; operations > 0 || c.KeepsSessions; operations-- {
		if !time.Now().Before(until) {
			return
		}
		if !c.prepareStatements(session) {
			return
		}
		healthy := true
		switch c.Random.IntN(10) {
		case 0:
			healthy = c.setValue(session)
		case 1, 2, 3:
			healthy = c.transaction(session, route)
		case 4, 5:
			healthy = c.singleStatement(session, route, true)
		default:
			healthy = c.singleStatement(session, route, false)
		}
		if !healthy {
			return
		}
		c.pause(maxPauseMillis)
	}
}

func (c *Caller) pause(millis int) {
	pause := time.Duration(c.Random.IntN(millis)) * time.Millisecond
	if !c.WithoutPauses {
		time.Sleep(pause)
	}
}

func (c *Caller) nextID() string {
	c.request++
	return fmt.Sprintf("%s.%d.%d", c.Name, c.session, c.request)
}

func (c *Caller) sessionName() string { return fmt.Sprintf("%s.%d", c.Name, c.session) }

// recordRequest records a statement or COMMIT before it is sent.
func (c *Caller) recordRequest(cmd *command.Command, route *catalog.Route, transaction string, began time.Time) {
	statement := command.Statement{RequestID: cmd.RequestID, Text: cmd.Text, Writes: cmd.Kind == command.Write}
	if cmd.Kind == command.Execute {
		definition := c.prepared[cmd.Name]
		statement = command.Statement{
			RequestID: cmd.RequestID, Prepared: true, Definition: definition, Writes: definition.Writes, Arguments: cmd.Value,
		}
	}
	c.Judge.RecordRequest(Request{
		ID: cmd.RequestID, Session: c.sessionName(), Tenant: c.Tenant, Route: route, Began: began,
		Statement: statement, Commit: cmd.Kind == command.Commit, Values: managed.ValuesText(c.values), Transaction: transaction,
	})
}

func (c *Caller) setValue(session Session) bool {
	return c.set(session, fmt.Sprintf("v%d", c.Random.IntN(3)), fmt.Sprint(c.Random.IntN(5)))
}

// set sets a session value. Its name and value may become unusual.
func (c *Caller) set(session Session, name, value string) bool {
	name = field(c.Texts, name)
	if c.Texts.IntN(2) == 0 {
		value = text(c.Texts)
	}
	answer, open := session.Ask(command.Command{
		Kind: command.SetValue, RequestID: c.nextID(), Name: name, Value: value, Text: "SET " + name + " " + value,
	})
	if !open || answer.Failed {
		return false
	}
	c.values[name] = value
	return true
}

// prepareStatements prepares and deallocates statements. It returns false if the session must end.
func (c *Caller) prepareStatements(session Session) bool {
	for range c.Texts.IntN(3) {
		healthy := true
		if c.Texts.IntN(4) == 0 {
			healthy = c.deallocate(session)
		} else {
			healthy = c.prepare(session)
		}
		if !healthy {
			return false
		}
	}
	return true
}

func (c *Caller) prepare(session Session) bool {
	name, prepared := statementName(c.Texts), definition(c.Texts)
	answer, open := session.Ask(command.Command{
		Kind: command.Prepare, RequestID: c.nextID(), Name: name, Statement: prepared,
		Text: "PREPARE " + name + " " + access(prepared.Writes) + " " + prepared.Shape,
	})
	if !open || answer.Failed {
		return false
	}
	c.prepared[name] = prepared
	return true
}

func (c *Caller) deallocate(session Session) bool {
	name := c.preparedName(func(command.PreparedStatement) bool { return true })
	if name == "" {
		return true
	}
	answer, open := session.Ask(command.Command{
		Kind: command.Deallocate, RequestID: c.nextID(), Name: name, Text: "DEALLOC " + name,
	})
	if open && answer.UnknownStatement {
		c.Judge.RecordViolation("%s: %q is unknown although it was prepared", c.sessionName(), name)
	}
	if !open || answer.Failed {
		return false
	}
	delete(c.prepared, name)
	if c.Texts.IntN(2) == 0 {
		return true
	}
	// The request is not recorded, so it must not run on a server.
	answer, open = session.Ask(execute(c.nextID(), name, "t1 "+text(c.Texts)))
	if open && !answer.Failed {
		c.Judge.RecordViolation("%s: %q was executed after it was deallocated", c.sessionName(), name)
	}
	return open
}

func access(writes bool) string {
	if writes {
		return "WRITE"
	}
	return "READ"
}

func execute(id, name, arguments string) command.Command {
	return command.Command{
		Kind: command.Execute, RequestID: id, Name: name, Value: arguments, Text: "EXEC " + name + " " + arguments,
	}
}

// preparedName returns a random name among those of the prepared statements that fit, or "".
func (c *Caller) preparedName(fits func(command.PreparedStatement) bool) string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(c.prepared)) {
		if fits(c.prepared[name]) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[c.Texts.IntN(len(names))]
}

// statement returns a read or write of a random key, as a text or by a prepared statement.
func (c *Caller) statement(id string, writes bool) command.Command {
	arguments := field(c.Texts, fmt.Sprintf("t%d", c.Random.IntN(maxKeys)))
	switch {
	case writes && c.Texts.IntN(2) == 0:
		arguments += " " + id + text(c.Texts)
	case writes:
		arguments += " " + id
	case c.Texts.IntN(oddOneOf) == 0:
		// The key of a read is its last field. No write has this key.
		arguments = withoutLineEnds(arguments + text(c.Texts))
	}
	if c.Texts.IntN(2) == 0 {
		name := c.preparedName(func(prepared command.PreparedStatement) bool { return prepared.Writes == writes })
		if name != "" {
			return execute(id, name, arguments)
		}
	}
	kind := command.Read
	if writes {
		kind = command.Write
	}
	return command.Command{Kind: kind, RequestID: id, Text: access(writes) + " " + arguments}
}

func (c *Caller) singleStatement(session Session, route *catalog.Route, writes bool) bool {
	id := c.nextID()
	answer, open := c.run(session, c.statement(id, writes), route, "", time.Now())
	if !open {
		return false
	}
	c.recordAnswer(&answer, []string{id}, writes)
	if !answer.Failed && !writes {
		c.checkRows(id, &answer)
	}
	return answer.State == upstream.Idle
}

// run sends a statement or COMMIT and returns its answer.
func (c *Caller) run(session Session, cmd command.Command, route *catalog.Route, transaction string, began time.Time) (Answer, bool) {
	c.recordRequest(&cmd, route, transaction, began)
	answer, open := session.Ask(cmd)
	if open && answer.UnknownStatement {
		c.Judge.RecordViolation("request %s: %q is unknown although it was prepared", cmd.RequestID, cmd.Name)
	}
	if open && !answer.Failed {
		c.Judge.CheckAnswer(cmd.RequestID, &answer)
	}
	return answer, open
}

// recordAnswer counts the final answer to an operation and reports to the judge what it states
// about the operation's writes.
func (c *Caller) recordAnswer(answer *Answer, ids []string, wrote bool) {
	switch {
	case !answer.Failed:
		c.Served++
		if wrote {
			c.Judge.RecordAcknowledged(ids)
		}
	case answer.NotRun:
		c.Refused++
		c.Judge.RecordNotRun(ids)
	default:
		c.Unknown++
	}
}

// checkRows checks that an answer belongs to the read and that the read ran with the session's
// values.
func (c *Caller) checkRows(id string, answer *Answer) {
	if len(answer.Rows) != 2 || !signedFor(answer.Signature, id) {
		c.Judge.RecordViolation("the answer to %s has signature %s and %d rows", id, answer.Signature, len(answer.Rows))
		return
	}
	if expected := managed.ValuesText(c.values); string(answer.Rows[1]) != expected {
		c.Judge.RecordViolation("read %s ran with values %q, the session has %q", id, answer.Rows[1], expected)
	}
}

// signedFor reports whether a signature of a stand-in server is one for a request.
func signedFor(signature, id string) bool {
	rest, found := strings.CutPrefix(signature, id)
	return found && (rest == "" || rest[0] == '#')
}

// transaction runs a random transaction. It returns false if the session has ended.
func (c *Caller) transaction(session Session, route *catalog.Route) bool {
	began := time.Now()
	kind, begin := command.Begin, "BEGIN"
	if c.Random.IntN(3) == 0 {
		kind, begin = command.BeginReadOnly, "BEGIN READ"
	}
	name := c.nextID()
	if answer, open := session.Ask(command.Command{Kind: kind, RequestID: name, Text: begin}); !open || answer.Failed {
		return open
	}
	var writes []string
	for range c.Random.IntN(maxStatements) {
		if c.Texts.IntN(4) == 0 && !c.prepareStatements(session) {
			return false
		}
		if c.Texts.IntN(6) == 0 && !c.set(session, fmt.Sprintf("v%d", c.Texts.IntN(3)), fmt.Sprint(c.Texts.IntN(5))) {
			return false
		}
		id := c.nextID()
		writing := kind == command.Begin && c.Random.IntN(2) == 0
		if writing {
			writes = append(writes, id)
		}
		answer, open := c.run(session, c.statement(id, writing), route, name, began)
		if !open {
			return false
		}
		if answer.Failed {
			c.recordAnswer(&answer, writes, true)
			return c.rollBack(session)
		}
		if !writing {
			c.checkRows(id, &answer)
		}
		c.pause(maxStatementPauseMillis)
	}
	if c.Random.IntN(5) == 0 {
		return c.rollBack(session)
	}
	if c.Texts.IntN(6) == 0 && !c.set(session, "v0", fmt.Sprint(c.Texts.IntN(5))) {
		return false
	}
	commit := command.Command{Kind: command.Commit, RequestID: c.nextID(), Text: "COMMIT"}
	answer, open := c.run(session, commit, route, name, began)
	if open {
		c.recordAnswer(&answer, writes, len(writes) > 0)
	}
	return open
}

func (c *Caller) rollBack(session Session) bool {
	_, open := session.Ask(command.Command{Kind: command.Rollback, RequestID: c.nextID(), Text: "ROLLBACK"})
	return open
}
