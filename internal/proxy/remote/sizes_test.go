package remote

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"dewknot/internal/base/bubbletest"
	"dewknot/internal/base/position"
	"dewknot/internal/proxy/command"
	"dewknot/internal/proxy/upstream"
)

// rowServer is a server whose answers have the rows that the request's ID names.
type rowServer struct {
	*fakeServer
	rows map[string][][]byte
}

func newRowServer(rows map[string][][]byte) *rowServer {
	s := &rowServer{fakeServer: newFakeServer(), rows: rows}
	s.pool = upstream.NewPool(s, upstream.Target{Server: "s1"}, 8, upstream.NewStats())
	return s
}

func (s *rowServer) Dial(context.Context, upstream.Target) (upstream.Connection, position.Position, error) {
	return &rowConnection{fakeConnection: fakeConnection{server: s.fakeServer}, rows: s.rows}, position.Position{}, nil
}

type rowConnection struct {
	fakeConnection
	rows map[string][][]byte
}

func (c *rowConnection) Receive(kind upstream.OperationKind, deadline time.Time) (upstream.Result, error) {
	result, err := c.fakeConnection.Receive(kind, deadline)
	if len(result.Rows) == 1 {
		if rows, found := c.rows[string(result.Rows[0])]; found {
			result.Rows = rows
		}
	}
	return result, err
}

// slowConn is a connection that passes a limited number of bytes per second.
type slowConn struct {
	net.Conn
	bytesPerSecond int
}

func (c slowConn) Write(content []byte) (int, error) {
	const segment = 16 << 10
	written := 0
	for written < len(content) {
		next := content[written:min(len(content), written+segment)]
		time.Sleep(time.Duration(len(next)) * time.Second / time.Duration(c.bytesPerSecond))
		n, err := c.Conn.Write(next)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// connectSlowly opens a link whose owner sends a limited number of bytes per second.
func connectSlowly(t *testing.T, host Host, bytesPerSecond int) *Link {
	t.Helper()
	owner := NewOwner(host)
	here, there := net.Pipe()
	go owner.Serve(slowConn{there, bytesPerSecond})
	link := NewLink(here, func(string, time.Time, position.Position) {}, ignoreReports)
	t.Cleanup(link.Close)
	return link
}

// answerOf returns rows of one size that make up the largest answer of a server.
func answerOf(rowBytes int) [][]byte {
	const word = len("ROW ")
	rows := make([][]byte, upstream.MaxAnswerBytes/(rowBytes+word))
	for i := range rows {
		rows[i] = make([]byte, rowBytes)
	}
	return rows
}

func checkLinkServes(t *testing.T, link *Link, id string) {
	t.Helper()
	batch := lease(link, "s1").Run([]upstream.Operation{statement(id)}, testDeadline())
	must.NoError(t, batch.Err)
	must.Eq(t, id, string(batch.Last().Rows[0]))
}

// TestLargestAnswerDoesNotBreakTheLink: an answer of the largest size must pass a link, also a slow
// one, and the requests of others on the link must not fail because of it.
func TestLargestAnswerDoesNotBreakTheLink(t *testing.T) {
	for _, rowBytes := range []int{16, 255, 256, 65535, 65536, 1<<20 - 6} {
		bubbletest.Test(t, func(t *testing.T) {
			rows := answerOf(rowBytes)
			// The answer takes 3.4 s, which is longer than an owner may be silent.
			link := connectSlowly(t, newRowServer(map[string][][]byte{"large": rows}), 5<<20)
			large := make(chan upstream.Batch, 1)
			go func() {
				large <- lease(link, "s1").Run([]upstream.Operation{statement("large")}, time.Now().Add(20*time.Second))
			}()
			time.Sleep(10 * time.Millisecond)
			checkLinkServes(t, link, "small")
			batch := <-large
			must.NoError(t, batch.Err, must.Sprintf("rows of %d bytes", rowBytes))
			must.Eq(t, len(rows), len(batch.Last().Rows))
			must.True(t, link.Alive())
		})
	}
}

// TestAnswerOverTheLimitFailsAlone: an answer that is too large for a link must fail only for the one
// who asked.
func TestAnswerOverTheLimitFailsAlone(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		rows := append(answerOf(1<<20), make([]byte, 4<<20))
		link := connectSlowly(t, newRowServer(map[string][][]byte{"large": rows}), 1<<30)
		l := lease(link, "s1")
		batch := l.Run([]upstream.Operation{statement("large")}, testDeadline())
		must.ErrorIs(t, batch.Err, ErrInDoubt)
		l.Discard()
		checkLinkServes(t, link, "small")
	})
}

// TestManySessionValuesDoNotBreakTheLink: a session with as many values and as large a statement as a
// node accepts must be served through an owner, and must not end the link for others.
func TestManySessionValuesDoNotBreakTheLink(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		const maxValues, valueBytes, maxTextBytes = 256, 16 << 10, 1 << 20
		link := connectSlowly(t, newFakeServer(), 1<<30)
		values := map[string]string{}
		for i := range maxValues {
			values[fmt.Sprintf("v%d", i)] = string(make([]byte, valueBytes))
		}
		l := lease(link, "s1")
		run := statement("many")
		run.Statement = &command.Statement{
			RequestID: "many", Prepared: true, Definition: command.PreparedStatement{Shape: string(make([]byte, maxTextBytes))},
			Arguments: string(make([]byte, maxTextBytes)),
		}
		batch := l.Run(append(l.Adapt(values, run.Statement), run), testDeadline())
		must.NoError(t, batch.Err)
		must.Eq(t, "many", string(batch.Last().Rows[0]))
		checkLinkServes(t, link, "small")
	})
}

// TestLongDeadlineDoesNotBreakTheLink: work of a route with a long timeout must be served through an
// owner, and must not end the link for others.
func TestLongDeadlineDoesNotBreakTheLink(t *testing.T) {
	bubbletest.Test(t, func(t *testing.T) {
		link, _, _ := connect(t, newFakeServer())
		batch := lease(link, "s1").Run([]upstream.Operation{statement("long")}, time.Now().Add(24*time.Hour))
		must.NoError(t, batch.Err)
		checkLinkServes(t, link, "small")
	})
}
