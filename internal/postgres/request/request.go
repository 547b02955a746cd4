// Package request defines the requests that a listener sends to a group's owner, and
// their results.
package request

import (
	"context"
	"fmt"
	"time"

	"dewknot/internal/base/failure"
	"dewknot/internal/base/position"
	"dewknot/internal/postgres/backend"
	"dewknot/internal/postgres/group"
)

// Request is a caller's batch with the information by which the owner schedules it.
type Request struct {
	Group string        `msgpack:"g"`
	Info  group.Request `msgpack:"i"`
	Batch backend.Batch `msgpack:"b"`
}

// Result is the result of a request.
type Result struct {
	// Kind is failure.None when Data completes the answer.
	Kind       failure.Kind  `msgpack:"k"`
	Detail     string        `msgpack:"d"`
	RetryAfter time.Duration `msgpack:"r"`
	// Status is the transaction status to report to the caller.
	Status byte `msgpack:"t"`
	// Synced is false when the batch ended with Flush.
	Synced bool `msgpack:"y"`
	// Position is the position that the caller may carry; zero if nothing was written.
	Position    position.Position `msgpack:"p"`
	FromReplica bool              `msgpack:"f"`
	// Data is the last part of the answer. Earlier parts are passed to Submit's chunk.
	Data []byte `msgpack:"a"`
}

// Failed returns the result of a failed request.
func Failed(kind failure.Kind, detail string, retryAfter time.Duration) Result {
	return Result{Kind: kind, Detail: detail, RetryAfter: retryAfter, Status: backend.Idle, Synced: true}
}

// LinkError reports that another node returned no result.
type LinkError struct {
	Peer string
	// Sent is true if the request may have reached the peer.
	Sent  bool
	Cause error
}

// Error implements the error interface.
func (e *LinkError) Error() string {
	if e.Sent {
		return fmt.Sprintf("link to %s was lost after the request was sent: %v", e.Peer, e.Cause)
	}
	return fmt.Sprintf("no link to %s: %v", e.Peer, e.Cause)
}

// Server serves requests for groups, either as an owner in this process or as the client
// of a peer.
type Server interface {
	// Submit runs a request. It passes the parts of the answer to chunk as they arrive,
	// except the last, which the result contains. The error, if any, is a *LinkError.
	Submit(ctx context.Context, request *Request, chunk func([]byte) error) (Result, error)
	// EndSession ends a session and rolls back its open transaction.
	EndSession(groupName string, session group.SessionID)
	// Cancel cancels a request if it hasn't ended yet.
	Cancel(groupName string, id group.RequestID)
}
