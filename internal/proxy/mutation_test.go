package proxy_test

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/upstream"
)

// brokenMechanism is a safety mechanism that is disabled between the proxy and the servers. The
// judge must detect each.
type brokenMechanism uint8

const (
	nothingBroken brokenMechanism = iota
	// minimumsIgnored: servers run reads without the minimum position.
	minimumsIgnored
	// primaryNotProved: a transaction for the primary is opened on any server.
	primaryNotProved
	// lostMeansNotRun: a lost answer counts as a promise that the operation did not run.
	lostMeansNotRun
	// valuesNotSet: session values are not transferred to other connections.
	valuesNotSet
	// rollbackIgnored: connections are returned with an open transaction.
	rollbackIgnored
	// tenantsMixed: all connections are opened as the node itself.
	tenantsMixed
	// namesAppendShapes: the names of prepared statements contain their shapes.
	namesAppendShapes
	// statementsEndAtLineFeed: a line feed ends a message to a server.
	statementsEndAtLineFeed
	// rowsEndAtLineFeed: a line feed ends a message of a server.
	rowsEndAtLineFeed
	// answersTakenAsTheyCome: each answer counts as the one to the oldest operation.
	answersTakenAsTheyCome
	// beginIgnored: transactions are not opened on the server.
	beginIgnored
	// valuesNotSetInTransactions: session values do not reach a connection within a transaction.
	valuesNotSetInTransactions
	// commitAnswered: a COMMIT is answered without the server.
	commitAnswered
	// idsMixed: statements have the ID of another request.
	idsMixed
	// transactionsSplit: each statement of a transaction runs in a transaction of its own.
	transactionsSplit
	brokenMechanisms
)

// noticedAs holds a part of the violation that a broken mechanism must cause; any will do for those
// without one.
var noticedAs = map[brokenMechanism]string{
	rollbackIgnored:            "ran inside the transaction of",
	namesAppendShapes:          "but a server ran",
	statementsEndAtLineFeed:    "but a server ran",
	rowsEndAtLineFeed:          "which no server gave for it",
	answersTakenAsTheyCome:     "which no server gave for it",
	beginIgnored:               "ran outside its transaction",
	valuesNotSetInTransactions: "ran with values",
	commitAnswered:             "which no server gave for it",
	idsMixed:                   "that no caller sent",
	transactionsSplit:          "ran outside the connection that ran the first statement",
}

// breakingDialer disables a mechanism on all its connections.
type breakingDialer struct {
	upstream.Dialer
	broken brokenMechanism
}

func (d *breakingDialer) Dial(
	ctx context.Context, target upstream.Target,
) (upstream.Connection, position.Position, error) {
	if d.broken == tenantsMixed {
		target.Principal = upstream.Own
	}
	opened, at, err := d.Dialer.Dial(ctx, target)
	if err != nil || d.broken == nothingBroken {
		return opened, at, err
	}
	return &breakingConnection{Connection: opened, broken: d.broken}, at, nil
}

type breakingConnection struct {
	upstream.Connection
	broken brokenMechanism
	// inTransaction is set while the caller's transaction is open.
	inTransaction bool
	// answers counts the answers received.
	answers int
	// hidden tells of each unanswered operation whether its answer is kept from the node.
	hidden []bool
}

func (c *breakingConnection) Send(operations []upstream.Operation, deadline time.Time) error {
	var changed []upstream.Operation
	for _, operation := range operations {
		if c.broken == transactionsSplit && c.inTransaction && operation.Kind == upstream.RunStatement {
			changed = append(changed, upstream.Operation{Kind: upstream.Rollback}, upstream.Operation{Kind: upstream.Begin})
			c.hidden = append(c.hidden, true, true)
		}
		c.hidden = append(c.hidden, false)
		changed = append(changed, c.change(operation))
	}
	return c.Connection.Send(changed, deadline)
}

func (c *breakingConnection) change(operation upstream.Operation) upstream.Operation {
	kind := operation.Kind
	switch {
	case c.broken == minimumsIgnored:
		operation.MinimumPosition = position.Position{}
	case c.broken == primaryNotProved && kind == upstream.Begin:
		operation.Kind = upstream.BeginReadOnly
	case c.broken == valuesNotSet && kind == upstream.SetValue:
		operation.Kind = upstream.ResetSession
	case c.broken == rollbackIgnored && kind == upstream.Rollback, c.broken == beginIgnored && kind == upstream.Begin,
		c.broken == valuesNotSetInTransactions && kind == upstream.SetValue && c.inTransaction:
		operation.Kind, operation.Name = upstream.SetValue, ""
	case c.broken == commitAnswered && kind == upstream.Commit:
		operation.Kind = upstream.Rollback
	case c.broken == idsMixed && kind == upstream.RunStatement:
		statement := *operation.Statement
		statement.RequestID += "-"
		operation.RequestID, operation.Statement = statement.RequestID, &statement
	case c.broken == namesAppendShapes:
		appendShape(&operation)
	case c.broken == statementsEndAtLineFeed && kind == upstream.RunStatement:
		statement := *operation.Statement
		statement.Text, _, _ = strings.Cut(statement.Text, "\n")
		statement.Arguments, _, _ = strings.Cut(statement.Arguments, "\n")
		operation.Statement = &statement
	}
	switch kind {
	case upstream.Begin, upstream.BeginReadOnly:
		c.inTransaction = true
	case upstream.Commit, upstream.Rollback:
		c.inTransaction = false
	default:
	}
	return operation
}

// appendShape changes an operation to what a server reads if the name of a prepared statement is "r_" and
// its shape, which may contain blanks.
func appendShape(operation *upstream.Operation) {
	switch {
	case operation.Kind == upstream.PrepareStatement:
		access := "READ"
		if operation.Definition.Writes {
			access = "WRITE"
		}
		fields := strings.SplitN("r_"+operation.Definition.Shape+" "+access+" "+operation.Definition.Shape, " ", 3)
		operation.Name = fields[0]
		operation.Definition.Shape = fields[2]
	case operation.Kind == upstream.RunStatement && operation.Statement.Prepared:
		statement := *operation.Statement
		operation.Name, statement.Arguments, _ = strings.Cut("r_"+statement.Definition.Shape+" "+statement.Arguments, " ")
		operation.Statement = &statement
	}
}

func (c *breakingConnection) Receive(kind upstream.OperationKind, deadline time.Time) (upstream.Result, error) {
	for len(c.hidden) > 0 && c.hidden[0] {
		if result, err := c.Connection.Receive(kind, deadline); err != nil {
			return result, err
		}
		c.hidden = c.hidden[1:]
	}
	if len(c.hidden) > 0 {
		c.hidden = c.hidden[1:]
	}
	result, err := c.Connection.Receive(kind, deadline)
	if err != nil && c.broken == lostMeansNotRun {
		return upstream.Result{Outcome: upstream.Busy}, nil
	}
	c.answers++
	switch {
	case c.broken == rollbackIgnored && kind == upstream.Rollback:
		result.State = upstream.Idle
	case c.broken == beginIgnored && c.inTransaction:
		result.State = upstream.InTransaction
	case c.broken == commitAnswered && kind == upstream.Commit:
		result.Signature = "commit" + strconv.Itoa(c.answers)
	case c.broken == rowsEndAtLineFeed:
		for i, row := range result.Rows {
			result.Rows[i], _, _ = bytes.Cut(row, []byte("\n"))
		}
	case c.broken == answersTakenAsTheyCome:
		c.makeFit(kind, &result)
	}
	return result, err
}

// Alive hides from the node that answers have arrived although nothing was asked.
func (c *breakingConnection) Alive() bool {
	return c.broken == answersTakenAsTheyCome || c.Connection.Alive()
}

// uniqueSuffix separates a signature from the number that makes it differ from known ones.
const uniqueSuffix = "\x00copy"

// makeFit changes an answer so that the node's checks do not recognize it as one to another operation.
func (c *breakingConnection) makeFit(kind upstream.OperationKind, result *upstream.Result) {
	if result.Outcome != upstream.Succeeded {
		return
	}
	switch {
	case kind.UsesSlot():
		result.Signature += uniqueSuffix + strconv.Itoa(c.answers)
	default:
		result.Signature, result.Rows = "", nil
	}
	switch kind {
	case upstream.Begin, upstream.BeginReadOnly:
		result.State = upstream.InTransaction
	case upstream.Commit, upstream.Rollback:
		result.State = upstream.Idle
	default:
	}
}

// TestBrokenMechanismsAreNoticed guards against a judge that overlooks a broken safety mechanism.
func TestBrokenMechanismsAreNoticed(t *testing.T) {
	const seeds = 12
	for broken := minimumsIgnored; broken < brokenMechanisms; broken++ {
		noticed := false
		for seed := uint64(1); seed <= seeds && !noticed; seed++ {
			bubbletest.Test(t, func(*testing.T) {
				fleet := newFleet(fewNodes, 0, broken)
				fleet.repeatedAnswers = broken == answersTakenAsTheyCome
				noticed = slices.ContainsFunc(simulateOn(fleet, seed, 25*time.Second).violations, func(violation string) bool {
					return strings.Contains(violation, noticedAs[broken])
				})
			})
		}
		must.True(t, noticed,
			must.Sprintf("mechanism %d is broken, but no seed up to %d has the violation %q", broken, seeds, noticedAs[broken]))
	}
}

// TestAnswersAreOnlyMixedByRepetitions guards against a mutation that the judge notices for another
// reason than that servers send answers again.
func TestAnswersAreOnlyMixedByRepetitions(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		must.SliceEmpty(t, simulate(1, fewNodes, 0, 25*time.Second, answersTakenAsTheyCome).violations)
	})
}
