package network

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/era"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/relay"
)

// countedStore lists slowly and counts how often.
type countedStore struct {
	objectstore.Store
	mu      sync.Mutex
	lists   int
	objects []objectstore.Object
}

func (s *countedStore) ListStale(context.Context, string) ([]objectstore.Object, error) {
	time.Sleep(50 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.objects, nil
}

func newReader(store objectstore.Store) *Network {
	n := listedNetwork([]string{"a1", "a2"}, &knowingPeers{})
	n.options.Kinds = Kinds{Members: "members", Leases: "leases", Readers: "readers"}
	n.ports.Store = store
	return n
}

// TestReaderListsOnceForAll: 200 nodes ask a reader for a listing at the same moment. It lists once,
// tells those that know the listing nothing, and lists again when it is too old.
func TestReaderListsOnceForAll(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		store := &countedStore{objects: []objectstore.Object{{Name: "n1", Revision: 3}, {Name: "n2", Revision: 4}}}
		n := newReader(store)
		defer n.Log.Close()
		var asking sync.WaitGroup
		sums := make([]era.Revision, 200)
		for i := range sums {
			asking.Go(func() {
				answer := n.Answer(t.Context(), relay.Question{Kind: "members", Within: listingAge})
				if !answer.Failed && len(answer.Objects) == 2 {
					sums[i] = answer.Revision
				}
			})
		}
		asking.Wait()
		must.Eq(t, 1, store.lists)
		for _, sum := range sums {
			must.Positive(t, uint64(sum))
			must.Eq(t, sums[0], sum)
		}
		known := n.Answer(t.Context(), relay.Question{Kind: "members", Within: listingAge, After: sums[0]})
		must.SliceEmpty(t, known.Objects)
		must.Eq(t, sums[0], known.Revision)
		time.Sleep(listingAge)
		store.objects = append(store.objects, objectstore.Object{Name: "n3", Revision: 5})
		changed := n.Answer(t.Context(), relay.Question{Kind: "members", Within: listingAge, After: sums[0]})
		must.Len(t, 3, changed.Objects)
		must.Eq(t, 2, store.lists)
	})
}

// TestSumsTellListingsApart: a name or a revision that differs makes another sum.
func TestSumsTellListingsApart(t *testing.T) {
	seen := map[era.Revision]string{}
	for _, objects := range [][]objectstore.Object{
		nil, {{Name: "a", Revision: 1}}, {{Name: "a", Revision: 2}}, {{Name: "b", Revision: 1}}, {{Name: "a", Revision: 1}, {Name: "b", Revision: 1}},
	} {
		sum := sumOf(objects)
		must.MapNotContainsKey(t, seen, sum, must.Sprint(objects, seen[sum]))
		seen[sum] = fmt.Sprint(objects)
	}
}

// TestUnreadableReadersAreLeftOut: an object of another writer names no readers.
func TestUnreadableReadersAreLeftOut(t *testing.T) {
	for _, content := range []string{``, `[]`, `{"readers":"all"}`, `{"nodes":"many"}`} {
		_, err := decodeReaders([]byte(content))
		must.ErrorContains(t, err, "is left out", must.Sprint(content))
	}
}
