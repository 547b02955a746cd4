// Package upstream is the port to database servers: connections on which
// batches of operations run, pools of them, and what their answers tell of a
// server.
package upstream

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/position"
	"dewknot/internal/proxy/command"
)

// OperationKind is what an operation asks a server to do.
type OperationKind uint8

// The kinds of operations.
const (
	// ResetSession drops the connection's session values and prepared statements.
	ResetSession OperationKind = iota
	// SetValue sets a session value.
	SetValue
	// PrepareStatement prepares a statement under a name.
	PrepareStatement
	// Begin opens a transaction that only the primary accepts.
	Begin
	// BeginReadOnly opens a transaction that any server accepts.
	BeginReadOnly
	// RunStatement runs a caller's read or write.
	RunStatement
	// Commit commits the open transaction on behalf of a caller.
	Commit
	// Rollback ends the open transaction without effect.
	Rollback
	// ReportStatus asks for the server's role, term and position.
	ReportStatus
	// HoldReplication keeps a replica from receiving, and asks for its status;
	// a promotion, ResumeReplication or a restart ends it.
	HoldReplication
	// ResumeReplication lets a replica receive again.
	ResumeReplication
	// StepDown makes a primary of a lower term a replica, and asks for its status.
	StepDown
)

// Operation is one message to a server.
type Operation struct {
	Kind OperationKind
	// RequestID is the caller's, for RunStatement and Commit.
	RequestID string
	// Floor, if not zero, makes the server refuse a read or BeginReadOnly
	// unless its log has reached the position.
	Floor position.Position
	// Statement is what RunStatement runs.
	Statement *command.Statement
	// Text is passed on as the caller wrote it, for Commit.
	Text string
	// Name is a session value's or a prepared statement's name.
	Name string
	// Value is a session value.
	Value string
	// Definition is what PrepareStatement prepares.
	Definition command.PreparedStatement
	// Term, above all terms known, comes with HoldReplication and StepDown.
	Term uint64
}

// ReportsStatus tells the operations that a server answers with its status.
func (k OperationKind) ReportsStatus() bool {
	return k == ReportStatus || k == HoldReplication || k == StepDown
}

// Outcome is what an answer says about an operation.
type Outcome uint8

// The outcomes of answered operations.
const (
	// Succeeded: it ran.
	Succeeded Outcome = iota
	// Busy: it did not run, for want of a slot.
	Busy
	// Behind: it did not run; the log has not reached the floor.
	Behind
	// NotPrimary: it did not run; the server is not, or no longer, the primary.
	NotPrimary
	// StatementMissing: it did not run; the prepared name is unknown there.
	StatementMissing
	// ConnectionLimit: the server accepts no further connection.
	ConnectionLimit
	// WrongServer: another server answers at this address.
	WrongServer
	// Failed: it ran and failed.
	Failed
	// TimedOut: it ran longer than the server allows.
	TimedOut
	// Rejected: the server does not accept it in this state.
	Rejected
	// NoConnection: it did not run; the node that holds the connections to the
	// server had none free in time.
	NoConnection
	// Unreached: it did not run; the node that holds the connections to the
	// server does not reach it.
	Unreached
)

var outcomeNames = [...]string{
	"succeeded", "busy", "behind", "not_primary", "statement_missing", "connection_limit",
	"wrong_server", "failed", "timed_out", "rejected", "no_connection", "unreached",
}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// NotRun reports whether the outcome promises that the operation did not run.
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

// Status is a server's report of itself.
type Status struct {
	Primary bool
	// Term is the term the server is in.
	Term uint64
	// Received is the last position that the server's log holds.
	Received position.Position
	// Busy and Connections count slots and connections in use.
	Busy        int
	Connections int
}

// Result is a server's answer to one operation.
type Result struct {
	Outcome Outcome
	// Rows belong to the caller.
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

// UsesSlot tells the operations that take one of a server's slots while they run
// on behalf of a caller.
func (k OperationKind) UsesSlot() bool { return k == RunStatement || k == Commit }

// Connection is a connection to a server. It is used by one goroutine at a time.
type Connection interface {
	// Send writes operations in one go; their answers are of no use after the
	// deadline.
	Send(operations []Operation, deadline time.Time) error
	// Receive reads the answer to the oldest operation that has none yet.
	Receive(kind OperationKind, deadline time.Time) (Result, error)
	// Alive reports whether the connection is idle and not closed by the server.
	Alive() bool
	// Close closes the connection; the server rolls back what is open.
	Close()
}

// Dialer opens connections.
type Dialer interface {
	// Dial connects to a server; the server must be the one that the target names. An
	// answered refusal is a RefusedError.
	Dial(ctx context.Context, target Target) (Connection, position.Position, error)
}

// Target is what a connection is opened to, and in whose name.
type Target struct {
	Address   string
	Service   string
	Server    string
	Principal Principal
}

// Principal is in whose name a connection to a server is opened: a tenant's, by the
// tenant's name, or the node's own. A tenant's work runs on connections of its own only.
type Principal string

// Own is the principal of the node itself: of its questions about a server, which may run
// on any connection, and of callers who need no key.
const Own Principal = ""

// accepts reports whether work of the principal may run on a connection of another one.
func (p Principal) accepts(opened Principal) bool { return p == Own || p == opened }

// RefusedError is a connection that a server refused with an answer.
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

// ErrNoConnection is returned when the pool's limit allows no connection in time.
var ErrNoConnection = errors.New("no connection to the server is free; wait, or raise its connection limit")
