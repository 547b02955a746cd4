package network

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/era"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/relay"
)

// fakePieceSource answers for nodes that know one version of a large object.
type fakePieceSource struct {
	Peers
	cache *objectstore.Cache
	// fails returns the error of the nth request. rejected holds the numbers of the requests that
	// are answered with RetryAfter.
	fails    func(request int) error
	rejected map[int]bool
	requests []relay.Request
	served   int
}

// discardSink ignores all changes.
type discardSink struct{ objectstore.Sink }

func (discardSink) Apply([]objectstore.Object, era.Revision) {}
func (discardSink) Reset([]objectstore.Object, era.Revision) {}

// Ask implements Peers.
func (p *fakePieceSource) Ask(_ context.Context, _ string, request relay.Request) (relay.Answer, error) {
	p.requests = append(p.requests, request)
	if err := p.fails(len(p.requests)); err != nil {
		return relay.Answer{}, err
	}
	if p.rejected[len(p.requests)] {
		return relay.Answer{RetryAfter: 50 * time.Millisecond}, nil
	}
	piece, err := p.cache.Piece(request.Piece.Object, request.Piece.Revision, request.Piece.Offset)
	if err != nil {
		return relay.Answer{Failed: true, Outcome: objectstore.OutcomeOf(err)}, nil
	}
	p.served++
	return relay.Answer{Piece: piece}, nil
}

// incompressible returns an object whose compressed form has the given number of pieces.
func incompressible(pieces int) objectstore.Object {
	content := make([]byte, pieces*objectstore.PieceBytes-100)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(content)
	return objectstore.Object{Name: "main", Revision: 7, Content: content}
}

func newPieceSource(object objectstore.Object) (*fakePieceSource, objectstore.LargeObject) {
	cache := objectstore.NewCache(discardSink{})
	cache.Apply([]objectstore.Object{object}, object.Revision)
	_, large := cache.SplitLarge([]objectstore.Object{object})
	return &fakePieceSource{cache: cache, rejected: map[int]bool{}, fails: func(int) error { return nil }}, large[0]
}

// TestTransferResumesAfterFailures guards against pieces that are sent twice and incomplete objects
// after failed requests.
func TestTransferResumesAfterFailures(t *testing.T) {
	for seed := range uint64(20) {
		bubbletest.Test(t, func(t *testing.T) {
			const pieces = 12
			random := rand.New(rand.NewPCG(seed, 1))
			object := incompressible(pieces)
			source, wanted := newPieceSource(object)
			source.fails = func(int) error {
				if random.IntN(2) == 0 {
					return net.ErrClosed
				}
				return nil
			}
			node := newTestNetwork(nil, source)
			defer node.Log.Close()
			var fetched objectstore.Object
			err := net.ErrClosed
			for attempts := 0; err != nil; attempts++ {
				must.Less(t, 200, attempts)
				fetched, err = node.transfers.fetch(t.Context(), fmt.Sprintf("node-%d", attempts), "kind", &wanted)
			}
			must.Eq(t, object.Revision, fetched.Revision)
			must.True(t, bytes.Equal(object.Content, fetched.Content))
			must.Eq(t, (wanted.Size+objectstore.PieceBytes-1)/objectstore.PieceBytes, source.served)
		})
	}
}

// TestTransferRetriesBusyNode guards against a transfer that gives up on a busy node at once, or
// never.
func TestTransferRetriesBusyNode(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		source, wanted := newPieceSource(incompressible(4))
		node := newTestNetwork(nil, source)
		defer node.Log.Close()
		source.rejected = map[int]bool{2: true, 3: true}
		began := time.Now()
		_, err := node.transfers.fetch(t.Context(), "a1", "kind", &wanted)
		must.NoError(t, err)
		must.Greater(t, 50*time.Millisecond, time.Since(began))
		for i := range 100 {
			source.rejected[len(source.requests)+i] = true
		}
		_, err = node.transfers.fetch(t.Context(), "a1", "kind", &wanted)
		must.ErrorIs(t, err, errNodeBusy)
	})
}

// TestNewerVersionRestartsTransfer guards against mixing pieces of two versions.
func TestNewerVersionRestartsTransfer(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		object := incompressible(4)
		source, wanted := newPieceSource(object)
		node := newTestNetwork(nil, source)
		defer node.Log.Close()
		source.fails = func(request int) error {
			if request == 3 {
				return net.ErrClosed
			}
			return nil
		}
		_, err := node.transfers.fetch(t.Context(), "a1", "kind", &wanted)
		must.Error(t, err)
		newer := object
		newer.Revision, newer.Content = 8, slices.Clone(object.Content)
		newer.Content[0]++
		source.cache.Apply([]objectstore.Object{newer}, 8)
		_, large := source.cache.SplitLarge([]objectstore.Object{newer})
		fetched, err := node.transfers.fetch(t.Context(), "a1", "kind", &large[0])
		must.NoError(t, err)
		must.True(t, bytes.Equal(newer.Content, fetched.Content))
		must.MapEmpty(t, node.transfers.partial)
	})
}
