// Package history records what callers, servers and nodes did in a run, so that
// checkers can decide afterwards whether the promises of the brief held. The
// simulator and the load tool write the same records.
package history

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/position"
)

// Outcome is what a caller was told.
type Outcome string

// The outcomes.
const (
	// OK: the answer arrived and reports success.
	OK Outcome = "ok"
	// NotRun: the caller was told that the request was not run.
	NotRun Outcome = "not_run"
	// Unknown: the caller was told, or must assume, that it may have run.
	Unknown Outcome = "unknown"
)

// Type is the form of an operation.
type Type string

// The types.
const (
	Read        Type = "read"
	Write       Type = "write"
	Transaction Type = "transaction"
)

// Operation is one request of a caller, or one whole transaction.
type Operation struct {
	ID      string `json:"id"`
	Session string `json:"session"`
	Caller  string `json:"caller"`
	Kind    string `json:"kind"`
	Type    Type   `json:"type"`
	Group   string `json:"group"`
	// Keys are the records written, or the one record read.
	Keys  []string      `json:"keys"`
	Start time.Duration `json:"start"`
	End   time.Duration `json:"end"`
	Node  string        `json:"node"`
	// Freshness is what the policy promises for a read.
	Freshness string        `json:"freshness,omitempty"`
	MaxLag    time.Duration `json:"max_lag,omitempty"`
	Outcome   Outcome       `json:"outcome"`
	Failure   string        `json:"failure,omitempty"`
	// Value is the identifier of the write whose value a read returned.
	Value string `json:"value,omitempty"`
	// Answered is the identifier that the answer itself carries.
	Answered string `json:"answered,omitempty"`
	// Truncated is set when part of the answer was missing.
	Truncated   bool `json:"truncated,omitempty"`
	FromReplica bool `json:"from_replica,omitempty"`
	// CutByStop is set when a planned stop ended the connection under the request.
	CutByStop bool `json:"cut_by_stop,omitempty"`
}

// Commit is an entry that a server appended to its log.
type Commit struct {
	Group    string            `json:"group"`
	Server   int               `json:"server"`
	At       time.Duration     `json:"at"`
	Position position.Position `json:"position"`
	// Operations names the operation of each statement in the entry.
	Operations []string `json:"operations"`
	Keys       []string `json:"keys"`
}

// Work is the start of new work on a server: a statement outside a transaction
// or the first one of a transaction.
type Work struct {
	Group  string        `json:"group"`
	Server int           `json:"server"`
	At     time.Duration `json:"at"`
}

// Mark is an operator's mark on a server as accepted by the store.
type Mark struct {
	Group   string        `json:"group"`
	Server  int           `json:"server"`
	At      time.Duration `json:"at"`
	Leaving bool          `json:"leaving"`
}

// Accepted is a policy version that an operator was told to be accepted.
type Accepted struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	// Replaces is the version that the operator had seen.
	Replaces uint64        `json:"replaces"`
	At       time.Duration `json:"at"`
}

// InForce is the moment from which a node serves by a policy version.
type InForce struct {
	Node string `json:"node"`
	// Run tells apart the runs of a node that was restarted.
	Run     int           `json:"run"`
	Service string        `json:"service"`
	Version uint64        `json:"version"`
	At      time.Duration `json:"at"`
}

// Presence is a span in which a node ran and could be reached.
type Presence struct {
	Node string        `json:"node"`
	Run  int           `json:"run"`
	From time.Duration `json:"from"`
	To   time.Duration `json:"to"`
}

// Cut is a span in which parts of the fleet could not reach each other.
type Cut struct {
	From time.Duration `json:"from"`
	To   time.Duration `json:"to"`
}

// History is all records of a run.
type History struct {
	Operations []Operation `json:"operations"`
	Commits    []Commit    `json:"commits"`
	// Final holds, by group, the positions of the log that won in the end.
	Final     map[string][]position.Position `json:"final"`
	Works     []Work                         `json:"works"`
	Marks     []Mark                         `json:"marks"`
	Accepted  []Accepted                     `json:"accepted"`
	InForce   []InForce                      `json:"in_force"`
	Presences []Presence                     `json:"presences"`
	Cuts      []Cut                          `json:"cuts"`
}

// New returns an empty history.
func New() *History { return &History{Final: map[string][]position.Position{}} }

// Save writes the history as JSON.
func (h *History) Save(out io.Writer) error {
	buffered := bufio.NewWriter(out)
	if err := json.NewEncoder(buffered).Encode(h); err != nil {
		return errors.Wrap(err, "encode history")
	}
	return errors.Wrap(buffered.Flush(), "write history")
}

// Load reads a history that Save wrote.
func Load(in io.Reader) (*History, error) {
	loaded := New()
	decoder := json.NewDecoder(in)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(loaded); err != nil {
		return nil, errors.Wrap(err, "history file; use one written by dewknot sim or dewknot load")
	}
	return loaded, nil
}

// LoadFile reads a history file.
func LoadFile(path string) (*History, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read history")
	}
	defer func() { _ = file.Close() }()
	return Load(file)
}
