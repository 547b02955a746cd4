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

// transfers fetches large objects from other nodes in pieces. The received part of a version is
// kept until it is complete, so that a transfer can resume at another node. Each kind has one
// follower, so at most one transfer of a kind runs at a time.
type transfers struct {
	node *Network

	mu      sync.Mutex
	partial map[string]*partialObject // by kind
}

// partialObject is the received part, compressed, of a version of an object.
type partialObject struct {
	objectstore.LargeObject
	content []byte
}

const (
	// maxRejections is how many consecutive times a node may reject a request for a piece before
	// another node is asked.
	maxRejections = 4
	// pieceAnswerTimeout bounds the time until a piece begins to arrive on a link that may be
	// saturated.
	pieceAnswerTimeout = time.Second
)

func newTransfers(node *Network) *transfers {
	return &transfers{node: node, partial: map[string]*partialObject{}}
}

var (
	errNodeBusy       = errors.New("the node already sends the maximum number of pieces; ask another node")
	errObjectMismatch = errors.New("the pieces do not match the announced object; request it again")
)

// fetch completes a version of an object with pieces from the node at an address. After an error,
// the received part is kept for the next node that offers the same version.
func (t *transfers) fetch(ctx context.Context, address, kind string, wanted *objectstore.LargeObject) (objectstore.Object, error) {
	p := t.resume(kind, wanted)
	began, resumedAt, rejections := time.Now(), len(p.content), 0
	for len(p.content) < p.Size {
		answer, err := t.ask(ctx, address, kind, p)
		if err != nil {
			t.node.Log.Write(eventlog.TransferInterrupted, zap.String("kind", kind), zap.Stringer("revision", p.Revision),
				zap.String("peer", address), zap.Int("have", len(p.content)), zap.Int("size", p.Size), zap.Error(err))
			return objectstore.Object{}, err
		}
		if answer.RetryAfter > 0 {
			if rejections++; rejections > maxRejections {
				return objectstore.Object{}, errNodeBusy
			}
			t.node.waitJittered(ctx, answer.RetryAfter)
			continue
		}
		rejections = 0
		p.content = append(p.content, answer.Piece...)
	}
	t.discard(kind)
	object, err := p.Unpack(p.content)
	if err != nil {
		return object, err
	}
	t.node.Log.Write(eventlog.TransferDone, zap.String("kind", kind), zap.Stringer("revision", p.Revision), zap.String("peer", address),
		zap.Int("size", p.Size), zap.Int("resumed_at", resumedAt), zap.Duration("took", time.Since(began)))
	return object, nil
}

// ask requests the next piece.
func (t *transfers) ask(ctx context.Context, address, kind string, p *partialObject) (relay.Answer, error) {
	answer, err := t.node.askPeer(ctx, address, relay.Request{
		Kind: kind, Piece: &relay.Piece{Object: p.Name, Revision: p.Revision, Offset: len(p.content)},
	}, pieceAnswerTimeout)
	switch {
	case err != nil:
		return answer, err
	case answer.Failed:
		return answer, answerError(&answer)
	case answer.RetryAfter <= 0 && (len(answer.Piece) == 0 || len(p.content)+len(answer.Piece) > p.Size):
		return answer, errObjectMismatch
	}
	return answer, nil
}

// resume returns the received part of the wanted version and discards that of any other version.
func (t *transfers) resume(kind string, wanted *objectstore.LargeObject) *partialObject {
	t.mu.Lock()
	defer t.mu.Unlock()
	if existing := t.partial[kind]; existing != nil && existing.LargeObject == *wanted {
		return existing
	}
	fresh := &partialObject{LargeObject: *wanted}
	t.partial[kind] = fresh
	return fresh
}

func (t *transfers) discard(kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.partial, kind)
}
