// Package upstream defines the interface to database servers. It contains connections that run
// batches of operations, connection pools, and statistics about each server from its answers.
package upstream

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/position"
	"dewknot/internal/proxy/command"
)

// OperationKind is the type of an operation.
type OperationKind uint8

// The kinds of operations.
const (
	// ResetSession clears the connection's session values and prepared statements.
	ResetSession OperationKind = iota
	// SetValue sets a session value.
	SetValue
	// PrepareStatement prepares a statement under a name.
	PrepareStatement
	// Begin opens a transaction. Only the primary accepts it.
	Begin
	// BeginReadOnly opens a read-only transaction. Any server accepts it.
	BeginReadOnly
	// RunStatement runs a caller's read or write.
	RunStatement
	// Commit commits the open transaction for a caller.
	Commit
	// Rollback rolls back the open transaction.
	Rollback
	// ReportStatus requests the server's role, term and position.
	ReportStatus
	// HoldReplication stops a replica from receiving and requests its status. A promotion,
	// ResumeReplication or a restart ends the hold.
	HoldReplication
	// ResumeReplication lets a replica receive again.
	ResumeReplication
	// StepDown demotes a primary of a lower term to a replica and requests its status.
	StepDown
)

// Operation is one message to a server.
type Operation struct {
	Kind OperationKind
	// RequestID is the caller's request ID, for RunStatement and Commit.
	RequestID string
	// MinimumPosition, if not zero, makes the server reject a read or BeginReadOnly unless its log
	// has reached the position.
	MinimumPosition position.Position
	// Statement is what RunStatement runs.
	Statement *command.Statement
	// Text is the caller's original text, for Commit.
	Text string
	// Name is the name of a session value or a prepared statement.
	Name string
	// Value is a session value.
	Value string
	// Definition is what PrepareStatement prepares.
	Definition command.PreparedStatement
	// Term is higher than all known terms, for HoldReplication and StepDown.
	Term uint64
}

// ReportsStatus reports whether a server answers the operation with its status.
func (k OperationKind) ReportsStatus() bool {
	return k == ReportStatus || k == HoldReplication || k == StepDown
}

// Outcome is the result code of an operation.
type Outcome uint8

// The outcomes of answered operations.
const (
	// Succeeded: the operation ran.
	Succeeded Outcome = iota
	// Busy: the operation did not run because the server had no free slot.
	Busy
	// Behind: the operation did not run because the log has not reached the minimum position.
	Behind
	// NotPrimary: the operation did not run because the server is not, or no longer, the primary.
	NotPrimary
	// StatementMissing: the operation did not run because the server does not know the prepared
	// name.
	StatementMissing
	// ConnectionLimit: the server accepts no more connections.
	ConnectionLimit
	// WrongServer: another server answers at this address.
	WrongServer
	// Failed: the operation ran and failed.
	Failed
	// TimedOut: the operation exceeded the server's time limit.
	TimedOut
	// Rejected: the server does not accept the operation in its current state.
	Rejected
	// NoConnection: the operation did not run because the node that owns the server's connections
	// had none free in time.
	NoConnection
	// Unreached: the operation did not run because the node that owns the server's connections
	// cannot reach the server.
	Unreached
)

var outcomeNames = [...]string{
	"succeeded", "busy", "behind", "not_primary", "statement_missing", "connection_limit",
	"wrong_server", "failed", "timed_out", "rejected", "no_connection", "unreached",
}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// NotRun reports whether the outcome guarantees that the operation did not run.
func (o Outcome) NotRun() bool {
	switch o {
	case Busy, Behind, NotPrimary, StatementMissing, ConnectionLimit, WrongServer, NoConnection, Unreached:
		return true
	default:
		return false
	}
}

// TransactionState is a connection's state after an operation.
type TransactionState uint8

// The transaction states.
const (
	Idle TransactionState = iota
	InTransaction
	FailedTransaction
)

// Status is a server's report of its own state.
type Status struct {
	Primary bool
	// Term is the server's current term.
	Term uint64
	// Received is the last position in the server's log.
	Received position.Position
	// Busy and Connections count the slots and connections in use.
	Busy        int
	Connections int
}

// MaxAnswerBytes is the size limit of a server's answer to one operation, which connections enforce.
const MaxAnswerBytes = 16 << 20

// Result is a server's answer to one operation.
type Result struct {
	Outcome Outcome
	// Rows are owned by the caller.
	Rows [][]byte
	// Signature proves that the server ran the operation.
	Signature string
	Detail    string
	State     TransactionState
	// Position is the position that the server has applied.
	Position position.Position
	// Status is set for the operations that report it.
	Status *Status
}

// UsesSlot reports whether the operation takes one of the server's slots while it runs for a
// caller.
func (k OperationKind) UsesSlot() bool { return k == RunStatement || k == Commit }

// Connection is a connection to a server. It must not be used by several goroutines at once.
type Connection interface {
	// Send writes operations in one batch. Answers after the deadline are not needed.
	Send(operations []Operation, deadline time.Time) error
	// Receive reads the next answer, which belongs to the oldest unanswered operation unless the
	// server sends answers twice. It returns ErrNoResult for an answer like that to the opening of
	// the connection, which has no result.
	Receive(kind OperationKind, deadline time.Time) (Result, error)
	// Alive reports whether the connection is idle and not closed by the server.
	Alive() bool
	// Close closes the connection. The server rolls back an open transaction.
	Close()
}

// Dialer opens connections.
type Dialer interface {
	// Dial connects to a server and checks that it is the one that the target names. It returns a
	// RefusedError if the server answered with a refusal.
	Dial(ctx context.Context, target Target) (Connection, position.Position, error)
}

// Target is the server to connect to and the principal to connect as.
type Target struct {
	Address   string
	Service   string
	Server    string
	Principal Principal
	// Direct requests a connection that doesn't lead through another node.
	Direct bool
}

// Principal is the identity under which a connection to a server is opened: a tenant's name, or Own
// for the node itself. A tenant's work only runs on the tenant's own connections.
type Principal string

// Own is the principal of the node itself. It is used for status queries, which may run on any
// connection, and for callers that need no key.
const Own Principal = ""

// mayUse reports whether work of the principal may run on a connection opened for another one.
func (p Principal) mayUse(opened Principal) bool { return p == Own || p == opened }

// RefusedError reports that a server answered a connection attempt with a refusal.
type RefusedError struct {
	Outcome Outcome
	Detail  string
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the server refused the connection: %s %s; use another server or wait", e.Outcome, e.Detail)
}

// RefusalOf returns the outcome with which a server refused a connection.
func RefusalOf(err error) (Outcome, bool) {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Outcome, true
	}
	return Succeeded, false
}

// ErrNoResult is returned by Connection.Receive for an answer without a result.
var ErrNoResult = errors.New("the answer has no result; read the next one")

// ErrNoConnection is returned when the pool's limit allows no connection in time.
var ErrNoConnection = errors.New("no connection to the server is free; wait, or raise its connection limit")
