package objectstore

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/era"
)

// scriptedStore answers lists and watches; while silent, it swallows calls.
type scriptedStore struct {
	Store
	mutex     sync.Mutex
	silent    bool
	forgotten era.Revision
	revision  era.Revision
	content   string
	changed   chan struct{}
	calls     int
}

func newScriptedStore() *scriptedStore {
	return &scriptedStore{changed: make(chan struct{}), revision: 1}
}

func (s *scriptedStore) set(content string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.content = content
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *scriptedStore) setSilent(silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = silent
}

func (s *scriptedStore) enter(ctx context.Context) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.silent {
		s.mutex.Unlock()
		<-ctx.Done()
		s.mutex.Lock()
		return false
	}
	return true
}

func (s *scriptedStore) List(ctx context.Context, _ string) ([]Object, era.Revision, error) {
	if !s.enter(ctx) {
		return nil, 0, &Error{Outcome: Unknown}
	}
	return []Object{{Name: "main", Revision: s.revision, Content: []byte(s.content)}}, s.revision, nil
}

func (s *scriptedStore) Watch(ctx context.Context, _ string, after era.Revision, wait time.Duration) ([]Object, era.Revision, error) {
	if !s.enter(ctx) {
		return nil, 0, &Error{Outcome: Unknown}
	}
	end := time.After(wait)
	for {
		s.mutex.Lock()
		revision, content, changed, forgotten := s.revision, s.content, s.changed, s.forgotten
		s.mutex.Unlock()
		if after < forgotten {
			return nil, 0, &Error{Outcome: HistoryGone}
		}
		if revision > after {
			return []Object{{Name: "main", Revision: revision, Content: []byte(content)}}, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, &Error{Outcome: Unknown}
		case <-end:
			return nil, revision, nil
		case <-changed:
		}
	}
}

// recordingSink keeps the newest content and when it came.
type recordingSink struct {
	mutex   sync.Mutex
	content string
	at      time.Time
	lost    int
}

func (s *recordingSink) Reset(objects []Object, revision era.Revision) { s.Apply(objects, revision) }

func (s *recordingSink) Apply(events []Object, _ era.Revision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, event := range events {
		s.content, s.at = string(event.Content), time.Now()
	}
}

func (s *recordingSink) Lost(error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lost++
}

func (s *recordingSink) Regained() {}

func (s *recordingSink) Confirmed(time.Time) {}

func fixed(wait time.Duration) func() time.Duration { return func() time.Duration { return wait } }

func (s *recordingSink) seen() (string, time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.content, s.at
}

func follow(t *testing.T, wait time.Duration, test func(*scriptedStore, *recordingSink)) {
	t.Helper()
	bubbletest.Test(t, func(t *testing.T) {
		store, sink := newScriptedStore(), &recordingSink{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			Follow(ctx, FollowConfig{Store: store, Kind: "kind", Wait: fixed(wait), Sink: sink})
		}()
		test(store, sink)
		cancel()
		<-done
	})
}

func TestChangesArriveAtOnce(t *testing.T) {
	follow(t, 2*time.Second, func(store *scriptedStore, sink *recordingSink) {
		time.Sleep(time.Second)
		store.set("first")
		synctest.Wait()
		content, at := sink.seen()
		must.Eq(t, "first", content)
		must.Eq(t, 0, time.Since(at))
	})
}

// TestChangeAfterSilence: a store that was silent for seconds has swallowed the
// calls made meanwhile; the one made last hung for its whole wait.
func TestChangeAfterSilence(t *testing.T) {
	for _, silence := range []time.Duration{50 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second} {
		follow(t, 2*time.Second, func(store *scriptedStore, sink *recordingSink) {
			time.Sleep(time.Second)
			store.setSilent(true)
			time.Sleep(silence)
			store.setSilent(false)
			changed := time.Now()
			store.set("after")
			time.Sleep(4 * time.Second)
			content, at := sink.seen()
			must.Eq(t, "after", content)
			// The watch that was swallowed, and the first pause after it.
			limit := 3*time.Second + firstRetryDelay
			if silence >= 3*time.Second {
				limit = 1800 * time.Millisecond
			}
			must.Less(t, limit, at.Sub(changed), must.Sprintf("silence of %v", silence))
		})
	}
}

func TestListingAfterTheHistoryIsGone(t *testing.T) {
	follow(t, 2*time.Second, func(store *scriptedStore, sink *recordingSink) {
		time.Sleep(100 * time.Millisecond)
		store.mutex.Lock()
		store.revision, store.content, store.forgotten = 9, "rewritten", 9
		store.mutex.Unlock()
		time.Sleep(3 * time.Second)
		content, _ := sink.seen()
		must.Eq(t, "rewritten", content)
	})
}

func TestCallsOfAQuietStoreAreFew(t *testing.T) {
	follow(t, 2*time.Second, func(store *scriptedStore, _ *recordingSink) {
		time.Sleep(20 * time.Second)
		store.mutex.Lock()
		defer store.mutex.Unlock()
		must.LessEq(t, 12, store.calls)
	})
}

// cacheSource lets a cache stand for other nodes.
type cacheSource struct{ cache *Cache }

func (s cacheSource) List(context.Context, string) ([]Object, era.Revision, error) {
	return s.cache.List()
}

func (s cacheSource) Watch(ctx context.Context, _ string, after era.Revision, wait time.Duration) ([]Object, era.Revision, error) {
	return s.cache.Watch(ctx, after, wait)
}

// TestOthersTellWhatTheStoreDoesNot: the store serves one node and not the other.
func TestOthersTellWhatTheStoreDoesNot(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		served, refused := newScriptedStore(), newScriptedStore()
		sink := &recordingSink{}
		cache := NewCache(&recordingSink{})
		ctx, cancel := context.WithCancel(t.Context())
		var following sync.WaitGroup
		following.Go(func() {
			Follow(ctx, FollowConfig{Store: served, Kind: "kind", Wait: fixed(2 * time.Second), Sink: cache})
		})
		following.Go(func() {
			Follow(ctx, FollowConfig{Store: refused, Others: cacheSource{cache}, Kind: "kind", Wait: fixed(2 * time.Second), Sink: sink})
		})
		time.Sleep(time.Second)
		refused.setSilent(true)
		time.Sleep(time.Second)
		served.set("only here")
		time.Sleep(5 * time.Second)
		content, at := sink.seen()
		must.Eq(t, "only here", content)
		must.Less(t, 3500*time.Millisecond, time.Since(at)-time.Second)
		served.set("again")
		changed := time.Now()
		time.Sleep(4 * time.Second)
		content, at = sink.seen()
		must.Eq(t, "again", content)
		must.Less(t, 2500*time.Millisecond, at.Sub(changed))
		cancel()
		following.Wait()
	})
}

// countingSource counts the rounds of asking others.
type countingSource struct {
	cacheSource
	rounds atomic.Int64
}

// List implements Source.
func (s *countingSource) List(ctx context.Context, kind string) ([]Object, era.Revision, error) {
	s.rounds.Add(1)
	return s.cacheSource.List(ctx, kind)
}

// busyStore refuses every call at once, as one does whose rate is used up.
type busyStore struct{ Store }

// List implements Source.
func (busyStore) List(context.Context, string) ([]Object, era.Revision, error) {
	return nil, 0, &Error{Outcome: NotDone}
}

// TestRefusedNodesDoNotFloodOthers: a store that refuses at once is asked again soon,
// other nodes once a second.
func TestRefusedNodesDoNotFloodOthers(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		others := &countingSource{cacheSource: cacheSource{NewCache(&recordingSink{})}}
		ctx, cancel := context.WithCancel(t.Context())
		var following sync.WaitGroup
		following.Go(func() {
			Follow(ctx, FollowConfig{Store: busyStore{}, Others: others, Kind: "kind", Wait: fixed(2 * time.Second), Sink: &recordingSink{}})
		})
		time.Sleep(10 * time.Second)
		cancel()
		following.Wait()
		must.LessEq(t, int64(10), others.rounds.Load())
		must.GreaterEq(t, int64(7), others.rounds.Load())
	})
}

// TestChangesInARowComeTogether: 100 changes 10 ms apart cost few calls, and the last
// is known at once.
func TestChangesInARowComeTogether(t *testing.T) {
	follow(t, 2*time.Second, func(store *scriptedStore, sink *recordingSink) {
		time.Sleep(startSpan + time.Second)
		store.mutex.Lock()
		before := store.calls
		store.mutex.Unlock()
		for i := range 100 {
			store.set(fmt.Sprint(i))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		content, _ := sink.seen()
		must.Eq(t, "99", content)
		store.mutex.Lock()
		defer store.mutex.Unlock()
		must.Less(t, 40, store.calls-before)
	})
}

// reader is a node that watches the store for others.
type reader struct{ cache *Cache }

// Watch implements ReaderSource.
// List implements ReaderSource.
func (r reader) List(context.Context, string) ([]Object, era.Revision, error) {
	return nil, 0, &Error{Outcome: NotDone, Detail: "no reader lists"}
}

func (r reader) Watch(ctx context.Context, _ string, after era.Revision) ([]Object, era.Revision, error) {
	events, revision, err := r.cache.Watch(ctx, after, time.Second)
	if err == nil && r.cache.Age() > 3*time.Second {
		err = &Error{Outcome: NotDone}
	}
	return events, revision, err
}

// TestReadersSpareTheStore: a node that has a reader asks the store for one listing
// only. When the store no longer answers the reader, the node watches it itself.
func TestReadersSpareTheStore(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		readers, own := newScriptedStore(), newScriptedStore()
		sink := &recordingSink{}
		cache := NewCache(&recordingSink{})
		ctx, cancel := context.WithCancel(t.Context())
		var following sync.WaitGroup
		following.Go(func() {
			Follow(ctx, FollowConfig{Store: readers, Kind: "kind", Wait: fixed(2 * time.Second), Sink: cache})
		})
		time.Sleep(time.Second)
		following.Go(func() {
			Follow(ctx, FollowConfig{Store: own, Readers: reader{cache}, Kind: "kind", Wait: fixed(2 * time.Second), Sink: sink})
		})
		time.Sleep(20 * time.Second)
		changed := time.Now()
		readers.set("told by the reader")
		time.Sleep(20 * time.Second)
		content, at := sink.seen()
		must.Eq(t, "told by the reader", content)
		must.Less(t, 100*time.Millisecond, at.Sub(changed))
		own.mutex.Lock()
		must.Eq(t, 1, own.calls)
		own.mutex.Unlock()

		readers.setSilent(true)
		time.Sleep(2 * time.Second) // the reader's watch under way is still answered
		own.set("first")
		own.set("told by the store")
		changed = time.Now()
		time.Sleep(10 * time.Second)
		content, at = sink.seen()
		must.Eq(t, "told by the store", content)
		must.Less(t, 4200*time.Millisecond, at.Sub(changed))
		cancel()
		following.Wait()
	})
}

func TestCacheTellsRemovalsAndNothingOld(t *testing.T) {
	cache := NewCache(&recordingSink{})
	_, _, err := cache.List()
	must.Eq(t, NotDone, OutcomeOf(err))
	// It does not know that any history is gone: nobody should list anew for it.
	_, _, err = cache.Watch(t.Context(), 3, 0)
	must.Eq(t, NotDone, OutcomeOf(err))
	cache.Reset([]Object{{Name: "a", Revision: 1}, {Name: "b", Revision: 2}}, 3)
	cache.Apply([]Object{{Name: "a", Revision: 1, Deleted: true}}, 5)
	cache.Reset([]Object{{Name: "c", Revision: 7}}, 8)
	events, revision, err := cache.Watch(t.Context(), 3, 0)
	must.NoError(t, err)
	must.Eq(t, era.Revision(8), revision)
	must.Eq(t, []Object{{Name: "a", Revision: 5, Deleted: true}, {Name: "c", Revision: 7}, {Name: "b", Revision: 8, Deleted: true}}, events)
	events, _, err = cache.Watch(t.Context(), 8, 0)
	must.NoError(t, err)
	must.SliceEmpty(t, events)
}

// TestChangesOfAStartComeTogether: while a fleet starts, changes 10 ms apart for 2 s
// cost a few calls, and the last is known within the start's longest pause.
func TestChangesOfAStartComeTogether(t *testing.T) {
	follow(t, 2*time.Second, func(store *scriptedStore, sink *recordingSink) {
		for i := range 200 {
			store.set(fmt.Sprint(i))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(startPause*3/2 + 50*time.Millisecond)
		content, _ := sink.seen()
		must.Eq(t, "199", content)
		store.mutex.Lock()
		defer store.mutex.Unlock()
		must.Less(t, 12, store.calls)
	})
}
