// Package remote runs operations on database connections that another node owns.
//
// If a server accepts fewer connections than there are nodes, one node owns its connections and the
// other nodes send their operations to it. A link is a connection between two nodes, and its
// streams are the sessions of single users. The owner keeps a session's state only while a
// transaction is open, so losing a link or an owner costs only the transactions that were open
// through it.
package remote

import (
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/position"
	"dewknot/internal/proxy/admission"
	"dewknot/internal/proxy/loadreport"
	"dewknot/internal/proxy/upstream"
)

// Kinds of frames.
const (
	// frameRequest carries a request, frameResponse its response.
	frameRequest uint8 = iota
	frameResponse
	// frameEnd ends a stream. The owner rolls back its open transaction.
	frameEnd
	// framePing asks the owner whether it is alive, framePong answers.
	framePing
	framePong
	// frameLeaving announces that the owner is about to stop.
	frameLeaving
)

// maxFrameBytes bounds a frame. It fits the largest answer of a server, whose encoding here has no
// more bytes for each row than there. It also fits a statement with all values of a session.
const maxFrameBytes = upstream.MaxAnswerBytes + 1<<20

// readBufferBytes is the size of a link's read buffer.
const readBufferBytes = 8 << 10

// Ticket orders operations that use a slot in the owner's queue.
type Ticket struct {
	Class    admission.Class
	Priority int
	// Age is the time since the work arrived at its first node, less the delay with which late work
	// is queued (admission.LateDelay).
	Age time.Duration
	// Wait bounds the wait for a slot.
	Wait time.Duration
}

// request asks the owner to run a batch of operations.
type request struct {
	Server     string
	Operations []upstream.Operation
	// Budget is the time left for the answers.
	Budget time.Duration
	// Open is set if the requesting node assumes an open transaction.
	Open   bool
	Ticket Ticket
	// Principal is the user for whom the operations run.
	Principal upstream.Principal
}

// Limits of a request.
const (
	maxOperations = 320
	maxBudget     = time.Minute
)

// valid reports whether an owner may run the request. It may contain only operations of callers,
// each complete.
func (r *request) valid() bool {
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
	// Results are the received answers, in the order of the operations.
	Results []upstream.Result
	// Lost is set if not all operations were answered. The outcome of the others is in doubt.
	Lost bool
	// Proof is a position that covers all commits acknowledged before ProofAge ago, as far as the
	// owner knows; zero if it knows none.
	Proof    position.Position
	ProofAge time.Duration
	// Load is the owner's load report on the server, nil if it sends none. It is encoded as an
	// extension after the response.
	Load *loadreport.Report `msgpack:"-"`
}

// Extension implements codec.Extended.
func (r *response) Extension() any {
	if r.Load == nil {
		return nil
	}
	return r.Load
}

// Extend implements codec.Extended. A report in an unknown form is ignored.
func (r *response) Extend(decode func(extension any) error) error {
	load := new(loadreport.Report)
	if decode(load) == nil {
		r.Load = load
	}
	return nil
}

// empty is the body of frames without content.
type empty struct{}

// ErrInvalidRequest is returned for operations that an owner would not run. Nothing was sent.
var ErrInvalidRequest = errors.New("the operations exceed the limits of a request to an owner; send fewer at once")

// Errors of requests to an owner. After either, the outcome of the operations is in doubt.
var (
	// ErrLinkLost is returned if the link ended before an answer arrived.
	ErrLinkLost = errors.New("the link to the node that owns the connections is lost; what was sent is in doubt, use another node")
	// ErrInDoubt is returned if the owner lost its connection to the server before an answer
	// arrived.
	ErrInDoubt = errors.New("the node that owns the connections got no answer; what was sent is in doubt")
)
