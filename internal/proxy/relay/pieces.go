package relay

import (
	"sync"
	"time"
)

const (
	// maxPieces is how many pieces of large objects a node sends at a time: with
	// pieces of 32 KB, 0.4 s of a link of 2 Mbit/s, so that small answers still come
	// within their limits.
	maxPieces = 3
	// leastLater and mostLater bound the time after which an asker is told to come back.
	leastLater = 20 * time.Millisecond
	mostLater  = 500 * time.Millisecond
)

// pieceGate bounds the pieces that are sent at a time and tells the others when to
// ask again: in about the time that a piece has lately taken.
type pieceGate struct {
	mu      *sync.Mutex
	sending int
	// refused counts the askers that were sent away since a piece was last begun.
	refused int
	usual   time.Duration
}

func newPieceGate() pieceGate { return pieceGate{mu: &sync.Mutex{}} }

// enter begins a piece, or tells after which time to ask again.
func (g *pieceGate) enter() (began time.Time, later time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sending < maxPieces {
		g.sending++
		g.refused = 0
		return time.Now(), 0
	}
	g.refused++
	turns := time.Duration(1 + g.refused/maxPieces)
	return time.Time{}, min(max(turns*g.usual, leastLater), mostLater)
}

// leave ends a piece that took some time to send.
func (g *pieceGate) leave(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sending--
	const weight = 4
	g.usual += (took - g.usual) / weight
}
