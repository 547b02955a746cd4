// Package pause provides a sleep that ends early when a context is done.
package pause

import (
	"context"
	"time"
)

// For sleeps for the duration. It reports false if the context was done first.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
