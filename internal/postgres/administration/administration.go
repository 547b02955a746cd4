// Package administration changes the configuration in the platform's store on behalf
// of operators.
//
// Every change contains the version that it replaces, so that only one of several
// concurrent changes succeeds. It also contains an operation ID, so that a change
// whose response was lost is recognized and not made twice. A change counts as
// accepted only after the store has accepted it.
package administration

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/objectapi"
	"dewknot/internal/postgres/pause"
	"dewknot/internal/postgres/policy"
)

// Store is the part of the platform's object API that Service uses.
type Store interface {
	Get(ctx context.Context, key string) (objectapi.Object, error)
	Put(ctx context.Context, key string, value json.RawMessage, version uint64) (objectapi.Object, error)
	Delete(ctx context.Context, key string, version uint64) (objectapi.Object, error)
}

// Kind classifies errors by what an operator can do about them.
type Kind string

// The kinds of errors.
const (
	// Conflict means that another operator has changed the object.
	Conflict Kind = "conflict"
	// Invalid means that the change is incorrect.
	Invalid Kind = "invalid"
	// ReviewNeeded means that another operator must approve the change.
	ReviewNeeded Kind = "review_needed"
	// NotFound means that the object to change does not exist.
	NotFound Kind = "not_found"
	// Uncertain means that the store may have made the change.
	Uncertain Kind = "uncertain"
	// Unavailable means that the store did not make the change.
	Unavailable Kind = "unavailable"
)

// Error explains why a change failed or may have failed.
type Error struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// WinnerVersion and WinnerAuthor describe the change that caused a conflict.
	WinnerVersion uint64 `json:"winner_version,omitempty"`
	WinnerAuthor  string `json:"winner_author,omitempty"`
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s; remedy: %s", e.Message, e.Remedy) }

// Change holds the metadata of a change by an operator.
type Change struct {
	// Operation is the ID of the change. A change with the same ID is made only once.
	Operation string `json:"operation"`
	Author    string `json:"author"`
	Note      string `json:"note,omitempty"`
	// Replaces is the version that the operator has seen, or 0 for a new object.
	Replaces uint64 `json:"replaces"`
}

func (c Change) check() error {
	if c.Operation == "" || c.Author == "" {
		return &Error{Kind: Invalid, Message: "a change needs an operation identifier and an author", Remedy: "name both; the command line does so with --as"}
	}
	return nil
}

// Service makes changes. Except for SetPause, it is safe for concurrent use if its
// store is.
type Service struct {
	store          Store
	reviewRequired bool
	now            func() time.Time
	// onAccepted is called with each object that the store has accepted.
	onAccepted func(objectapi.Object)
	// pause waits between attempts. It returns false if the context has ended.
	pause func(ctx context.Context, duration time.Duration) bool
}

// New returns a service. It calls onAccepted with each object that the store accepts.
func New(store Store, reviewRequired bool, now func() time.Time, onAccepted func(objectapi.Object)) *Service {
	return &Service{store: store, reviewRequired: reviewRequired, now: now, onAccepted: onAccepted, pause: pause.For}
}

// SetPause replaces the function that waits between attempts, for virtual time.
func (s *Service) SetPause(pause func(ctx context.Context, duration time.Duration) bool) {
	s.pause = pause
}

// putAttempts is the maximum number of attempts to store a change.
const putAttempts = 4

// changeRecord holds the fields that all objects with a history have in common.
type changeRecord struct {
	Author     string                    `json:"author"`
	Operations []configuration.Operation `json:"operations"`
}

// putWithRetry stores a value. It retries when the store is unavailable and when the
// response is lost, and then detects whether an earlier attempt succeeded.
func (s *Service) putWithRetry(ctx context.Context, key string, value any, change Change) (objectapi.Object, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return objectapi.Object{}, errors.Wrap(err, "encode object")
	}
	answerLost := false
	for attempt := range putAttempts {
		if attempt > 0 && !s.pause(ctx, time.Duration(attempt)*putRetryDelay) {
			break
		}
		object, err := s.store.Put(ctx, key, encoded, change.Replaces)
		if err == nil {
			s.onAccepted(object)
			return object, nil
		}
		switch objectapi.KindOf(err) {
		case objectapi.Conflict:
			return s.resolveConflict(ctx, key, change)
		case objectapi.AnswerLost:
			answerLost = true
		case objectapi.Rejected:
			return objectapi.Object{}, &Error{Kind: Invalid, Message: err.Error(), Remedy: "correct the change"}
		}
	}
	if answerLost {
		return objectapi.Object{}, &Error{Kind: Uncertain, Message: "the store's answer was lost: the change may have taken effect", Remedy: "send the same operation again: it is not applied twice"}
	}
	return objectapi.Object{}, &Error{Kind: Unavailable, Message: "the store cannot be reached; the change was not made", Remedy: "send the same operation again later"}
}

// putRetryDelay is the delay before the first retry. It grows linearly.
const putRetryDelay = 100 * time.Millisecond

// resolveConflict returns the current object if it already contains the operation of
// the change, and a Conflict error otherwise.
func (s *Service) resolveConflict(ctx context.Context, key string, change Change) (objectapi.Object, error) {
	current, err := s.store.Get(ctx, key)
	if err != nil {
		return objectapi.Object{}, &Error{Kind: Uncertain, Message: "the object has changed, and the store cannot be read now", Remedy: "send the same operation again: it is not applied twice"}
	}
	record := changeRecord{}
	if err := json.Unmarshal(current.Value, &record); err != nil {
		return objectapi.Object{}, errors.Wrap(err, "decode object")
	}
	if configuration.HasOperation(record.Operations, change.Operation) {
		s.onAccepted(current)
		return current, nil
	}
	return objectapi.Object{}, &Error{
		Kind: Conflict, Message: fmt.Sprintf("version %d was replaced: the object is at version %d by %s", change.Replaces, current.Version, record.Author),
		Remedy: "read the new version, compare, and replace it", WinnerVersion: current.Version, WinnerAuthor: record.Author,
	}
}

// load decodes an object into value and returns its version. If the object does not
// exist, it returns 0 and leaves value unchanged.
func (s *Service) load(ctx context.Context, key string, value any) (uint64, error) {
	object, err := s.store.Get(ctx, key)
	if err != nil {
		if objectapi.KindOf(err) == objectapi.NotFound {
			return 0, nil
		}
		return 0, &Error{Kind: Unavailable, Message: err.Error(), Remedy: "send the same operation again later"}
	}
	return object.Version, errors.Wrap(json.Unmarshal(object.Value, value), "decode object")
}

func (s *Service) newOperation(change Change) configuration.Operation {
	return configuration.Operation{ID: change.Operation, Author: change.Author, At: s.now().UTC(), Note: change.Note, Version: change.Replaces}
}

// Outcome is the result of a change.
type Outcome struct {
	// Version is the new version of the object.
	Version uint64 `json:"version"`
	// InForce is false if a policy waits for review.
	InForce bool `json:"in_force"`
}

// SubmitPolicy compiles a policy and activates it, or stores a proposal if reviews
// are required.
func (s *Service) SubmitPolicy(ctx context.Context, service string, source []byte, change Change) (Outcome, error) {
	if err := change.check(); err != nil {
		return Outcome{}, err
	}
	table, err := compilePolicy(service, source)
	if err != nil {
		return Outcome{}, err
	}
	if s.reviewRequired {
		return s.propose(ctx, service, source, change)
	}
	return s.replacePolicy(ctx, service, string(source), table, "", change)
}

func compilePolicy(service string, source []byte) (*policy.Table, error) {
	table, err := policy.Compile(service+".star", source)
	if err != nil {
		var compileErr *policy.Error
		if errors.As(err, &compileErr) {
			return nil, &Error{
				Kind:    Invalid,
				Message: fmt.Sprintf("%s:%d:%d: %s", compileErr.File, compileErr.Line, compileErr.Column, compileErr.Message),
				Remedy:  compileErr.Remedy,
			}
		}
		return nil, err
	}
	if table.Service != service {
		return nil, &Error{Kind: Invalid, Message: fmt.Sprintf("the program is for service %q, not %q", table.Service, service), Remedy: "submit it under its own name"}
	}
	return table, nil
}

func (s *Service) replacePolicy(ctx context.Context, service, source string, table *policy.Table, approver string, change Change) (Outcome, error) {
	key := configuration.PolicyPrefix + service
	current := configuration.Policy{}
	version, err := s.load(ctx, key, &current)
	if err != nil {
		return Outcome{}, err
	}
	if configuration.HasOperation(current.Operations, change.Operation) {
		return Outcome{Version: version, InForce: true}, nil
	}
	next := configuration.Policy{
		Source: source, Table: table, Author: change.Author, Approver: approver,
		Operations: configuration.WithOperation(current.Operations, s.newOperation(change)),
	}
	object, err := s.putWithRetry(ctx, key, next, change)
	return Outcome{Version: object.Version, InForce: err == nil}, err
}

func (s *Service) propose(ctx context.Context, service string, source []byte, change Change) (Outcome, error) {
	key := configuration.ProposalPrefix + service
	current := configuration.Proposal{}
	version, err := s.load(ctx, key, &current)
	if err != nil {
		return Outcome{}, err
	}
	if configuration.HasOperation(current.Operations, change.Operation) {
		return Outcome{Version: version}, nil
	}
	proposal := configuration.Proposal{
		Source: string(source), Author: change.Author, Replaces: change.Replaces,
		Operations: configuration.WithOperation(current.Operations, s.newOperation(change)),
	}
	change.Replaces = version
	object, err := s.putWithRetry(ctx, key, proposal, change)
	return Outcome{Version: object.Version}, err
}

// ApprovePolicy activates a proposed policy. change.Replaces is the version of the
// proposal that was reviewed. The author of a proposal cannot approve it.
func (s *Service) ApprovePolicy(ctx context.Context, service string, change Change) (Outcome, error) {
	if err := change.check(); err != nil {
		return Outcome{}, err
	}
	proposal := configuration.Proposal{}
	version, err := s.load(ctx, configuration.ProposalPrefix+service, &proposal)
	switch {
	case err != nil:
		return Outcome{}, err
	case version == 0:
		return Outcome{}, &Error{Kind: NotFound, Message: "no policy of that service waits for review", Remedy: "submit one first"}
	case version != change.Replaces:
		return Outcome{}, &Error{Kind: Conflict, Message: fmt.Sprintf("the proposal is at version %d, not %d", version, change.Replaces), Remedy: "review the present proposal", WinnerVersion: version, WinnerAuthor: proposal.Author}
	case proposal.Author == change.Author:
		return Outcome{}, &Error{Kind: ReviewNeeded, Message: "the author cannot approve a policy alone", Remedy: "let another operator review it"}
	}
	table, err := compilePolicy(service, []byte(proposal.Source))
	if err != nil {
		return Outcome{}, err
	}
	approval := change
	approval.Author, approval.Replaces = proposal.Author, proposal.Replaces
	return s.replacePolicy(ctx, service, proposal.Source, table, change.Author, approval)
}

// Mark sets or clears the leaving mark of a node or server. key is the object key of
// the mark.
func (s *Service) Mark(ctx context.Context, key string, leaving bool, change Change) (Outcome, error) {
	if err := change.check(); err != nil {
		return Outcome{}, err
	}
	current := configuration.Mark{}
	version, err := s.load(ctx, key, &current)
	if err != nil {
		return Outcome{}, err
	}
	if configuration.HasOperation(current.Operations, change.Operation) {
		return Outcome{Version: version, InForce: true}, nil
	}
	change.Replaces = version
	next := configuration.Mark{
		Leaving: leaving, Author: change.Author,
		Operations: configuration.WithOperation(current.Operations, s.newOperation(change)),
	}
	object, err := s.putWithRetry(ctx, key, next, change)
	return Outcome{Version: object.Version, InForce: err == nil}, err
}

// groupObject and userObject are the stored values of groups and users.
type groupObject struct {
	configuration.Group
	changeRecord
}

type userObject struct {
	configuration.User
	changeRecord
}

// SetGroup stores a database group's configuration.
func (s *Service) SetGroup(ctx context.Context, group configuration.Group, change Change) (Outcome, error) {
	if err := change.check(); err != nil {
		return Outcome{}, err
	}
	if err := group.Check(); err != nil {
		return Outcome{}, &Error{Kind: Invalid, Message: err.Error(), Remedy: "correct the group"}
	}
	value := groupObject{group, changeRecord{change.Author, []configuration.Operation{s.newOperation(change)}}}
	object, err := s.putWithRetry(ctx, configuration.GroupPrefix+group.Name, value, change)
	return Outcome{Version: object.Version, InForce: err == nil}, err
}

// SetUser stores the credentials of a caller.
func (s *Service) SetUser(ctx context.Context, name string, user configuration.User, change Change) (Outcome, error) {
	if err := change.check(); err != nil {
		return Outcome{}, err
	}
	value := userObject{user, changeRecord{change.Author, []configuration.Operation{s.newOperation(change)}}}
	object, err := s.putWithRetry(ctx, configuration.UserPrefix+name, value, change)
	return Outcome{Version: object.Version, InForce: err == nil}, err
}
