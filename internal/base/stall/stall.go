// Package stall provides a context that is canceled when a transfer makes no progress. A fixed
// deadline does not suit transfers, because their duration depends on the size and the link.
//
// The timeouts are part of the context, so interfaces need no argument for them. Code that
// receives bytes for the operation reports them with Reader or Received.
package stall

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrStalled is the cause of a context that was canceled because of missing progress.
var ErrStalled = errors.New("no data received within the timeout; try another source or retry later")

// minProgressBytes is the minimum number of bytes within a timeout that count as progress after
// the first byte.
const minProgressBytes = 512

type key struct{}

// progress is the state of a context with timeouts.
type progress struct {
	idleTimeout time.Duration
	timer       *time.Timer

	mu sync.Mutex
	// pending is the number of bytes since the timer was last reset.
	pending     int
	firstByteAt time.Time
}

// WithLimit returns a context that is canceled if the first byte takes longer than
// firstByteTimeout, or later progress longer than idleTimeout.
func WithLimit(ctx context.Context, firstByteTimeout, idleTimeout time.Duration) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithCancelCause(ctx)
	p := &progress{idleTimeout: idleTimeout, timer: time.AfterFunc(firstByteTimeout, func() { cancel(ErrStalled) })}
	return context.WithValue(limited, key{}, p), func() {
		p.timer.Stop()
		cancel(context.Canceled)
	}
}

// Received reports received bytes to a context of WithLimit. Zero reports that the answer has
// begun. It has no effect on other contexts.
func Received(ctx context.Context, bytes int) {
	p, limited := ctx.Value(key{}).(*progress)
	if !limited {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pending += bytes
	isFirst := p.firstByteAt.IsZero()
	if isFirst {
		p.firstByteAt = time.Now()
	}
	if isFirst || p.pending >= minProgressBytes {
		p.pending = 0
		p.timer.Reset(p.idleTimeout)
	}
}

// FirstByteTime returns the time of the first byte. It returns the current time if no byte was
// reported or the context is not one of WithLimit.
func FirstByteTime(ctx context.Context) time.Time {
	if p, limited := ctx.Value(key{}).(*progress); limited {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.firstByteAt.IsZero() {
			return p.firstByteAt
		}
	}
	return time.Now()
}

// Reader returns a reader of r that reports the bytes read to the context.
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
