package objectstore

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"dewknot/internal/base/era"
	_ "dewknot/internal/base/propertytest" // fixes the seed
)

func revisionOf(t must.T, eraNumber, number uint64) era.Revision {
	revision, err := era.New(eraNumber, number)
	must.NoError(t, err)
	return revision
}

// restoringStore stores one object, compares only the numbers of revisions, and can be restored
// from a backup.
type restoringStore struct {
	Store
	era          uint64
	number       uint64
	backupNumber uint64
}

func (s *restoringStore) currentRevision() era.Revision {
	revision, err := era.New(s.era, s.number)
	if err != nil {
		panic(err)
	}
	return revision
}

func (s *restoringStore) Get(context.Context, string, string) (Object, error) {
	return Object{Revision: s.currentRevision()}, nil
}

func (s *restoringStore) Watch(_ context.Context, _ string, after era.Revision, _ time.Duration) ([]Object, era.Revision, error) {
	if after.Number() > s.number {
		return nil, 0, &Error{Outcome: HistoryGone, Era: s.era}
	}
	return nil, s.currentRevision(), nil
}

func (s *restoringStore) Replace(_ context.Context, _, _ string, revision era.Revision, _ []byte) (Object, error) {
	if revision.Number() != s.number {
		return Object{}, &Error{Outcome: Conflict, Era: s.era}
	}
	s.number++
	return Object{Revision: s.currentRevision()}, nil
}

func (s *restoringStore) Delete(_ context.Context, _, _ string, revision era.Revision) (uint64, error) {
	if revision.Number() != s.number {
		return s.era, &Error{Outcome: Conflict, Era: s.era}
	}
	s.number++
	return s.era, nil
}

// TestConditionsOfEarlierErasAreRejected guards against changes and watches that succeed on a
// revision of an earlier era because the restored store reuses its number. Each later era must be
// reported once.
func TestConditionsOfEarlierErasAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &restoringStore{number: 3, backupNumber: 3}
		var learnedEras []uint64
		guard := NewEraGuard(store, func(_, later uint64) { learnedEras = append(learnedEras, later) })
		lastRevision := store.currentRevision()
		t.Repeat(map[string]func(*rapid.T){
			"copy": func(*rapid.T) { store.backupNumber = store.number },
			"restore": func(*rapid.T) {
				store.era, store.number = store.era+1, store.backupNumber
			},
			"get": func(t *rapid.T) {
				object, err := guard.Get(t.Context(), "kind", "name")
				must.NoError(t, err)
				lastRevision = object.Revision
			},
			"replace": func(t *rapid.T) {
				object, err := guard.Replace(t.Context(), "kind", "name", lastRevision, nil)
				if lastRevision.Era() != store.era {
					must.Error(t, err)
					return
				}
				if err == nil {
					lastRevision = object.Revision
				}
			},
			"delete": func(t *rapid.T) {
				if _, err := guard.Delete(t.Context(), "kind", "name", lastRevision); lastRevision.Era() != store.era {
					must.Error(t, err)
				}
			},
			"watch": func(t *rapid.T) {
				if _, _, err := guard.Watch(t.Context(), "kind", lastRevision, 0); lastRevision.Era() != store.era {
					must.Eq(t, HistoryGone, OutcomeOf(err))
				}
			},
			"": func(t *rapid.T) {
				for i := 1; i < len(learnedEras); i++ {
					must.Greater(t, learnedEras[i-1], learnedEras[i])
				}
				must.LessEq(t, store.era, guard.Era())
			},
		})
	})
}

func TestAnswersOfEarlierErasAreRejected(t *testing.T) {
	store := &restoringStore{number: 3}
	guard := NewEraGuard(store, func(_, _ uint64) {})
	must.True(t, guard.LearnEra(2))
	_, err := guard.Get(t.Context(), "kind", "name")
	must.Eq(t, NotDone, OutcomeOf(err))
	must.ErrorContains(t, err, "a later one is known")
}

// TestCacheWatchAcrossEras guards against missed or repeated changes for watchers of the previous
// era. A watcher that knew more than the cache must list again.
func TestCacheWatchAcrossEras(t *testing.T) {
	cache := NewCache(&recordingSink{})
	cache.Reset([]Object{
		{Name: "same", Revision: 5, Content: []byte("a")},
		{Name: "older", Revision: 7, Content: []byte("b2")},
		{Name: "lost", Revision: 8, Content: []byte("c")},
	}, 8)
	next := revisionOf(t, 1, 6)
	cache.Reset([]Object{
		{Name: "same", Revision: revisionOf(t, 1, 5), Content: []byte("a")}, {Name: "older", Revision: revisionOf(t, 1, 4), Content: []byte("b1")},
	}, next)
	events, revision, err := cache.Watch(t.Context(), 8, 0)
	must.NoError(t, err)
	must.Eq(t, next, revision)
	must.Eq(t, []Object{
		{Name: "older", Revision: revisionOf(t, 1, 4), Content: []byte("b1")}, {Name: "lost", Revision: next, Deleted: true},
	}, events)
	_, _, err = cache.Watch(t.Context(), 9, 0)
	must.Eq(t, HistoryGone, OutcomeOf(err))
	_, _, err = cache.Watch(t.Context(), revisionOf(t, 2, 1), 0)
	must.Eq(t, NotDone, OutcomeOf(err), must.Sprint("a cache of an earlier era must not answer for a later one"))
}

// TestCacheKeepsNewestContent guards against a restored store that replaces newer content by older
// content, or removes it.
func TestCacheKeepsNewestContent(t *testing.T) {
	sink := &recordingSink{}
	cache := NewCache(sink)
	cache.KeepNewest(func(cached, listed []byte) bool { return string(cached) > string(listed) })
	cache.Reset([]Object{{Name: "main", Revision: 7, Content: []byte("v7")}}, 7)
	for index, listed := range [][]Object{{{Name: "main", Content: []byte("v5")}}, nil} {
		revision := revisionOf(t, uint64(index+1), 3)
		cache.Reset(listed, revision)
		objects, _, err := cache.List()
		must.NoError(t, err)
		must.Len(t, 1, objects)
		must.Eq(t, "v7", string(objects[0].Content))
	}
	content, _ := sink.latest()
	must.Eq(t, "v7", content)
	later := revisionOf(t, 2, 4)
	cache.Apply([]Object{{Name: "main", Revision: later, Content: []byte("v8")}}, later)
	objects, _, err := cache.List()
	must.NoError(t, err)
	must.Eq(t, "v8", string(objects[0].Content))
}
