// Package history defines the records of what callers, servers and nodes did in a run.
// Package check decides from them whether all promises were kept. The simulator and the load
// tool write the same records.
//
// Times are durations since the start of the run.
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

// Outcome is the outcome of an operation as reported to its caller.
type Outcome string

// The outcomes.
const (
	// OK: the caller received an answer that reports success.
	OK Outcome = "ok"
	// NotRun: the caller received an error which states that the request was not run.
	NotRun Outcome = "not_run"
	// Unknown: the request may have run. The caller received an error that says so, or no
	// answer.
	Unknown Outcome = "unknown"
)

// Type is the type of an operation.
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
	// Freshness is the freshness that the policy requires of a read.
	Freshness string        `json:"freshness,omitempty"`
	MaxLag    time.Duration `json:"max_lag,omitempty"`
	Outcome   Outcome       `json:"outcome"`
	Failure   string        `json:"failure,omitempty"`
	// Value is the ID of the write whose value a read returned.
	Value string `json:"value,omitempty"`
	// Answered is the operation ID in the answer, which must equal ID.
	Answered string `json:"answered,omitempty"`
	// Truncated is set if part of the answer was missing.
	Truncated   bool `json:"truncated,omitempty"`
	FromReplica bool `json:"from_replica,omitempty"`
	// CutByStop is set if a planned stop closed the connection during the request.
	CutByStop bool `json:"cut_by_stop,omitempty"`
}

// Commit is an entry that a server has appended to its log.
type Commit struct {
	Group    string            `json:"group"`
	Server   int               `json:"server"`
	At       time.Duration     `json:"at"`
	Position position.Position `json:"position"`
	// Operations holds the operation ID of each statement in the entry.
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

// Mark is an operator's change of a server's leaving mark, as accepted by the store.
type Mark struct {
	Group   string        `json:"group"`
	Server  int           `json:"server"`
	At      time.Duration `json:"at"`
	Leaving bool          `json:"leaving"`
}

// Accepted is a policy version whose acceptance was confirmed to an operator.
type Accepted struct {
	Service string `json:"service"`
	Version uint64 `json:"version"`
	// Replaces is the version that the operator's change was based on.
	Replaces uint64        `json:"replaces"`
	At       time.Duration `json:"at"`
}

// InForce is the time from which a node uses a policy version.
type InForce struct {
	Node string `json:"node"`
	// Run is the number of the node's run; each restart begins another.
	Run     int           `json:"run"`
	Service string        `json:"service"`
	Version uint64        `json:"version"`
	At      time.Duration `json:"at"`
}

// Presence is a period in which a node ran and was reachable.
type Presence struct {
	Node string        `json:"node"`
	Run  int           `json:"run"`
	From time.Duration `json:"from"`
	To   time.Duration `json:"to"`
}

// Cut is a period in which parts of the fleet could not reach each other.
type Cut struct {
	From time.Duration `json:"from"`
	To   time.Duration `json:"to"`
}

// History holds all records of a run.
type History struct {
	Operations []Operation `json:"operations"`
	Commits    []Commit    `json:"commits"`
	// Final holds, by group, the positions of the primary's log at the end of the run.
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
		return nil, errors.Wrap(err, "decode history; use a file written by dewknot sim or dewknot load")
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
