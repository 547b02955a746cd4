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

// scriptedStore answers lists and watches; while blocked, it drops calls.
type scriptedStore struct {
	Store
	mutex     sync.Mutex
	blocked   bool
	firstKept era.Revision
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

func (s *scriptedStore) setBlocked(blocked bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.blocked = blocked
}

func (s *scriptedStore) enter(ctx context.Context) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	if s.blocked {
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
		revision, content, changed, firstKept := s.revision, s.content, s.changed, s.firstKept
		s.mutex.Unlock()
		if after < firstKept {
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

// recordingSink records the latest content and when it arrived.
type recordingSink struct {
	mutex     sync.Mutex
	content   string
	appliedAt time.Time
	lost      int
}

func (s *recordingSink) Reset(objects []Object, revision era.Revision) { s.Apply(objects, revision) }

func (s *recordingSink) Apply(events []Object, _ era.Revision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, event := range events {
		s.content, s.appliedAt = string(event.Content), time.Now()
	}
}

func (s *recordingSink) Lost(error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lost++
}

func (s *recordingSink) Regained() {}

func (s *recordingSink) Confirmed(time.Time) {}

func constant(wait time.Duration) func() time.Duration { return func() time.Duration { return wait } }

func (s *recordingSink) latest() (string, time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.content, s.appliedAt
}

func runFollow(t *testing.T, wait time.Duration, test func(*scriptedStore, *recordingSink)) {
	t.Helper()
	bubbletest.Test(t, func(t *testing.T) {
		store, sink := newScriptedStore(), &recordingSink{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			Follow(ctx, FollowConfig{Store: store, Kind: "kind", Wait: constant(wait), Sink: sink})
		}()
		test(store, sink)
		cancel()
		<-done
	})
}

func TestChangesArriveWithoutDelay(t *testing.T) {
	runFollow(t, 2*time.Second, func(store *scriptedStore, sink *recordingSink) {
		time.Sleep(time.Second)
		store.set("first")
		synctest.Wait()
		content, at := sink.latest()
		must.Eq(t, "first", content)
		must.Eq(t, 0, time.Since(at))
	})
}

// TestChangeAfterStoreOutage guards against late changes after an outage of the store, which drops
// all calls made meanwhile.
func TestChangeAfterStoreOutage(t *testing.T) {
	for _, outage := range []time.Duration{50 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second, 7 * time.Second} {
		runFollow(t, 2*time.Second, func(store *scriptedStore, sink *recordingSink) {
			time.Sleep(time.Second)
			store.setBlocked(true)
			time.Sleep(outage)
			store.setBlocked(false)
			changed := time.Now()
			store.set("after")
			time.Sleep(4 * time.Second)
			content, at := sink.latest()
			must.Eq(t, "after", content)
			// The dropped watch times out after its wait and answerTimeout; the first retry delay
			// follows.
			limit := 3*time.Second + minRetryDelay
			if outage >= 3*time.Second {
				limit = 1800 * time.Millisecond
			}
			must.Less(t, limit, at.Sub(changed), must.Sprintf("outage of %v", outage))
		})
	}
}

func TestListsAgainAfterHistoryIsGone(t *testing.T) {
	runFollow(t, 2*time.Second, func(store *scriptedStore, sink *recordingSink) {
		time.Sleep(100 * time.Millisecond)
		store.mutex.Lock()
		store.revision, store.content, store.firstKept = 9, "rewritten", 9
		store.mutex.Unlock()
		time.Sleep(3 * time.Second)
		content, _ := sink.latest()
		must.Eq(t, "rewritten", content)
	})
}

func TestUnchangedStoreGetsFewCalls(t *testing.T) {
	runFollow(t, 2*time.Second, func(store *scriptedStore, _ *recordingSink) {
		time.Sleep(20 * time.Second)
		store.mutex.Lock()
		defer store.mutex.Unlock()
		must.LessEq(t, 12, store.calls)
	})
}

// cacheSource serves a cache as if it were other nodes.
type cacheSource struct{ cache *Cache }

func (s cacheSource) List(context.Context, string) ([]Object, era.Revision, error) {
	return s.cache.List()
}

func (s cacheSource) Watch(ctx context.Context, _ string, after era.Revision, wait time.Duration) ([]Object, era.Revision, error) {
	return s.cache.Watch(ctx, after, wait)
}

// TestPeersSupplyChangesDuringStoreOutage guards against missed changes on a node that the store
// doesn't answer while it answers other nodes.
func TestPeersSupplyChangesDuringStoreOutage(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		working, failing := newScriptedStore(), newScriptedStore()
		sink := &recordingSink{}
		cache := NewCache(&recordingSink{})
		ctx, cancel := context.WithCancel(t.Context())
		var following sync.WaitGroup
		following.Go(func() {
			Follow(ctx, FollowConfig{Store: working, Kind: "kind", Wait: constant(2 * time.Second), Sink: cache})
		})
		following.Go(func() {
			Follow(ctx, FollowConfig{Store: failing, Peers: cacheSource{cache}, Kind: "kind", Wait: constant(2 * time.Second), Sink: sink})
		})
		time.Sleep(time.Second)
		failing.setBlocked(true)
		time.Sleep(time.Second)
		working.set("only here")
		time.Sleep(5 * time.Second)
		content, at := sink.latest()
		must.Eq(t, "only here", content)
		must.Less(t, 3500*time.Millisecond, time.Since(at)-time.Second)
		working.set("again")
		changed := time.Now()
		time.Sleep(4 * time.Second)
		content, at = sink.latest()
		must.Eq(t, "again", content)
		must.Less(t, 2500*time.Millisecond, at.Sub(changed))
		cancel()
		following.Wait()
	})
}

// countingSource counts the listings requested from other nodes.
type countingSource struct {
	cacheSource
	lists atomic.Int64
}

// List implements Source.
func (s *countingSource) List(ctx context.Context, kind string) ([]Object, era.Revision, error) {
	s.lists.Add(1)
	return s.cacheSource.List(ctx, kind)
}

// rejectingStore rejects each call at once, like a store whose rate limit is exhausted.
type rejectingStore struct{ Store }

// List implements Source.
func (rejectingStore) List(context.Context, string) ([]Object, era.Revision, error) {
	return nil, 0, &Error{Outcome: NotDone}
}

// TestRejectedNodesDoNotFloodPeers guards against querying other nodes as often as a store that
// rejects calls at once; they are queried once a second.
func TestRejectedNodesDoNotFloodPeers(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		peers := &countingSource{cacheSource: cacheSource{NewCache(&recordingSink{})}}
		ctx, cancel := context.WithCancel(t.Context())
		var following sync.WaitGroup
		following.Go(func() {
			Follow(ctx, FollowConfig{Store: rejectingStore{}, Peers: peers, Kind: "kind", Wait: constant(2 * time.Second), Sink: &recordingSink{}})
		})
		time.Sleep(10 * time.Second)
		cancel()
		following.Wait()
		must.LessEq(t, int64(10), peers.lists.Load())
		must.GreaterEq(t, int64(7), peers.lists.Load())
	})
}

// TestFrequentChangesAreBatched guards against a call for each of 100 changes 10 ms apart, and
// against a late last change.
func TestFrequentChangesAreBatched(t *testing.T) {
	runFollow(t, 2*time.Second, func(store *scriptedStore, sink *recordingSink) {
		time.Sleep(startupPeriod + time.Second)
		store.mutex.Lock()
		before := store.calls
		store.mutex.Unlock()
		for i := range 100 {
			store.set(fmt.Sprint(i))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		content, _ := sink.latest()
		must.Eq(t, "99", content)
		store.mutex.Lock()
		defer store.mutex.Unlock()
		must.Less(t, 40, store.calls-before)
	})
}

// cacheReader serves a cache as a node that watches the store for others.
type cacheReader struct{ cache *Cache }

// List implements ReaderSource.
func (r cacheReader) List(context.Context, string) ([]Object, era.Revision, error) {
	return nil, 0, &Error{Outcome: NotDone, Detail: "readers serve no listings"}
}

// Watch implements ReaderSource.
func (r cacheReader) Watch(ctx context.Context, _ string, after era.Revision) ([]Object, era.Revision, error) {
	events, revision, err := r.cache.Watch(ctx, after, time.Second)
	if err == nil && r.cache.Age() > 3*time.Second {
		err = &Error{Outcome: NotDone}
	}
	return events, revision, err
}

// TestReadersReduceStoreCalls guards against store calls of a node that has a reader, beyond the
// first listing, and against missed changes once the store no longer answers the reader.
func TestReadersReduceStoreCalls(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		readerStore, ownStore := newScriptedStore(), newScriptedStore()
		sink := &recordingSink{}
		cache := NewCache(&recordingSink{})
		ctx, cancel := context.WithCancel(t.Context())
		var following sync.WaitGroup
		following.Go(func() {
			Follow(ctx, FollowConfig{Store: readerStore, Kind: "kind", Wait: constant(2 * time.Second), Sink: cache})
		})
		time.Sleep(time.Second)
		following.Go(func() {
			Follow(ctx, FollowConfig{Store: ownStore, Readers: cacheReader{cache}, Kind: "kind", Wait: constant(2 * time.Second), Sink: sink})
		})
		time.Sleep(20 * time.Second)
		changed := time.Now()
		readerStore.set("from the reader")
		time.Sleep(20 * time.Second)
		content, at := sink.latest()
		must.Eq(t, "from the reader", content)
		must.Less(t, 100*time.Millisecond, at.Sub(changed))
		ownStore.mutex.Lock()
		must.Eq(t, 1, ownStore.calls)
		ownStore.mutex.Unlock()

		readerStore.setBlocked(true)
		time.Sleep(2 * time.Second) // the reader's current watch is still answered
		ownStore.set("first")
		ownStore.set("from the store")
		changed = time.Now()
		time.Sleep(10 * time.Second)
		content, at = sink.latest()
		must.Eq(t, "from the store", content)
		must.Less(t, 4200*time.Millisecond, at.Sub(changed))
		cancel()
		following.Wait()
	})
}

// TestCacheWatchReturnsOnlyNewChanges guards against lost removals and against changes that are
// reported again to a watcher that knows them.
func TestCacheWatchReturnsOnlyNewChanges(t *testing.T) {
	cache := NewCache(&recordingSink{})
	_, _, err := cache.List()
	must.Eq(t, NotDone, OutcomeOf(err))
	// An empty cache must not report HistoryGone, which would make the caller list again.
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

// TestChangesAtStartupAreBatched guards against many store calls while a fleet starts and changes
// come 10 ms apart for 2 s, and against a late last change.
func TestChangesAtStartupAreBatched(t *testing.T) {
	runFollow(t, 2*time.Second, func(store *scriptedStore, sink *recordingSink) {
		for i := range 200 {
			store.set(fmt.Sprint(i))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(startupBatchPause*3/2 + 50*time.Millisecond)
		content, _ := sink.latest()
		must.Eq(t, "199", content)
		store.mutex.Lock()
		defer store.mutex.Unlock()
		must.Less(t, 12, store.calls)
	})
}
