package proxy_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/era"
	"dewknot/internal/base/stall"
	"dewknot/internal/lab/standin/managed"
	"dewknot/internal/proxy/catalog"
	"dewknot/internal/proxy/objectstore"
)

// slowLinks are network links of the nodes and the store with limited rates.
type slowLinks struct {
	mutex sync.Mutex
	// rates are the limits in bytes per second by node; a node without one has no limit.
	rates map[string]int
	busy  map[string]time.Time
	// stale is the maximum age of a stale listing of the store; lists are the latest ones by kind.
	stale time.Duration
	lists map[string]staleList
	// listings counts the listings of the store by kind.
	listings map[string]int
}

// staleList is a listing with which the store answers until it is too old.
type staleList struct {
	objects  []objectstore.Object
	listedAt time.Time
}

// cachedList returns the latest listing of a kind, or a new one if that is too old.
func (l *slowLinks) cachedList(
	kind string, list func() ([]objectstore.Object, error),
) ([]objectstore.Object, error) {
	l.mutex.Lock()
	cached, found := l.lists[kind]
	l.mutex.Unlock()
	if found && time.Since(cached.listedAt) < l.stale {
		return cached.objects, nil
	}
	began := time.Now()
	objects, err := list()
	if err == nil {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.lists[kind] = staleList{objects, began}
	}
	return objects, err
}

// windowBytes is how much is in flight at a time. Bytes in flight occupy the link even if the
// receiver has given up.
const windowBytes = 16 << 10

func newSlowLinks() *slowLinks {
	return &slowLinks{
		rates: map[string]int{}, busy: map[string]time.Time{},
		lists: map[string]staleList{}, listings: map[string]int{},
	}
}

func (l *slowLinks) limit(node string, rate int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rates[node] = rate
}

// reserve queues bytes on a link and returns when they have passed.
func (l *slowLinks) reserve(node string, size int) time.Time {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	rate := l.rates[node]
	if rate == 0 {
		return now
	}
	if l.busy[node].Before(now) {
		l.busy[node] = now
	}
	l.busy[node] = l.busy[node].Add(time.Duration(size) * time.Second / time.Duration(rate))
	return l.busy[node]
}

// carry transfers bytes over the links of some nodes, unless ctx ends first.
func (l *slowLinks) carry(ctx context.Context, size int, nodes ...string) error {
	for size > 0 {
		part := min(size, windowBytes)
		size -= part
		var passed time.Time
		for _, node := range nodes {
			if until := l.reserve(node, part); until.After(passed) {
				passed = until
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(passed)):
		}
		stall.Received(ctx, part)
	}
	return nil
}

// storeLink is the name of the store's own link.
const storeLink = "store"

// countListing counts a listing of the store.
func (l *slowLinks) countListing(kind string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.listings[kind]++
}

// takeListings returns the listings of the store since the last call.
func (l *slowLinks) takeListings() map[string]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := l.listings
	l.listings = map[string]int{}
	return counts
}

// linkedStore is the store as reached over a node's link.
type linkedStore struct {
	*managed.Client
	links *slowLinks
	node  string
}

// List implements objectstore.Store.
func (s *linkedStore) List(ctx context.Context, kind string) ([]objectstore.Object, era.Revision, error) {
	s.links.countListing(kind)
	objects, revision, err := s.Client.List(ctx, kind)
	if err == nil {
		err = s.links.carry(ctx, contentBytes(objects), s.node, storeLink)
	}
	return objects, revision, err
}

// ListStale implements objectstore.Store.
func (s *linkedStore) ListStale(ctx context.Context, kind string) ([]objectstore.Object, error) {
	s.links.countListing(kind)
	objects, err := s.links.cachedList(kind, func() ([]objectstore.Object, error) {
		return s.Client.ListStale(ctx, kind)
	})
	if err == nil {
		// The header of the answer arrives at once.
		stall.Received(ctx, 0)
		err = s.links.carry(ctx, contentBytes(objects), s.node, storeLink)
	}
	return objects, err
}

// Watch implements objectstore.Store.
func (s *linkedStore) Watch(
	ctx context.Context, kind string, after era.Revision, wait time.Duration,
) ([]objectstore.Object, era.Revision, error) {
	objects, revision, err := s.Client.Watch(ctx, kind, after, wait)
	if err == nil {
		err = s.links.carry(ctx, contentBytes(objects), s.node, storeLink)
	}
	return objects, revision, err
}

func contentBytes(objects []objectstore.Object) int {
	size := 0
	for i := range objects {
		size += len(objects[i].Content)
	}
	return size
}

// TestNodesOnSlowLinksKeepUp guards against nodes, store readers among them, that miss a
// configuration version because their links need longer for it than the timeout of a request. Each
// version must be in force within its bound, also after a restart and while the store is down.
func TestNodesOnSlowLinksKeepUp(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const (
			nodes = 24
			bound = 4 * time.Second
			// slow is a rate at which the configuration of 1,000 routes takes about 1.5 s.
			slow = 150 << 10
		)
		fleet := newFleet(nodes, 0, nothingBroken)
		time.Sleep(10 * time.Second)
		for i := range 12 {
			fleet.links.limit(fleet.name(i), slow)
		}
		version := uint64(1)
		change := func(routes map[string]catalog.Route) {
			version++
			changed := testConfiguration(version, testTenants)
			changed.Routes = routes
			fleet.store.Put(managed.ConfigurationKind, "main", changed)
		}
		inForce := func(within time.Duration) {
			t.Helper()
			time.Sleep(within)
			for name, node := range fleet.nodes {
				must.Eq(t, version, configurationVersion(t, node), must.Sprint(name))
			}
		}
		change(manyRoutes(2))
		inForce(bound)
		change(testRoutes)
		inForce(bound)
		// The configuration is large again, and changes while it is being transferred.
		change(manyRoutes(4))
		time.Sleep(500 * time.Millisecond)
		change(manyRoutes(5))
		inForce(bound)
		fleet.stopNode(3)
		time.Sleep(6 * time.Second)
		fleet.startNode(3)
		inForce(bound)
		fleet.stopNode(4)
		time.Sleep(6 * time.Second)
		fleet.store.SetDown(true)
		fleet.startNode(4)
		inForce(bound)
		fleet.store.SetDown(false)
		change(testRoutes)
		inForce(bound)
		fleet.end()
	})
}
