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

// countingStore lists slowly and counts its listings.
type countingStore struct {
	objectstore.Store
	mu      sync.Mutex
	lists   int
	objects []objectstore.Object
}

func (s *countingStore) ListStale(context.Context, string) ([]objectstore.Object, error) {
	time.Sleep(50 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return s.objects, nil
}

func newReader(store objectstore.Store) *Network {
	n := newTestNetwork([]string{"a1", "a2"}, &fakePeers{})
	n.options.Kinds = Kinds{Members: "members", Leases: "leases", Readers: "readers"}
	n.ports.Store = store
	return n
}

// TestReaderSharesOneListing guards against a reader that lists once per request, sends a listing
// that the client already has, or answers with one that is too old.
func TestReaderSharesOneListing(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		store := &countingStore{objects: []objectstore.Object{{Name: "n1", Revision: 3}, {Name: "n2", Revision: 4}}}
		n := newReader(store)
		defer n.Log.Close()
		var clients sync.WaitGroup
		checksums := make([]era.Revision, 200)
		for i := range checksums {
			clients.Go(func() {
				answer := n.Answer(t.Context(), relay.Request{Kind: "members", MaxAge: maxListingAge})
				if !answer.Failed && len(answer.Objects) == 2 {
					checksums[i] = answer.Revision
				}
			})
		}
		clients.Wait()
		must.Eq(t, 1, store.lists)
		for _, sum := range checksums {
			must.Positive(t, uint64(sum))
			must.Eq(t, checksums[0], sum)
		}
		known := n.Answer(t.Context(), relay.Request{Kind: "members", MaxAge: maxListingAge, After: checksums[0]})
		must.SliceEmpty(t, known.Objects)
		must.Eq(t, checksums[0], known.Revision)
		time.Sleep(maxListingAge)
		store.objects = append(store.objects, objectstore.Object{Name: "n3", Revision: 5})
		changed := n.Answer(t.Context(), relay.Request{Kind: "members", MaxAge: maxListingAge, After: checksums[0]})
		must.Len(t, 3, changed.Objects)
		must.Eq(t, 2, store.lists)
	})
}

// TestChecksumDistinguishesListings guards against equal checksums for different names or
// revisions.
func TestChecksumDistinguishesListings(t *testing.T) {
	seen := map[era.Revision]string{}
	for _, objects := range [][]objectstore.Object{
		nil, {{Name: "a", Revision: 1}}, {{Name: "a", Revision: 2}}, {{Name: "b", Revision: 1}}, {{Name: "a", Revision: 1}, {Name: "b", Revision: 1}},
	} {
		sum := checksumOf(objects)
		must.MapNotContainsKey(t, seen, sum, must.Sprint(objects, seen[sum]))
		seen[sum] = fmt.Sprint(objects)
	}
}

// TestUnreadableReadersObjectIsIgnored guards against readers from a malformed object.
func TestUnreadableReadersObjectIsIgnored(t *testing.T) {
	for _, content := range []string{``, `[]`, `{"readers":"all"}`, `{"nodes":"many"}`} {
		_, err := decodeReaders([]byte(content))
		must.ErrorContains(t, err, "is left out", must.Sprint(content))
	}
}
