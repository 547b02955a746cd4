// Package objectstore defines the interface to a durable store of versioned objects: conditional
// create and replace, listings and watches, with typed outcomes of failed calls. It also follows
// the objects of a kind, caches them, and serves them to other nodes as patches or in pieces.
//
// Adapters implement Store. Callers decide what an outcome means for them and when to retry.
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
	// Deleted is set in events of removals.
	Deleted bool
}

// Store is a durable store of objects by kind and name. It may be restored from an older copy of
// itself, and then begins a new era. An adapter sets the era of the store's answer in the objects
// and revisions that it returns, and sends only the numbers of revisions. Callers use a store
// through EraGuard, which detects conditions that match a revision of another era.
type Store interface {
	// List returns all objects of a kind and the revision up to which the listing is complete.
	List(ctx context.Context, kind string) ([]Object, era.Revision, error)
	// ListStale is a cheaper List whose result may be some seconds old.
	ListStale(ctx context.Context, kind string) ([]Object, error)
	// Watch returns the changes after a revision, and the revision to continue from. It waits for
	// changes at most for wait; if there are none, it returns no events and no error.
	Watch(ctx context.Context, kind string, after era.Revision, wait time.Duration) ([]Object, era.Revision, error)
	// Get returns an object. The outcome of the error for a missing object is NotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// GetStale is a cheaper Get whose result may be some seconds old.
	GetStale(ctx context.Context, kind, name string) (Object, error)
	// Create creates an object. If it exists, the outcome of the error is Conflict.
	Create(ctx context.Context, kind, name string, content []byte) (Object, error)
	// Replace changes an object that is at the given revision; otherwise the outcome is Conflict.
	Replace(ctx context.Context, kind, name string, revision era.Revision, content []byte) (Object, error)
	// Delete removes an object that is at the given revision; otherwise the outcome is Conflict. It
	// returns the era of the store's answer.
	Delete(ctx context.Context, kind, name string, revision era.Revision) (uint64, error)
}

// Outcome says what is known about the effect of a failed call.
type Outcome uint8

// The outcomes of failed calls.
const (
	// NotDone: the call has changed nothing and will not.
	NotDone Outcome = iota
	// Unknown: the call may have been executed, or may be executed later.
	Unknown
	// Conflict: the object is at another revision, or already exists.
	Conflict
	// NotFound: the object doesn't exist.
	NotFound
	// HistoryGone: the changes since the revision are no longer available; list again.
	HistoryGone
)

var outcomeTexts = map[Outcome]string{
	NotDone:     "the store did not execute the request; retry later",
	Unknown:     "the outcome is unknown; read the object before changing it again",
	Conflict:    "the object has changed; read it before changing it again",
	NotFound:    "the object does not exist; create it",
	HistoryGone: "the change history is no longer available; list the objects again",
}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

var outcomeNames = [...]string{"not_done", "unknown", "conflict", "not_found", "history_gone"}

// Error is the error of a failed call. Its message says what to do next.
type Error struct {
	Outcome Outcome
	Detail  string
	// Era is the era of the store's answer; 0 if there was no answer or the store has no eras.
	Era uint64
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s (%s)", outcomeTexts[e.Outcome], e.Detail) }

// OutcomeOf returns the outcome of err. Errors of other types have the outcome Unknown.
func OutcomeOf(err error) Outcome {
	var storeErr *Error
	if errors.As(err, &storeErr) {
		return storeErr.Outcome
	}
	return Unknown
}
