package network

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"dewknot/internal/base/eventlog"
	"dewknot/internal/proxy/objectstore"
	"dewknot/internal/proxy/relay"
)

// transfers fetches large objects from other nodes in pieces. What has arrived of a
// version is kept until all of it has, so that another node goes on where one failed.
// Each kind has one follower, so one transfer of a kind runs at a time.
type transfers struct {
	node *Network

	mu      sync.Mutex
	partial map[string]*partialObject // by kind
}

// partialObject is what has arrived, compressed, of a version of an object.
type partialObject struct {
	objectstore.LargeObject
	content []byte
}

const (
	// mostTurnedAway is how often in a row a node may tell a transfer to come back
	// later before another node is asked.
	mostTurnedAway = 4
	// pieceAnswerLimit bounds the time until a piece begins to come, on a link that may
	// be full.
	pieceAnswerLimit = time.Second
)

func newTransfers(node *Network) *transfers {
	return &transfers{node: node, partial: map[string]*partialObject{}}
}

var (
	errTurnedAway  = errors.New("the node hands out as many pieces as it may; ask another one")
	errOtherObject = errors.New("the pieces do not make the object that was named; ask for it anew")
)

// fetch completes a version of an object with pieces of the node at an address. On an
// error, what has arrived is kept for the next node that names the same version.
func (t *transfers) fetch(ctx context.Context, address, kind string, wanted *objectstore.LargeObject) (objectstore.Object, error) {
	p := t.resume(kind, wanted)
	began, kept, turnedAway := time.Now(), len(p.content), 0
	for len(p.content) < p.Size {
		answer, err := t.ask(ctx, address, kind, p)
		if err != nil {
			t.node.Log.Write(eventlog.TransferInterrupted, zap.String("kind", kind), zap.Stringer("revision", p.Revision),
				zap.String("peer", address), zap.Int("have", len(p.content)), zap.Int("size", p.Size), zap.Error(err))
			return objectstore.Object{}, err
		}
		if answer.Later > 0 {
			if turnedAway++; turnedAway > mostTurnedAway {
				return objectstore.Object{}, errTurnedAway
			}
			t.node.waitAbout(ctx, answer.Later)
			continue
		}
		turnedAway = 0
		p.content = append(p.content, answer.Piece...)
	}
	t.forget(kind)
	object, err := p.Unpack(p.content)
	if err != nil {
		return object, err
	}
	t.node.Log.Write(eventlog.TransferDone, zap.String("kind", kind), zap.Stringer("revision", p.Revision), zap.String("peer", address),
		zap.Int("size", p.Size), zap.Int("resumed_at", kept), zap.Duration("took", time.Since(began)))
	return object, nil
}

// ask asks for the next piece.
func (t *transfers) ask(ctx context.Context, address, kind string, p *partialObject) (relay.Answer, error) {
	answer, err := t.node.askPeer(ctx, address, relay.Question{
		Kind: kind, Piece: &relay.Piece{Object: p.Name, Revision: p.Revision, Offset: len(p.content)},
	}, pieceAnswerLimit)
	switch {
	case err != nil:
		return answer, err
	case answer.Failed:
		return answer, failureOf(&answer)
	case answer.Later <= 0 && (len(answer.Piece) == 0 || len(p.content)+len(answer.Piece) > p.Size):
		return answer, errOtherObject
	}
	return answer, nil
}

// resume returns what has arrived of a version; of another one, it is dropped.
func (t *transfers) resume(kind string, wanted *objectstore.LargeObject) *partialObject {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.partial[kind]; known != nil && known.LargeObject == *wanted {
		return known
	}
	begun := &partialObject{LargeObject: *wanted}
	t.partial[kind] = begun
	return begun
}

func (t *transfers) forget(kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.partial, kind)
}
