package relay

import (
	"sync"
	"time"
)

const (
	// maxConcurrentPieces is the number of pieces of large objects that a node sends at a time.
	// It leaves enough of a slow link for small answers to meet their timeouts.
	maxConcurrentPieces = 3
	// minRetryAfter and maxRetryAfter bound the delay that a rejected client is given.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 500 * time.Millisecond
)

// pieceLimiter limits the number of pieces that are sent at a time. It gives rejected clients a
// retry delay that is based on the average time to send a piece. It is safe for concurrent use.
type pieceLimiter struct {
	mu      *sync.Mutex
	sending int
	// rejected counts the clients that were rejected since a piece was last admitted.
	rejected    int
	averageTime time.Duration
}

func newPieceLimiter() pieceLimiter { return pieceLimiter{mu: &sync.Mutex{}} }

// acquire admits a piece and returns the start time to measure it from, or returns the delay after
// which to retry. The caller must call release once the piece is sent.
func (l *pieceLimiter) acquire() (began time.Time, retryAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sending < maxConcurrentPieces {
		l.sending++
		l.rejected = 0
		return time.Now(), 0
	}
	l.rejected++
	rounds := time.Duration(1 + l.rejected/maxConcurrentPieces)
	return time.Time{}, min(max(rounds*l.averageTime, minRetryAfter), maxRetryAfter)
}

// release records that a piece was sent in the given time.
func (l *pieceLimiter) release(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sending--
	const weight = 4
	l.averageTime += (took - l.averageTime) / weight
}
