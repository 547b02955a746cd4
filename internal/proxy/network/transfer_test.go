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

// pieceSource answers for nodes that know one version of a large object.
type pieceSource struct {
	Peers
	cache *objectstore.Cache
	// fails tells what befalls the question with a number.
	fails  func(question int) error
	turned map[int]bool
	asked  []relay.Question
	served int
}

// ignoring is a sink that takes everything.
type ignoring struct{ objectstore.Sink }

func (ignoring) Apply([]objectstore.Object, era.Revision) {}
func (ignoring) Reset([]objectstore.Object, era.Revision) {}

// Ask implements Peers.
func (p *pieceSource) Ask(_ context.Context, _ string, question relay.Question) (relay.Answer, error) {
	p.asked = append(p.asked, question)
	if err := p.fails(len(p.asked)); err != nil {
		return relay.Answer{}, err
	}
	if p.turned[len(p.asked)] {
		return relay.Answer{Later: 50 * time.Millisecond}, nil
	}
	piece, err := p.cache.Piece(question.Piece.Object, question.Piece.Revision, question.Piece.Offset)
	if err != nil {
		return relay.Answer{Failed: true, Outcome: objectstore.OutcomeOf(err)}, nil
	}
	p.served++
	return relay.Answer{Piece: piece}, nil
}

// incompressible returns an object of some pieces.
func incompressible(pieces int) objectstore.Object {
	content := make([]byte, pieces*objectstore.PieceBytes-100)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(content)
	return objectstore.Object{Name: "main", Revision: 7, Content: content}
}

func newPieceSource(object objectstore.Object) (*pieceSource, objectstore.LargeObject) {
	cache := objectstore.NewCache(ignoring{})
	cache.Apply([]objectstore.Object{object}, object.Revision)
	_, large := cache.NameLarge([]objectstore.Object{object})
	return &pieceSource{cache: cache, turned: map[int]bool{}, fails: func(int) error { return nil }}, large[0]
}

// TestTransferGoesOnWhereItFailed: whatever questions fail, each piece is sent once, and
// the object is whole in the end.
func TestTransferGoesOnWhereItFailed(t *testing.T) {
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
			node := listedNetwork(nil, source)
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

// TestTransferComesBackLater: a node that hands out as many pieces as it may is asked
// again a few times, then left.
func TestTransferComesBackLater(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		source, wanted := newPieceSource(incompressible(4))
		node := listedNetwork(nil, source)
		defer node.Log.Close()
		source.turned = map[int]bool{2: true, 3: true}
		began := time.Now()
		_, err := node.transfers.fetch(t.Context(), "a1", "kind", &wanted)
		must.NoError(t, err)
		must.Greater(t, 50*time.Millisecond, time.Since(began))
		for i := range 100 {
			source.turned[len(source.asked)+i] = true
		}
		_, err = node.transfers.fetch(t.Context(), "a1", "kind", &wanted)
		must.ErrorIs(t, err, errTurnedAway)
	})
}

// TestNewerVersionBeginsAnew: what has arrived of another version is of no use.
func TestNewerVersionBeginsAnew(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		object := incompressible(4)
		source, wanted := newPieceSource(object)
		node := listedNetwork(nil, source)
		defer node.Log.Close()
		source.fails = func(question int) error {
			if question == 3 {
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
		_, large := source.cache.NameLarge([]objectstore.Object{newer})
		fetched, err := node.transfers.fetch(t.Context(), "a1", "kind", &large[0])
		must.NoError(t, err)
		must.True(t, bytes.Equal(newer.Content, fetched.Content))
		must.MapEmpty(t, node.transfers.partial)
	})
}
