// Package pause waits in a way that a context can end.
package pause

import (
	"context"
	"time"
)

// For waits for a duration; it reports false when the context ended first.
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
