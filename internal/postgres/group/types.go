// Package group is the reducer that serves one database group at its owner.
//
// Machine.Step takes one event with its time and returns effects as data. It
// holds no clock, I/O, random numbers or goroutines: the node's runtime and the
// simulator drive the same code. The machine decides which server runs a
// request, when it runs, waits or is refused, when an answer may be released,
// and when a server is unfit. What makes its answers safe is stated at
// confirm.go (acknowledgement) and reads.go (freshness); neither relies on this
// node being the group's only owner.
package group

import (
	"fmt"
	"time"

	"dewknot/internal/base/failure"
	"dewknot/internal/base/position"
	"dewknot/internal/postgres/policy"
	"dewknot/internal/postgres/replication"
)

// SessionID identifies a caller's connection across the fleet.
type SessionID struct {
	// Listener is unique to one run of one listener process.
	Listener uint64 `msgpack:"l"`
	Session  uint64 `msgpack:"s"`
}

// RequestID identifies a request; numbers of one session only grow.
type RequestID struct {
	Session SessionID `msgpack:"s"`
	Number  uint64    `msgpack:"n"`
}

// String formats the identifier for logs and traces.
func (r RequestID) String() string {
	return fmt.Sprintf("%x.%d.%d", r.Session.Listener, r.Session.Session, r.Number)
}

// Request is what the machine needs to know of a request.
type Request struct {
	ID     RequestID `msgpack:"id"`
	Caller string    `msgpack:"c"`
	Weight int       `msgpack:"w"`
	// ReadOnly is true when a replica may run the request.
	ReadOnly bool `msgpack:"ro"`
	// Begins is true when the request opens an explicit transaction.
	Begins bool `msgpack:"b"`
	// InTransaction is true when the caller is inside a transaction.
	InTransaction bool `msgpack:"tx"`
	// MayCommit is true when running the request could commit something.
	MayCommit bool        `msgpack:"mc"`
	Rule      policy.Rule `msgpack:"r"`
	// Floor is the position that the caller carries; zero if it carries none.
	Floor position.Position `msgpack:"f"`
}

// Report is a server's answer to a status question.
type Report = replication.Report

// RunOutcome says how a run on a server ended.
type RunOutcome uint8

// The outcomes of a run.
const (
	// Completed: the whole answer, success or SQL error, has arrived.
	Completed RunOutcome = iota
	// NotStarted: no byte reached the server, or the server refused before running.
	NotStarted
	// MustWrite: a read-only server refused a statement that writes; it was not run.
	MustWrite
	// Lost: the connection ended after the request was sent and before any part
	// of the answer was passed on.
	Lost
	// LostPartway: like Lost, but part of the answer has been passed on.
	LostPartway
)

// RunResult is the end of a run.
type RunResult struct {
	Outcome RunOutcome `msgpack:"o"`
	// Wrote is true when the run committed something. Position is the server's log
	// position read on the same connection after the run, if it was asked for.
	Wrote    bool              `msgpack:"w"`
	Position position.Position `msgpack:"p"`
	// TransactionOpen is true when the connection now is inside a transaction.
	TransactionOpen bool `msgpack:"t"`
}

// Event is an input of the machine.
type Event interface{ groupEvent() }

// The events.
type (
	// Arrive brings a new request.
	Arrive struct{ Request Request }
	// Finish reports the end of a run.
	Finish struct {
		ID     RequestID
		Server int
		Result RunResult
	}
	// StatusAnswer brings a server's answer to a status question.
	StatusAnswer struct {
		Server int
		Ask    uint64
		Report Report
	}
	// StatusFailure reports that a status question got no answer.
	StatusFailure struct {
		Server int
		Ask    uint64
	}
	// SessionEnd tells that a caller is gone, or that its listener is.
	SessionEnd struct{ Session SessionID }
	// Cancel asks to cancel a request.
	Cancel struct{ ID RequestID }
	// Leaving marks a server for a planned stop, or takes the mark away.
	Leaving struct {
		Server int
		On     bool
	}
	// Accept opens or closes the machine for new requests; a node that drains closes it.
	Accept struct{ Open bool }
	// Resize changes this owner's share of each server's limits.
	Resize struct{ Slots, Connections int }
	// Fresh tells until when new work may begin: the node's knowledge of marks and
	// policies counts as current until then.
	Fresh struct{ Until time.Duration }
	// Tick lets time pass.
	Tick struct{}
)

func (Arrive) groupEvent()        {}
func (Finish) groupEvent()        {}
func (StatusAnswer) groupEvent()  {}
func (StatusFailure) groupEvent() {}
func (SessionEnd) groupEvent()    {}
func (Cancel) groupEvent()        {}
func (Leaving) groupEvent()       {}
func (Accept) groupEvent()        {}
func (Resize) groupEvent()        {}
func (Fresh) groupEvent()         {}
func (Tick) groupEvent()          {}

// Effect is an output of the machine.
type Effect interface{ groupEffect() }

// The effects.
type (
	// Run tells to run a request on a server; Pinned uses the session's connection.
	Run struct {
		ID     RequestID
		Server int
		Pinned bool
		// Confirm is set when the answer must be held until the server's position
		// after the run, which the result must carry, is confirmed.
		Confirm bool
	}
	// Reply ends a request: with Kind None its held answer is released, otherwise
	// the answer is discarded and the failure sent.
	Reply struct {
		ID         RequestID
		Kind       failure.Kind
		RetryAfter time.Duration
		// Position is the position the caller may carry; zero if nothing was written.
		Position position.Position
		// Server is the one that ran the request, -1 if none did.
		Server int
		// FromReplica is true when a replica served the answer.
		FromReplica bool
	}
	// Ask tells to send a status question.
	Ask struct {
		Server int
		Number uint64
	}
	// Disconnect tells to close every connection to a server.
	Disconnect struct{ Server int }
	// Abort tells to close the connection that a session's transaction holds.
	Abort struct{ Session SessionID }
	// CancelRun tells to send a cancel request for a running request.
	CancelRun struct {
		ID     RequestID
		Server int
	}
)

func (Run) groupEffect()        {}
func (Reply) groupEffect()      {}
func (Ask) groupEffect()        {}
func (Disconnect) groupEffect() {}
func (Abort) groupEffect()      {}
func (CancelRun) groupEffect()  {}
