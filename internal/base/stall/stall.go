// Package stall bounds an operation by its progress in place of its length: a
// context that ends once nothing has come for a while. How long a transfer takes
// depends on its size and on the link; only silence tells that it will not end.
//
// The context carries the limit, so ports need no argument for it. What receives
// bytes on behalf of the operation says so, through Reader or Received.
package stall

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStalled is the cause of a context that ended for want of progress.
var ErrStalled = errors.New("nothing has come for too long; ask another source, or again later")

// leastBytes is the least amount that counts as progress after the first byte: a
// source that sends less within a limit is as good as silent.
const leastBytes = 512

type key struct{}

// progress is the state of one limited context.
type progress struct {
	between time.Duration
	timer   *time.Timer

	mu sync.Mutex
	// pending counts the bytes that have come since the last extension.
	pending int
	first   time.Time
}

// WithLimit returns a context that ends if the first byte takes longer than first,
// or later ones longer than between.
func WithLimit(ctx context.Context, first, between time.Duration) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithCancelCause(ctx)
	p := &progress{between: between, timer: time.AfterFunc(first, func() { cancel(ErrStalled) })}
	return context.WithValue(limited, key{}, p), func() {
		p.timer.Stop()
		cancel(context.Canceled)
	}
}

// Received tells a limited context that bytes have come; zero stands for a sign of
// the answer's beginning. Other contexts ignore it.
func Received(ctx context.Context, bytes int) {
	p, limited := ctx.Value(key{}).(*progress)
	if !limited {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending += bytes
	began := p.first.IsZero()
	if began {
		p.first = time.Now()
	}
	if began || p.pending >= leastBytes {
		p.pending = 0
		p.timer.Reset(p.between)
	}
}

// Began returns when the first byte came; the present time if none has been noted,
// as in a context without a limit.
func Began(ctx context.Context) time.Time {
	if p, limited := ctx.Value(key{}).(*progress); limited {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.first.IsZero() {
			return p.first
		}
	}
	return time.Now()
}

// Reader notes what is read from r as progress.
func Reader(ctx context.Context, r io.Reader) io.Reader { return &reader{ctx, r} }

type reader struct {
	ctx context.Context
	r   io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(buffer []byte) (int, error) {
	n, err := r.r.Read(buffer)
	if n > 0 {
		Received(r.ctx, n)
	}
	return n, err
}
