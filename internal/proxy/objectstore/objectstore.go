// Package objectstore is the port to a durable store of versioned objects:
// conditional create and replace, listings and watches, with typed outcomes.
//
// An adapter implements Store. What the outcomes mean for the caller, and when
// to ask again, is decided by the users of the port.
package objectstore

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/base/era"
)

// Object is a stored object.
type Object struct {
	Name string
	// Revision is the store's revision of the last change.
	Revision era.Revision
	// Content is the object's content, in the encoding of its writer.
	Content []byte
	// Deleted is set in events that tell of a removal.
	Deleted bool
}

// Store is a durable store of objects by kind and name. It may come back from an older copy
// of itself and then begins a new era. An adapter gives the objects and revisions of an answer
// the era in which the store gave it, and sends numbers alone: users of the port reach a store
// through Guarded, which tells a condition that held from one that held by chance.
type Store interface {
	// List returns all objects of a kind and the revision up to which they are complete.
	List(ctx context.Context, kind string) ([]Object, era.Revision, error)
	// ListStale returns the objects of a kind as they were some seconds ago, or
	// are now, at a lower price.
	ListStale(ctx context.Context, kind string) ([]Object, error)
	// Watch waits up to wait for changes after a revision and returns them with
	// the revision to go on from. No change within wait is no error.
	Watch(ctx context.Context, kind string, after era.Revision, wait time.Duration) ([]Object, era.Revision, error)
	// Get returns one object; a missing one is an Error with outcome NotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// GetStale returns one object as it was some seconds ago, or is now, at a lower price.
	GetStale(ctx context.Context, kind, name string) (Object, error)
	// Create makes an object; one that exists is an Error with outcome Conflict.
	Create(ctx context.Context, kind, name string, content []byte) (Object, error)
	// Replace changes an object at a given revision; another revision is a Conflict.
	Replace(ctx context.Context, kind, name string, revision era.Revision, content []byte) (Object, error)
	// Delete removes an object at a given revision; another revision is a Conflict. It
	// returns the era in which the store has answered.
	Delete(ctx context.Context, kind, name string, revision era.Revision) (uint64, error)
}

// Outcome tells what is known of a call that failed.
type Outcome uint8

// The outcomes of failed calls.
const (
	// NotDone: the call surely changed nothing and will not.
	NotDone Outcome = iota
	// Unknown: the call may have been done, or may be done later.
	Unknown
	// Conflict: the object has another revision, or exists already.
	Conflict
	// NotFound: there is no such object.
	NotFound
	// HistoryGone: the changes since the revision are forgotten; list again.
	HistoryGone
)

var outcomeTexts = map[Outcome]string{
	NotDone:     "the store did nothing; ask again later",
	Unknown:     "the outcome is unknown; read the object before changing it again",
	Conflict:    "the object has changed; read it and decide anew",
	NotFound:    "there is no such object; create it",
	HistoryGone: "the history is gone; list the objects again",
}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

var outcomeNames = [...]string{"not_done", "unknown", "conflict", "not_found", "history_gone"}

// Error is a failed call; its message names the remedy.
type Error struct {
	Outcome Outcome
	Detail  string
	// Era is the era of the store's answer; 0 if it gave none or names no eras.
	Era uint64
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s (%s)", outcomeTexts[e.Outcome], e.Detail) }

// OutcomeOf returns the outcome that err tells; errors of other types count as Unknown.
func OutcomeOf(err error) Outcome {
	var failed *Error
	if errors.As(err, &failed) {
		return failed.Outcome
	}
	return Unknown
}
