package administration

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/objectapi"
)

// memoryStore is an in-memory Store with fault injection.
type memoryStore struct {
	objects  map[string]objectapi.Object
	revision uint64
	// faults holds the fault of each change: 0 for none, 1 for a lost response,
	// 2 for a lost request.
	faults []int
	puts   int
}

func newMemoryStore(faults ...int) *memoryStore {
	return &memoryStore{objects: map[string]objectapi.Object{}, faults: faults}
}

func (s *memoryStore) Get(_ context.Context, key string) (objectapi.Object, error) {
	object, ok := s.objects[key]
	if !ok {
		return object, &objectapi.Error{Kind: objectapi.NotFound}
	}
	return object, nil
}

func (s *memoryStore) Put(_ context.Context, key string, value json.RawMessage, version uint64) (objectapi.Object, error) {
	fault := 0
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	if fault == 2 {
		return objectapi.Object{}, &objectapi.Error{Kind: objectapi.AnswerLost}
	}
	if current := s.objects[key].Version; current != version {
		return objectapi.Object{}, &objectapi.Error{Kind: objectapi.Conflict, Current: current}
	}
	s.revision++
	s.puts++
	object := objectapi.Object{Key: key, Value: value, Version: s.revision}
	s.objects[key] = object
	if fault == 1 {
		return objectapi.Object{}, &objectapi.Error{Kind: objectapi.AnswerLost}
	}
	return object, nil
}

func (s *memoryStore) Delete(_ context.Context, key string, version uint64) (objectapi.Object, error) {
	return s.Put(context.Background(), key, nil, version)
}

func newService(store Store, reviewRequired bool) *Service {
	result := New(store, reviewRequired, func() time.Time { return time.Unix(0, 0) }, func(objectapi.Object) {})
	result.SetPause(func(context.Context, time.Duration) bool { return true })
	return result
}

func policySource(wait int) []byte {
	return fmt.Appendf(nil, "service(\"bookings\")\ndefault(wait = \"%dms\")\n", wait)
}

func newChange(operation, author string, replaces uint64) Change {
	return Change{Operation: operation, Author: author, Replaces: replaces}
}

func requireKind(t must.T, err error, kind Kind) *Error {
	t.Helper()
	var rejection *Error
	must.True(t, errors.As(err, &rejection), must.Sprint(err))
	must.Eq(t, kind, rejection.Kind)
	return rejection
}

// Only one of several operators who replace the same version may succeed, and no
// change may be applied twice, even if requests or responses get lost.
func TestOneConcurrentChangeWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newMemoryStore(rapid.SliceOfN(rapid.IntRange(0, 2), 0, 12).Draw(t, "faults")...)
		ctx := context.Background()
		operators := rapid.IntRange(2, 4).Draw(t, "operators")
		winners, uncertain := 0, 0
		for index := range operators {
			_, err := newService(store, false).SubmitPolicy(ctx, "bookings", policySource(index+1), newChange(fmt.Sprint("operation", index), fmt.Sprint("operator", index), 0))
			var rejection *Error
			switch {
			case err == nil:
				winners++
			case errors.As(err, &rejection) && rejection.Kind == Uncertain:
				uncertain++
			default:
				requireKind(t, err, Conflict)
			}
		}
		must.LessEq(t, 1, winners)
		must.LessEq(t, 1, store.puts)
		if uncertain == 0 {
			must.Eq(t, 1, winners)
		}
	})
}

// A change whose response was lost must not be applied again.
func TestChangeWithLostAnswerIsAppliedOnce(t *testing.T) {
	store := newMemoryStore(1)
	ctx := context.Background()
	outcome, err := newService(store, false).SubmitPolicy(ctx, "bookings", policySource(1), newChange("one", "ann", 0))
	must.NoError(t, err)
	must.Eq(t, Outcome{Version: 1, InForce: true}, outcome)
	must.Eq(t, 1, store.puts)
	again, err := newService(store, false).SubmitPolicy(ctx, "bookings", policySource(1), newChange("one", "ann", 0))
	must.NoError(t, err)
	must.Eq(t, outcome, again)
	must.Eq(t, 1, store.puts)
	_, err = newService(newMemoryStore(2, 2, 2, 2), false).SubmitPolicy(ctx, "bookings", policySource(1), newChange("one", "ann", 0))
	requireKind(t, err, Uncertain)
}

// A conflict must report the version and author of the change that succeeded.
func TestConflictReportsWinner(t *testing.T) {
	store := newMemoryStore()
	ctx := context.Background()
	_, err := newService(store, false).SubmitPolicy(ctx, "bookings", policySource(1), newChange("one", "ann", 0))
	must.NoError(t, err)
	_, err = newService(store, false).SubmitPolicy(ctx, "bookings", policySource(2), newChange("two", "bob", 0))
	rejection := requireKind(t, err, Conflict)
	must.Eq(t, "ann", rejection.WinnerAuthor)
	must.Eq(t, 1, rejection.WinnerVersion)
}

// A policy must not become active unless another operator approves the reviewed
// version.
func TestApprovalNeedsAnotherOperator(t *testing.T) {
	store := newMemoryStore()
	ctx := context.Background()
	reviewed := newService(store, true)
	proposed, err := reviewed.SubmitPolicy(ctx, "bookings", policySource(1), newChange("one", "ann", 0))
	must.NoError(t, err)
	must.False(t, proposed.InForce)
	_, err = reviewed.ApprovePolicy(ctx, "bookings", newChange("two", "ann", proposed.Version))
	requireKind(t, err, ReviewNeeded)
	_, err = reviewed.ApprovePolicy(ctx, "bookings", newChange("three", "bob", proposed.Version+1))
	requireKind(t, err, Conflict)
	approved, err := reviewed.ApprovePolicy(ctx, "bookings", newChange("four", "bob", proposed.Version))
	must.NoError(t, err)
	must.True(t, approved.InForce)
	object, err := store.Get(ctx, configuration.PolicyPrefix+"bookings")
	must.NoError(t, err)
	stored := configuration.Policy{}
	must.NoError(t, json.Unmarshal(object.Value, &stored))
	must.Eq(t, "ann", stored.Author)
	must.Eq(t, "bob", stored.Approver)
}

// Incorrect changes must be rejected as invalid.
func TestInvalidChanges(t *testing.T) {
	ctx := context.Background()
	_, err := newService(newMemoryStore(), false).SubmitPolicy(ctx, "exams", policySource(1), newChange("one", "ann", 0))
	requireKind(t, err, Invalid)
	_, err = newService(newMemoryStore(), false).SubmitPolicy(ctx, "bookings", []byte("service("), newChange("one", "ann", 0))
	requireKind(t, err, Invalid)
	_, err = newService(newMemoryStore(), false).SubmitPolicy(ctx, "bookings", policySource(1), Change{})
	requireKind(t, err, Invalid)
	_, err = newService(newMemoryStore(), false).SetGroup(ctx, configuration.Group{Name: "x"}, newChange("one", "ann", 0))
	requireKind(t, err, Invalid)
}
