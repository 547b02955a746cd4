// Package failure defines the typed errors that dewknot returns to callers.
//
// Every error states whether the request was certainly not run or its outcome is unknown. It
// has an SQLSTATE, a remedy and, for a rejected request, the time after which the caller may
// retry. docs/ERRORS.md documents the mapping to SQLSTATEs.
package failure

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/bounded"
)

// Kind is the type of a failure.
type Kind uint8

// The kinds of failure. Their order is part of the protocol between nodes: new kinds must be
// added at the end.
const (
	None Kind = iota
	// Overloaded: the queue is full or the request cannot be served within its wait limit.
	Overloaded
	// WaitLimit: the request waited for as long as its policy allows.
	WaitLimit
	// NoPrimary: the group has no confirmed primary.
	NoPrimary
	// NoServer: no server of the group is fit to serve the request.
	NoServer
	// RefusedByPolicy: a policy rule rejects this kind of request.
	RefusedByPolicy
	// OutcomeUnknown: the request may or may not have taken effect.
	OutcomeUnknown
	// TransactionLost: the transaction was rolled back completely.
	TransactionLost
	// Unsupported: the statement cannot run on a pooled connection.
	Unsupported
	// Protocol: the caller violated the wire protocol.
	Protocol
	// Authentication: the caller could not be authenticated.
	Authentication
	// Stopping: the node is shutting down as planned.
	Stopping
	// UnknownService: no service with that name is configured.
	UnknownService
	// NotOwner: the node that received the request does not own the group.
	NotOwner
	// NotReady: the node has no configuration yet.
	NotReady
	// BadParameter: a dewknot.* parameter has an invalid value.
	BadParameter
	// Canceled: the caller canceled the request while it was queued.
	Canceled
	// FailedTransaction: the transaction has failed and only accepts ROLLBACK.
	FailedTransaction
	// TooLarge: a message exceeds the size limit.
	TooLarge
	// Isolated: the node has recently reached neither another node nor the store.
	Isolated
	// ServerFailed: a server ran the statement, and it failed.
	ServerFailed
	// ServerTimedOut: the statement exceeded the server's time limit.
	ServerTimedOut
	// UnknownStatement: no statement with that name is prepared.
	UnknownStatement
	// ReadOnlyTransaction: the transaction is read-only.
	ReadOnlyTransaction
	// InvalidCommand: the command is unknown or not allowed in this state.
	InvalidCommand
	// TooManyValues: the session has reached the node's limit of values or statements.
	TooManyValues
	// UnknownKey: the caller's key belongs to no tenant or was revoked.
	UnknownKey
	// OverQuota: the tenant's quota is exhausted.
	OverQuota
	// OutsideHomes: no server that can run the request is in a region that it may use.
	OutsideHomes
	// StatementTooLarge: the message to the server would exceed the size limit.
	StatementTooLarge
)

type description struct {
	name     string
	sqlState string
	message  string
	remedy   string
	fatal    bool
}

var descriptions = map[Kind]description{
	Overloaded:          {"overloaded", "53000", "request refused: the queue for this group is full", "send the request again after the time given in the detail", false},
	WaitLimit:           {"wait_limit", "53400", "request refused: it waited as long as its policy allows", "send the request again after the time given in the detail, or allow a longer wait in the policy", false},
	NoPrimary:           {"no_primary", "57P03", "request refused: the group has no confirmed primary at the moment", "send the request again after the time given in the detail", false},
	NoServer:            {"no_server", "57P03", "request refused: no server of the group is fit to serve it", "send the request again after the time given in the detail; operators see 'dewknot status'", false},
	RefusedByPolicy:     {"refused_by_policy", "42501", "request refused by the policy of this service", "come back after the time given in the detail", false},
	OutcomeUnknown:      {"outcome_unknown", "08007", "the outcome of the request is unknown: it may have taken effect", "read back whether it took effect before sending it again", false},
	TransactionLost:     {"transaction_lost", "40001", "the transaction was rolled back: its back-end connection was lost", "run the whole transaction again", false},
	Unsupported:         {"unsupported", "0A000", "the statement needs a connection of its own, which pooling cannot carry", "use a transaction, or connect to the database directly for this statement", false},
	Protocol:            {"protocol", "08P01", "protocol violation", "check the client library", true},
	Authentication:      {"authentication", "28P01", "authentication failed", "check user name and password; operators set verifiers with 'dewknot user'", true},
	Stopping:            {"stopping", "57P01", "this node is being stopped as planned", "connect again: other nodes serve", true},
	UnknownService:      {"unknown_service", "3D000", "no such service", "name a configured service as the database", true},
	NotOwner:            {"not_owner", "57P03", "the node asked does not own the group", "send the request again", false},
	NotReady:            {"not_ready", "57P03", "this node has no configuration yet", "connect to another node, or again shortly", true},
	BadParameter:        {"bad_parameter", "22023", "a dewknot parameter has a value that cannot be used", "see docs/CALLERS.md for the parameters and their forms", false},
	Canceled:            {"canceled", "57014", "canceling statement due to user request", "none needed: the statement was not run", false},
	FailedTransaction:   {"failed_transaction", "25P02", "current transaction is aborted, commands ignored until end of transaction block", "send ROLLBACK", false},
	Isolated:            {"isolated", "57P03", "request refused: this node has lost contact with the others", "connect to another node, or send the request again after the time given in the detail", false},
	ServerFailed:        {"server_failed", "XX000", "the server ran the statement, and it failed", "see the detail; a statement that only reads may be sent again", false},
	ServerTimedOut:      {"server_timed_out", "57014", "the server ended the statement, which ran too long", "see the detail; read back before sending a write again", false},
	UnknownStatement:    {"unknown_statement", "26000", "no statement is prepared under that name", "prepare it in this session first", false},
	ReadOnlyTransaction: {"read_only_transaction", "25006", "the transaction was opened for reads only", "open a transaction that may write", false},
	InvalidCommand:      {"invalid_command", "42601", "the command is not known, or not allowed in this state", "check the command; a transaction begins and ends once", false},
	TooManyValues:       {"too_many_values", "54000", "the session keeps as many values or statements as a node allows", "deallocate what is no longer used, or open another session", false},
	UnknownKey:          {"unknown_key", "28000", "the key is not known, or was taken away", "use a key that the operator has given to your tenant; operators see its keys in the configuration", true},
	OverQuota:           {"over_quota", "53400", "request refused: the tenant has used up its quota", "send the request again after the time given in the detail, or ask the operator for a larger quota", false},
	OutsideHomes:        {"outside_homes", "57P03", "request refused: no server that can run it stands in a region to which it may go", "send the request again after the time given in the detail; operators see the regions of route and tenant in the configuration", false},
	StatementTooLarge:   {"statement_too_large", "54000", "the message to the server would exceed the size limit", "send less in one message; the name of a prepared statement is longer on servers", false},
	TooLarge:            {"too_large", "54000", "message exceeds the size limit", "send less in one message, or raise max_message_bytes in the settings", true},
}

// String returns the name of the kind as it appears in metrics and logs.
func (k Kind) String() string {
	if k == None {
		return "none"
	}
	if found, ok := descriptions[k]; ok {
		return found.name
	}
	return fmt.Sprintf("kind_%d", uint8(k))
}

// SQLState returns the five-character SQLSTATE that is sent to the caller.
func (k Kind) SQLState() string { return descriptions[k].sqlState }

// Fatal reports whether the failure closes the caller's connection.
func (k Kind) Fatal() bool { return descriptions[k].fatal }

// NotRun reports whether the kind guarantees that the request was not run.
func (k Kind) NotRun() bool {
	switch k {
	case None, OutcomeUnknown, ServerFailed, ServerTimedOut:
		return false
	default:
		return true
	}
}

// Error is a failure of a request.
type Error struct {
	Kind Kind
	// Detail names the invalid value or the place of the failure. It may be empty.
	Detail string
	// RetryAfter is the time after which the caller may retry, 0 if not applicable.
	RetryAfter time.Duration
}

// New returns an error with a detail.
func New(kind Kind, detail string) *Error { return &Error{Kind: kind, Detail: detail} }

// Refuse returns an error with a time after which the caller may retry.
func Refuse(kind Kind, retryAfter time.Duration) *Error {
	return &Error{Kind: kind, RetryAfter: retryAfter}
}

// Message returns the primary message.
func (e *Error) Message() string { return descriptions[e.Kind].message }

// Remedy returns what the caller or operator can do.
func (e *Error) Remedy() string { return descriptions[e.Kind].remedy }

// maxDetailBytes bounds a detail, which may contain a name of any size.
const maxDetailBytes = 512

// FullDetail returns the detail, shortened if it is long, with the retry time, as sent to callers.
func (e *Error) FullDetail() string {
	detail := bounded.Text(e.Detail, maxDetailBytes)
	if e.RetryAfter <= 0 {
		return detail
	}
	retry := fmt.Sprintf("retry after %d ms", e.RetryAfter.Milliseconds())
	if detail == "" {
		return retry
	}
	return detail + "; " + retry
}

// Error implements the error interface. The text includes the remedy.
func (e *Error) Error() string {
	text := e.Message()
	if detail := e.FullDetail(); detail != "" {
		text += " (" + detail + ")"
	}
	return text + "; remedy: " + e.Remedy()
}

// As returns the first *Error in the chain of err, if there is one.
func As(err error) (*Error, bool) {
	var found *Error
	if errors.As(err, &found) {
		return found, true
	}
	return nil, false
}
