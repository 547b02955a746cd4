// Package request defines what passes between a listener and a group's owner.
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

// Request is a caller's batch with what the owner needs to decide on it.
type Request struct {
	Group string        `msgpack:"g"`
	Info  group.Request `msgpack:"i"`
	Batch backend.Batch `msgpack:"b"`
}

// Result ends a request.
type Result struct {
	// Kind is failure.None when Data holds the whole rest of the answer.
	Kind       failure.Kind  `msgpack:"k"`
	Detail     string        `msgpack:"d"`
	RetryAfter time.Duration `msgpack:"r"`
	// Status is the transaction state that the caller must be shown.
	Status byte `msgpack:"t"`
	// Synced is false when the batch ended with Flush.
	Synced      bool              `msgpack:"y"`
	Position    position.Position `msgpack:"p"`
	FromReplica bool              `msgpack:"f"`
	// Data is the last part of the answer.
	Data []byte `msgpack:"a"`
}

// Failed returns a result that carries a failure.
func Failed(kind failure.Kind, detail string, retryAfter time.Duration) Result {
	return Result{Kind: kind, Detail: detail, RetryAfter: retryAfter, Status: backend.Idle, Synced: true}
}

// LinkError tells that no result came from another node.
type LinkError struct {
	Peer string
	// Sent is true when the request may have reached the peer.
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

// Server serves requests for groups: an owner in this process or a peer.
type Server interface {
	// Submit runs a request. Parts of the answer go to chunk as they arrive; the
	// last part comes with the result. The error, if any, is a *LinkError.
	Submit(ctx context.Context, request *Request, chunk func([]byte) error) (Result, error)
	// EndSession tells that a session is gone: its transaction is rolled back.
	EndSession(groupName string, session group.SessionID)
	// Cancel asks to cancel a request.
	Cancel(groupName string, id group.RequestID)
}
