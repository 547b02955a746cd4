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

// largeAnswerer answers every request with a megabyte.
type largeAnswerer struct{ echo }

const largeBytes = 1 << 20

func (largeAnswerer) Answer(context.Context, Request) Answer {
	return Answer{Objects: []objectstore.Object{{Content: make([]byte, largeBytes)}}}
}

// slowConn reads at a limited rate.
type slowConn struct {
	net.Conn
	bytesPerSecond int
}

func (c *slowConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer[:min(len(buffer), 4<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.bytesPerSecond))
	return n, err
}

// TestSlowClientReceivesLargeAnswer guards against a timeout of a large answer although the client
// keeps reading.
func TestSlowClientReceivesLargeAnswer(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		s := &server{handler: largeAnswerer{}, pieces: newPieceLimiter()}
		go s.serve(remote)
		ctx, cancel := stall.WithLimit(t.Context(), time.Second, time.Second)
		defer cancel()
		defer context.AfterFunc(ctx, func() { _ = local.Close() })()
		began := time.Now()
		must.NoError(t, send(local, Request{Kind: "k"}))
		var answer Answer
		must.NoError(t, receive(stall.Reader(ctx, &slowConn{local, 100 << 10}), &answer))
		must.Eq(t, largeBytes, len(answer.Objects[0].Content))
		must.Greater(t, 2*ioTimeout, time.Since(began))
		_ = local.Close()
	})
}

// TestStalledClientIsDropped guards against holding an answer forever for a client that reads
// nothing.
func TestStalledClientIsDropped(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		s := &server{handler: largeAnswerer{}, pieces: newPieceLimiter()}
		ended := make(chan time.Time, 1)
		go func() {
			s.serve(remote)
			ended <- time.Now()
		}()
		began := time.Now()
		must.NoError(t, send(local, Request{Kind: "k"}))
		must.Less(t, ioTimeout+100*time.Millisecond, (<-ended).Sub(began))
		_, err := io.Copy(io.Discard, local)
		must.NoError(t, err)
	})
}

// TestConcurrentPiecesAreLimited guards against sending too many pieces at a time and against
// retry delays that do not grow with the number of waiting clients.
func TestConcurrentPiecesAreLimited(t *testing.T) {
	limiter := newPieceLimiter()
	for range maxConcurrentPieces {
		_, retryAfter := limiter.acquire()
		must.Zero(t, retryAfter)
	}
	_, first := limiter.acquire()
	must.Eq(t, minRetryAfter, first)
	for range 100 {
		limiter.release(400 * time.Millisecond)
		_, retryAfter := limiter.acquire()
		must.Zero(t, retryAfter)
	}
	previous := time.Duration(0)
	for range 10 {
		_, retryAfter := limiter.acquire()
		must.GreaterEq(t, previous, retryAfter)
		must.LessEq(t, maxRetryAfter, retryAfter)
		previous = retryAfter
	}
	must.Eq(t, maxRetryAfter, previous)
	for range maxConcurrentPieces {
		limiter.release(0)
	}
	_, retryAfter := limiter.acquire()
	must.Zero(t, retryAfter)
}
