package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/stall"
	"dewknot/internal/proxy/objectstore"
)

// large answers every question with a megabyte.
type large struct{ echo }

const largeBytes = 1 << 20

func (large) Answer(context.Context, Question) Answer {
	return Answer{Objects: []objectstore.Object{{Content: make([]byte, largeBytes)}}}
}

// slowConn takes what it reads at a limited rate.
type slowConn struct {
	net.Conn
	perSecond int
}

func (c *slowConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer[:min(len(buffer), 4<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.perSecond))
	return n, err
}

// TestSlowAskerGetsALargeAnswer: an answer that takes longer than any limit of the
// protocol arrives, as long as the asker takes some of it.
func TestSlowAskerGetsALargeAnswer(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		s := &server{handler: large{}, pieces: newPieceGate()}
		go s.serve(there)
		ctx, cancel := stall.WithLimit(t.Context(), time.Second, time.Second)
		defer cancel()
		defer context.AfterFunc(ctx, func() { _ = here.Close() })()
		began := time.Now()
		must.NoError(t, send(here, Question{Kind: "k"}))
		var answer Answer
		must.NoError(t, receive(stall.Reader(ctx, &slowConn{here, 100 << 10}), &answer))
		must.Eq(t, largeBytes, len(answer.Objects[0].Content))
		must.Greater(t, 2*serveLimit, time.Since(began))
		_ = here.Close()
	})
}

// TestAskerThatTakesNothingIsLeft: the process does not keep an answer for ever.
func TestAskerThatTakesNothingIsLeft(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		here, there := net.Pipe()
		s := &server{handler: large{}, pieces: newPieceGate()}
		ended := make(chan time.Time, 1)
		go func() {
			s.serve(there)
			ended <- time.Now()
		}()
		began := time.Now()
		must.NoError(t, send(here, Question{Kind: "k"}))
		must.Less(t, serveLimit+100*time.Millisecond, (<-ended).Sub(began))
		_, err := io.Copy(io.Discard, here)
		must.NoError(t, err)
	})
}

// TestPiecesAreBounded: a node sends a few pieces at a time and tells the others when
// to come back, later the more there are.
func TestPiecesAreBounded(t *testing.T) {
	g := newPieceGate()
	for range maxPieces {
		_, later := g.enter()
		must.Zero(t, later)
	}
	_, first := g.enter()
	must.Eq(t, leastLater, first)
	for range 100 {
		g.leave(400 * time.Millisecond)
		_, later := g.enter()
		must.Zero(t, later)
	}
	previous := time.Duration(0)
	for range 10 {
		_, later := g.enter()
		must.GreaterEq(t, previous, later)
		must.LessEq(t, mostLater, later)
		previous = later
	}
	must.Eq(t, mostLater, previous)
	for range maxPieces {
		g.leave(0)
	}
	_, later := g.enter()
	must.Zero(t, later)
}
