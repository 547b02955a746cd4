package stall

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
)

// TestProgressKeepsContext guards against canceling an operation that makes progress, and against
// keeping it after progress stopped.
func TestProgressKeepsContext(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		ctx, cancel := WithLimit(context.Background(), time.Second, 400*time.Millisecond)
		defer cancel()
		time.Sleep(900 * time.Millisecond)
		Received(ctx, 1)
		began := time.Now()
		for range 20 {
			time.Sleep(300 * time.Millisecond)
			Received(ctx, minProgressBytes)
			must.NoError(t, ctx.Err())
		}
		must.Eq(t, began, FirstByteTime(ctx))
		time.Sleep(401 * time.Millisecond)
		must.ErrorIs(t, context.Cause(ctx), ErrStalled)
	})
}

// TestMissingProgressCancelsContext guards against an operation that receives nothing, or too few
// bytes to count as progress.
func TestMissingProgressCancelsContext(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		silent, cancel := WithLimit(context.Background(), time.Second, 400*time.Millisecond)
		defer cancel()
		time.Sleep(1001 * time.Millisecond)
		must.ErrorIs(t, context.Cause(silent), ErrStalled)

		trickle, cancel := WithLimit(context.Background(), time.Second, 400*time.Millisecond)
		defer cancel()
		for range 5 {
			Received(trickle, 1)
			time.Sleep(100 * time.Millisecond)
		}
		must.ErrorIs(t, context.Cause(trickle), ErrStalled)
	})
}
