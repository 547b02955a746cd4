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

// memoryStore is the store with faults on demand.
type memoryStore struct {
	objects  map[string]objectapi.Object
	revision uint64
	// faults decides for each change: 0 none, 1 answer lost after the change,
	// 2 request lost before it.
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

func service(store Store, review bool) *Service {
	created := New(store, review, func() time.Time { return time.Unix(0, 0) }, func(objectapi.Object) {})
	created.SetPause(func(context.Context, time.Duration) bool { return true })
	return created
}

func source(wait int) []byte {
	return fmt.Appendf(nil, "service(\"bookings\")\ndefault(wait = \"%dms\")\n", wait)
}

func change(operation, author string, replaces uint64) Change {
	return Change{Operation: operation, Author: author, Replaces: replaces}
}

func requireKind(t must.T, err error, kind Kind) *Error {
	t.Helper()
	var refusal *Error
	must.True(t, errors.As(err, &refusal), must.Sprint(err))
	must.Eq(t, kind, refusal.Kind)
	return refusal
}

// Of operators who replace the same version, exactly one wins, whatever answers
// and requests get lost; nothing is applied twice.
func TestExactlyOneWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newMemoryStore(rapid.SliceOfN(rapid.IntRange(0, 2), 0, 12).Draw(t, "faults")...)
		ctx := context.Background()
		operators := rapid.IntRange(2, 4).Draw(t, "operators")
		winners, uncertain := 0, 0
		for index := range operators {
			_, err := service(store, false).SubmitPolicy(ctx, "bookings", source(index+1), change(fmt.Sprint("operation", index), fmt.Sprint("operator", index), 0))
			var refusal *Error
			switch {
			case err == nil:
				winners++
			case errors.As(err, &refusal) && refusal.Kind == Uncertain:
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

func TestLostAnswerIsFoundAgain(t *testing.T) {
	store := newMemoryStore(1)
	ctx := context.Background()
	outcome, err := service(store, false).SubmitPolicy(ctx, "bookings", source(1), change("one", "ann", 0))
	must.NoError(t, err)
	must.Eq(t, Outcome{Version: 1, InForce: true}, outcome)
	must.Eq(t, 1, store.puts)
	again, err := service(store, false).SubmitPolicy(ctx, "bookings", source(1), change("one", "ann", 0))
	must.NoError(t, err)
	must.Eq(t, outcome, again)
	must.Eq(t, 1, store.puts)
	_, err = service(newMemoryStore(2, 2, 2, 2), false).SubmitPolicy(ctx, "bookings", source(1), change("one", "ann", 0))
	requireKind(t, err, Uncertain)
}

func TestConflictNamesTheWinner(t *testing.T) {
	store := newMemoryStore()
	ctx := context.Background()
	_, err := service(store, false).SubmitPolicy(ctx, "bookings", source(1), change("one", "ann", 0))
	must.NoError(t, err)
	_, err = service(store, false).SubmitPolicy(ctx, "bookings", source(2), change("two", "bob", 0))
	refusal := requireKind(t, err, Conflict)
	must.Eq(t, "ann", refusal.WinnerAuthor)
	must.Eq(t, 1, refusal.WinnerVersion)
}

// The author cannot approve alone; another operator can, and only what was reviewed.
func TestReview(t *testing.T) {
	store := newMemoryStore()
	ctx := context.Background()
	reviewed := service(store, true)
	proposed, err := reviewed.SubmitPolicy(ctx, "bookings", source(1), change("one", "ann", 0))
	must.NoError(t, err)
	must.False(t, proposed.InForce)
	_, err = reviewed.ApprovePolicy(ctx, "bookings", change("two", "ann", proposed.Version))
	requireKind(t, err, ReviewNeeded)
	_, err = reviewed.ApprovePolicy(ctx, "bookings", change("three", "bob", proposed.Version+1))
	requireKind(t, err, Conflict)
	approved, err := reviewed.ApprovePolicy(ctx, "bookings", change("four", "bob", proposed.Version))
	must.NoError(t, err)
	must.True(t, approved.InForce)
	object, err := store.Get(ctx, configuration.PolicyPrefix+"bookings")
	must.NoError(t, err)
	stored := configuration.Policy{}
	must.NoError(t, json.Unmarshal(object.Value, &stored))
	must.Eq(t, "ann", stored.Author)
	must.Eq(t, "bob", stored.Approver)
}

func TestInvalidChanges(t *testing.T) {
	ctx := context.Background()
	_, err := service(newMemoryStore(), false).SubmitPolicy(ctx, "exams", source(1), change("one", "ann", 0))
	requireKind(t, err, Invalid)
	_, err = service(newMemoryStore(), false).SubmitPolicy(ctx, "bookings", []byte("service("), change("one", "ann", 0))
	requireKind(t, err, Invalid)
	_, err = service(newMemoryStore(), false).SubmitPolicy(ctx, "bookings", source(1), Change{})
	requireKind(t, err, Invalid)
	_, err = service(newMemoryStore(), false).SetGroup(ctx, configuration.Group{Name: "x"}, change("one", "ann", 0))
	requireKind(t, err, Invalid)
}
