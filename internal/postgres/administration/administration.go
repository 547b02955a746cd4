// Package administration changes configuration in the platform's store on
// behalf of operators.
//
// Every change names the version it replaces, so that of two operators exactly
// one wins, and carries an operation identifier, so that a change whose answer
// was lost is found again instead of being made twice. A change counts as
// accepted only after the store has taken it.
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

// Store is the part of the platform's object API that changes need.
type Store interface {
	Get(ctx context.Context, key string) (objectapi.Object, error)
	Put(ctx context.Context, key string, value json.RawMessage, version uint64) (objectapi.Object, error)
	Delete(ctx context.Context, key string, version uint64) (objectapi.Object, error)
}

// Kind tells an operator what can be done about an error.
type Kind string

// The kinds of errors.
const (
	// Conflict: somebody else has changed the object.
	Conflict Kind = "conflict"
	// Invalid: the change cannot be used.
	Invalid Kind = "invalid"
	// ReviewNeeded: the change must be approved by another operator.
	ReviewNeeded Kind = "review_needed"
	// NotFound: the object to change does not exist.
	NotFound Kind = "not_found"
	// Uncertain: the store may or may not have taken the change.
	Uncertain Kind = "uncertain"
	// Unavailable: the store did not take the change.
	Unavailable Kind = "unavailable"
)

// Error is a refusal of a change.
type Error struct {
	Kind    Kind   `json:"kind"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// Winner is the version and author that a conflicting change lost to.
	WinnerVersion uint64 `json:"winner_version,omitempty"`
	WinnerAuthor  string `json:"winner_author,omitempty"`
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s; remedy: %s", e.Message, e.Remedy) }

// Change is what an operator asks for.
type Change struct {
	// Operation identifies the change; sending it again does not repeat it.
	Operation string `json:"operation"`
	Author    string `json:"author"`
	Note      string `json:"note,omitempty"`
	// Replaces is the version that the operator has seen; 0 for a new object.
	Replaces uint64 `json:"replaces"`
}

func (c Change) check() error {
	if c.Operation == "" || c.Author == "" {
		return &Error{Kind: Invalid, Message: "a change needs an operation identifier and an author", Remedy: "name both; the command line does so with --as"}
	}
	return nil
}

// Service makes changes.
type Service struct {
	store          Store
	reviewRequired bool
	now            func() time.Time
	// accepted is told of each object that the store has taken.
	accepted func(objectapi.Object)
	// pause waits between attempts; it reports false when the context has ended.
	pause func(ctx context.Context, duration time.Duration) bool
}

// New returns a service. Each object that the store takes is passed to accepted.
func New(store Store, reviewRequired bool, now func() time.Time, accepted func(objectapi.Object)) *Service {
	return &Service{store: store, reviewRequired: reviewRequired, now: now, accepted: accepted, pause: pause.For}
}

// SetPause replaces how the service waits between attempts, for virtual time.
func (s *Service) SetPause(pause func(ctx context.Context, duration time.Duration) bool) {
	s.pause = pause
}

// putAttempts bounds how often a change is sent while its fate is unclear.
const putAttempts = 4

// recorded is the part common to all values that remember operations.
type recorded struct {
	Author     string                    `json:"author"`
	Operations []configuration.Operation `json:"operations"`
}

// put stores a value, and finds out what became of it when the answer is lost.
func (s *Service) put(ctx context.Context, key string, value any, change Change) (objectapi.Object, error) {
	encoded, err := json.Marshal(value)
	if err != nil {
		return objectapi.Object{}, errors.Wrap(err, "encode object")
	}
	lost := false
	for attempt := range putAttempts {
		if attempt > 0 && !s.pause(ctx, time.Duration(attempt)*lostAnswerPause) {
			break
		}
		object, err := s.store.Put(ctx, key, encoded, change.Replaces)
		if err == nil {
			s.accepted(object)
			return object, nil
		}
		switch objectapi.KindOf(err) {
		case objectapi.Conflict:
			return s.conflict(ctx, key, change)
		case objectapi.AnswerLost:
			lost = true
		case objectapi.Rejected:
			return objectapi.Object{}, &Error{Kind: Invalid, Message: err.Error(), Remedy: "correct the change"}
		}
	}
	if lost {
		return objectapi.Object{}, &Error{Kind: Uncertain, Message: "the store's answer was lost: the change may have taken effect", Remedy: "send the same operation again: it is not applied twice"}
	}
	return objectapi.Object{}, &Error{Kind: Unavailable, Message: "the store cannot be reached; the change was not made", Remedy: "send the same operation again later"}
}

// lostAnswerPause is the pause before a change is sent again, times the attempt.
const lostAnswerPause = 100 * time.Millisecond

// conflict finds out whether the conflicting version holds this very operation.
func (s *Service) conflict(ctx context.Context, key string, change Change) (objectapi.Object, error) {
	current, err := s.store.Get(ctx, key)
	if err != nil {
		return objectapi.Object{}, &Error{Kind: Uncertain, Message: "the object has changed, and the store cannot be read now", Remedy: "send the same operation again: it is not applied twice"}
	}
	winner := recorded{}
	if err := json.Unmarshal(current.Value, &winner); err != nil {
		return objectapi.Object{}, errors.Wrap(err, "decode object")
	}
	if configuration.HasOperation(winner.Operations, change.Operation) {
		s.accepted(current)
		return current, nil
	}
	return objectapi.Object{}, &Error{
		Kind: Conflict, Message: fmt.Sprintf("version %d was replaced: the object is at version %d by %s", change.Replaces, current.Version, winner.Author),
		Remedy: "read the new version, compare, and replace it", WinnerVersion: current.Version, WinnerAuthor: winner.Author,
	}
}

// load returns an object's value; a missing object leaves the value untouched.
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

func (s *Service) operation(change Change) configuration.Operation {
	return configuration.Operation{ID: change.Operation, Author: change.Author, At: s.now().UTC(), Note: change.Note, Version: change.Replaces}
}

// Outcome tells what became of a change.
type Outcome struct {
	// Version is the new version of the object.
	Version uint64 `json:"version"`
	// InForce is false for a policy that waits for review.
	InForce bool `json:"in_force"`
}

// SubmitPolicy checks a policy and puts it in force, or in line for review.
func (s *Service) SubmitPolicy(ctx context.Context, service string, source []byte, change Change) (Outcome, error) {
	if err := change.check(); err != nil {
		return Outcome{}, err
	}
	table, err := compile(service, source)
	if err != nil {
		return Outcome{}, err
	}
	if s.reviewRequired {
		return s.propose(ctx, service, source, change)
	}
	return s.replacePolicy(ctx, service, string(source), table, "", change)
}

func compile(service string, source []byte) (*policy.Table, error) {
	table, err := policy.Compile(service+".star", source)
	if err != nil {
		var fault *policy.Error
		if errors.As(err, &fault) {
			return nil, &Error{Kind: Invalid, Message: fmt.Sprintf("%s:%d:%d: %s", fault.File, fault.Line, fault.Column, fault.Message), Remedy: fault.Remedy}
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
		Operations: configuration.WithOperation(current.Operations, s.operation(change)),
	}
	object, err := s.put(ctx, key, next, change)
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
		Operations: configuration.WithOperation(current.Operations, s.operation(change)),
	}
	change.Replaces = version
	object, err := s.put(ctx, key, proposal, change)
	return Outcome{Version: object.Version}, err
}

// ApprovePolicy puts a proposed policy in force. change.Replaces names the
// version of the proposal that was reviewed; the author cannot approve.
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
	table, err := compile(service, []byte(proposal.Source))
	if err != nil {
		return Outcome{}, err
	}
	approval := change
	approval.Author, approval.Replaces = proposal.Author, proposal.Replaces
	return s.replacePolicy(ctx, service, proposal.Source, table, change.Author, approval)
}

// Mark marks a node or server as leaving, or takes the mark away.
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
	next := configuration.Mark{Leaving: leaving, Author: change.Author, Operations: configuration.WithOperation(current.Operations, s.operation(change))}
	object, err := s.put(ctx, key, next, change)
	return Outcome{Version: object.Version, InForce: err == nil}, err
}

// groupObject and userObject add the operations that every object remembers.
type groupObject struct {
	configuration.Group
	recorded
}

type userObject struct {
	configuration.User
	recorded
}

// SetGroup stores a database group's configuration.
func (s *Service) SetGroup(ctx context.Context, group configuration.Group, change Change) (Outcome, error) {
	if err := change.check(); err != nil {
		return Outcome{}, err
	}
	if err := group.Check(); err != nil {
		return Outcome{}, &Error{Kind: Invalid, Message: err.Error(), Remedy: "correct the group"}
	}
	value := groupObject{group, recorded{change.Author, []configuration.Operation{s.operation(change)}}}
	object, err := s.put(ctx, configuration.GroupPrefix+group.Name, value, change)
	return Outcome{Version: object.Version, InForce: err == nil}, err
}

// SetUser stores a caller's verifier.
func (s *Service) SetUser(ctx context.Context, name string, user configuration.User, change Change) (Outcome, error) {
	if err := change.check(); err != nil {
		return Outcome{}, err
	}
	value := userObject{user, recorded{change.Author, []configuration.Operation{s.operation(change)}}}
	object, err := s.put(ctx, configuration.UserPrefix+name, value, change)
	return Outcome{Version: object.Version, InForce: err == nil}, err
}
