// Package remote runs operations on the connections of another node.
//
// Where a server accepts fewer connections than there are nodes, one node owns
// the connections to it, and the others send it their operations. A link is one
// connection between two nodes; its streams are sessions of one user each. The
// owner keeps a session's state only while a transaction is open, so a lost link
// or owner costs no more than the transactions that were open through it.
package remote

import (
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/position"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/told"
	"dewknot/internal/proxy/upstream"
)

// The kinds of frames.
const (
	// frameRun carries a request, frameRan its response.
	frameRun uint8 = iota
	frameRan
	// frameEnd ends a stream: what is open on it is rolled back.
	frameEnd
	// framePing asks for life, framePong answers.
	framePing
	framePong
	// frameLeaving tells that the owner is about to stop.
	frameLeaving
)

// maxFrameBytes bounds a frame: a few statements of the greatest size.
const maxFrameBytes = 8 << 20

// readBuffer is the size of a link's read buffer.
const readBuffer = 8 << 10

// Ticket orders operations that take a slot among those that wait at the owner.
type Ticket struct {
	Class    admission.Class
	Priority int
	// Age is the time since the work arrived at its first node, less what it comes later for
	// being late (admission.LateDelay).
	Age time.Duration
	// Wait bounds the wait for a slot.
	Wait time.Duration
}

// request asks for a batch of operations.
type request struct {
	Server     string
	Operations []upstream.Operation
	// Budget is the time left for the answers.
	Budget time.Duration
	// Open is set if the asking node believes that a transaction is open.
	Open   bool
	Ticket Ticket
	// Principal is in whose name the operations run.
	Principal upstream.Principal
}

// The bounds of a request.
const (
	maxOperations = 64
	maxBudget     = time.Minute
)

// acceptable reports whether an owner may run the request: callers' operations
// only, each complete.
func (r *request) acceptable() bool {
	if len(r.Operations) == 0 || len(r.Operations) > maxOperations || r.Budget > maxBudget || int(r.Ticket.Class) >= admission.Classes {
		return false
	}
	for i := range r.Operations {
		operation := &r.Operations[i]
		if operation.Kind > upstream.Rollback || (operation.Kind == upstream.RunStatement && operation.Statement == nil) {
			return false
		}
	}
	return true
}

// response answers a request.
type response struct {
	// Results are the answers that came, in order.
	Results []upstream.Result
	// Lost is set if not all operations were answered; the rest is in doubt.
	Lost bool
	// Proof is a position which covers all commits that were acknowledged
	// ProofAge ago, as the owner knows it; zero if it knows none.
	Proof    position.Position
	ProofAge time.Duration
	// Load is what waits for the server; nil from an owner that does not tell it. It travels
	// behind the response.
	Load *told.Report `msgpack:"-"`
}

// Extension implements codec.Extended.
func (r *response) Extension() any {
	if r.Load == nil {
		return nil
	}
	return r.Load
}

// Extend implements codec.Extended. A report in a form that is not known here counts as none.
func (r *response) Extend(decode func(extension any) error) error {
	load := new(told.Report)
	if decode(load) == nil {
		r.Load = load
	}
	return nil
}

type empty struct{}

// The ways in which an exchange with an owner fails.
var (
	// ErrLinkLost is returned when the link ended before an answer came.
	ErrLinkLost = errors.New("the link to the node that owns the connections is lost; what was sent is in doubt, use another node")
	// ErrInDoubt is returned when the owner lost its connection to the server
	// before an answer came.
	ErrInDoubt = errors.New("the node that owns the connections got no answer; what was sent is in doubt")
)
