// Package group implements the state machine that serves one database group on the node
// that owns it.
//
// Machine.Step takes an event with its time and returns effects as data. It uses no
// clock, I/O, random numbers or goroutines, so the node's runtime and the simulator run
// the same code. The machine decides which server runs a request and when, whether a
// request waits or is rejected, when an answer may be released, and when a server is
// unfit. The safety arguments are in confirm.go (acknowledgement) and reads.go
// (freshness). Neither depends on this node being the group's only owner.
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
	// Listener is unique to one incarnation of a listener process.
	Listener uint64 `msgpack:"l"`
	Session  uint64 `msgpack:"s"`
}

// RequestID identifies a request. The numbers of a session are strictly increasing.
type RequestID struct {
	Session SessionID `msgpack:"s"`
	Number  uint64    `msgpack:"n"`
}

// String formats the identifier for logs and traces.
func (r RequestID) String() string {
	return fmt.Sprintf("%x.%d.%d", r.Session.Listener, r.Session.Session, r.Number)
}

// Request describes a request to the machine.
type Request struct {
	ID     RequestID `msgpack:"id"`
	Caller string    `msgpack:"c"`
	Weight int       `msgpack:"w"`
	// ReadOnly is true when a replica may run the request.
	ReadOnly bool `msgpack:"ro"`
	// Begins is true when the request opens an explicit transaction.
	Begins bool `msgpack:"b"`
	// InTransaction is true when the caller has an open transaction.
	InTransaction bool `msgpack:"tx"`
	// MayCommit is true when running the request could commit something.
	MayCommit bool        `msgpack:"mc"`
	Rule      policy.Rule `msgpack:"r"`
	// Floor is the minimum position that the caller carries; zero if it carries none.
	Floor position.Position `msgpack:"f"`
}

// Report is a server's answer to a status query.
type Report = replication.Report

// RunOutcome says how a run on a server ended.
type RunOutcome uint8

// The outcomes of a run.
const (
	// Completed: the complete answer, success or SQL error, has arrived.
	Completed RunOutcome = iota
	// NotStarted: no byte reached the server, or the server rejected the request before running it.
	NotStarted
	// MustWrite: a read-only server rejected a statement that writes; it was not run.
	MustWrite
	// Lost: the connection ended after the request was sent and before any part
	// of the answer was passed on.
	Lost
	// LostPartway: like Lost, but a part of the answer has been passed on.
	LostPartway
)

// RunResult is the end of a run.
type RunResult struct {
	Outcome RunOutcome `msgpack:"o"`
	// Wrote is true when the run committed something. Position is the server's log
	// position read on the same connection after the run, if Run.Confirm requested it.
	Wrote    bool              `msgpack:"w"`
	Position position.Position `msgpack:"p"`
	// TransactionOpen is true when the connection has an open transaction after the run.
	TransactionOpen bool `msgpack:"t"`
}

// Event is an input of the machine.
type Event interface{ groupEvent() }

// The events.
type (
	// Arrive adds a new request.
	Arrive struct{ Request Request }
	// Finish reports the end of a run.
	Finish struct {
		ID     RequestID
		Server int
		Result RunResult
	}
	// StatusAnswer carries a server's answer to the status query with number Ask.
	StatusAnswer struct {
		Server int
		Ask    uint64
		Report Report
	}
	// StatusFailure reports that the status query with number Ask failed.
	StatusFailure struct {
		Server int
		Ask    uint64
	}
	// SessionEnd reports that a caller or its listener has disconnected.
	SessionEnd struct{ Session SessionID }
	// Cancel cancels a request.
	Cancel struct{ ID RequestID }
	// Leaving marks a server for a planned stop, or removes the mark.
	Leaving struct {
		Server int
		On     bool
	}
	// Accept opens or closes the machine for new requests. A draining node closes it.
	Accept struct{ Open bool }
	// Resize changes this owner's share of each server's limits.
	Resize struct{ Slots, Connections int }
	// Fresh sets until when new work may begin: the node's view of leaving marks and
	// policies counts as current until then.
	Fresh struct{ Until time.Duration }
	// Tick only advances the time.
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
	// Run starts a request on a server. If Pinned is set, it uses the connection of the
	// session's open transaction.
	Run struct {
		ID     RequestID
		Server int
		Pinned bool
		// Confirm is set when the answer must be held until the server's log position
		// after the run is confirmed. The result must carry that position.
		Confirm bool
	}
	// Reply ends a request. With Kind None the held answer is released; otherwise it is
	// discarded and the failure is sent.
	Reply struct {
		ID         RequestID
		Kind       failure.Kind
		RetryAfter time.Duration
		// Position is the position the caller may carry; zero if nothing was written.
		Position position.Position
		// Server is the server that ran the request, or -1.
		Server int
		// FromReplica is true when a replica served the answer.
		FromReplica bool
	}
	// Ask sends the status query with the given number.
	Ask struct {
		Server int
		Number uint64
	}
	// Disconnect closes every connection to a server.
	Disconnect struct{ Server int }
	// Abort closes the connection of a session's open transaction.
	Abort struct{ Session SessionID }
	// CancelRun sends a cancel request for a running request.
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
