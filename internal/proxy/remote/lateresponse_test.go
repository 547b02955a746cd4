package remote

import (
	"bufio"
	"net"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/codec"
	"dewknot/internal/base/framing"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/upstream"
)

// scriptedOwner is an owner whose responses a test writes.
type scriptedOwner struct {
	t *testing.T
	r *bufio.Reader
	w *framing.Writer
}

func connectScripted(t *testing.T) (*Link, *scriptedOwner) {
	t.Helper()
	here, there := net.Pipe()
	link := NewLink(here, func(string, time.Time, position.Position) {}, ignoreReports)
	t.Cleanup(func() {
		link.Close()
		_ = there.Close()
	})
	return link, &scriptedOwner{t, bufio.NewReader(there), framing.NewWriter(there)}
}

// nextRequest returns the stream and the ID of the next request. It answers pings.
func (o *scriptedOwner) nextRequest() (stream uint64, id string) {
	for {
		f, err := framing.Read(o.r, maxFrameBytes)
		must.NoError(o.t, err)
		switch f.Kind {
		case framePing:
			must.NoError(o.t, o.w.Send(framePong, 0, &empty{}))
		case frameRequest:
			var req request
			must.NoError(o.t, codec.Decode(f.Body, &req))
			return f.Stream, req.Operations[0].RequestID
		}
	}
}

func (o *scriptedOwner) respond(stream uint64, id string) {
	must.NoError(o.t, o.w.Send(frameResponse, stream, &response{Results: []upstream.Result{{Signature: id, Rows: [][]byte{[]byte(id)}}}}))
}

// TestLateResponseReachesNobody guards against a response that arrives after its session has given up, or
// once more, and is taken for that of another session.
func TestLateResponseReachesNobody(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		link, owner := connectScripted(t)
		first := link.Session("s1", upstream.Own)
		go func() { _ = first.Send([]upstream.Operation{statement("late")}, time.Now().Add(50*time.Millisecond)) }()
		lateStream, id := owner.nextRequest()
		must.Eq(t, "late", id)
		_, err := first.Receive(upstream.RunStatement, time.Now().Add(50*time.Millisecond))
		must.ErrorIs(t, err, os.ErrDeadlineExceeded)
		must.False(t, first.Alive())

		for _, expected := range []string{"second", "third"} {
			session := link.Session("s1", upstream.Own)
			go func() { _ = session.Send([]upstream.Operation{statement(expected)}, testDeadline()) }()
			stream, id := owner.nextRequest()
			must.Eq(t, expected, id)
			must.NotEq(t, lateStream, stream)
			owner.respond(lateStream, "late")
			owner.respond(stream, expected)
			owner.respond(stream, "copy")
			result, err := session.Receive(upstream.RunStatement, testDeadline())
			must.NoError(t, err)
			must.Eq(t, expected, result.Signature)
			_, err = session.Receive(upstream.RunStatement, testDeadline())
			must.ErrorIs(t, err, ErrInDoubt)
		}
	})
}
