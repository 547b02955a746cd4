package backend

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	_ "dewknot/internal/base/propertytest" // fixes the seed
)

// scriptedServer is a PostgreSQL server that answers the n-th query with the n-th script.
func scriptedServer(t *testing.T, scripts ...[]pgproto3.BackendMessage) *Pool {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScripts(conn, scripts)
		}
	}()
	return NewPool(Address{Server: listener.Addr().String(), User: "u", Database: "d"})
}

func serveScripts(conn net.Conn, scripts [][]pgproto3.BackendMessage) {
	protocol := pgproto3.NewBackend(conn, conn)
	if _, err := protocol.ReceiveStartupMessage(); err != nil {
		return
	}
	protocol.Send(&pgproto3.AuthenticationOk{})
	protocol.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}})
	protocol.Send(&pgproto3.ReadyForQuery{TxStatus: Idle})
	for _, script := range scripts {
		if protocol.Flush() != nil {
			return
		}
		for {
			message, err := protocol.Receive()
			if err != nil {
				return
			}
			_, isQuery := message.(*pgproto3.Query)
			_, isSync := message.(*pgproto3.Sync)
			if isQuery || isSync {
				break
			}
		}
		for _, message := range script {
			protocol.Send(message)
		}
	}
	_ = protocol.Flush()
}

func queryBatch(t must.T) Batch {
	encoded, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	must.NoError(t, err)
	return Batch{Messages: encoded}
}

// answer is the answer to a query with one row.
func answer(row string) []pgproto3.BackendMessage {
	return []pgproto3.BackendMessage{
		&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("c")}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte(row)}},
		&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")},
		&pgproto3.ReadyForQuery{TxStatus: Idle},
	}
}

func acquire(t *testing.T, pool *Pool) *Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := pool.Acquire(ctx)
	must.NoError(t, err)
	t.Cleanup(conn.Close)
	return conn
}

func ignore([]byte) error { return nil }

// TestAnswerSentTwiceReachesNobodyElse: an answer that a server sends again while a connection is idle
// must not be taken for the answer to the next query, which may be another caller's.
func TestAnswerSentTwiceReachesNobodyElse(t *testing.T) {
	pool := scriptedServer(t, append(answer("first"), answer("first")...), answer("second"))
	conn := acquire(t, pool)
	_, err := conn.Run(queryBatch(t), false, ignore)
	must.NoError(t, err)
	for deadline := time.Now().Add(5 * time.Second); conn.Quiet(); time.Sleep(time.Millisecond) {
		must.True(t, time.Now().Before(deadline))
	}
	report, err := conn.Run(queryBatch(t), false, ignore)
	must.ErrorIs(t, err, ErrUnexpectedData)
	must.False(t, report.Sent)
	_, err = conn.Status(time.Now().Add(time.Second))
	must.ErrorIs(t, err, ErrUnexpectedData)
	pool.Release(conn)
	must.True(t, acquire(t, pool) != conn)
}

// TestMessagesOutOfOrderEndTheConnection: a copy of a part of an answer must neither be taken for a
// part of another one nor end the process.
func TestMessagesOutOfOrderEndTheConnection(t *testing.T) {
	parse := Batch{}
	statement := Statement{Name: "dk_1", Query: "SELECT 1"}
	parse.Statements = []Statement{statement}
	var err error
	for _, message := range []pgproto3.FrontendMessage{
		&pgproto3.Parse{Name: "dk_1", Query: "SELECT 1"}, &pgproto3.Bind{PreparedStatement: "dk_1"}, &pgproto3.Describe{ObjectType: 'P'},
		&pgproto3.Execute{}, &pgproto3.Sync{},
	} {
		parse.Messages, err = message.Encode(parse.Messages)
		must.NoError(t, err)
	}
	whole := append([]pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.BindComplete{}}, answer("row")...)
	run := func(t *testing.T, batch Batch, script []pgproto3.BackendMessage) error {
		conn := acquire(t, scriptedServer(t, script))
		must.NoError(t, conn.net.SetDeadline(time.Now().Add(5*time.Second)))
		_, err := conn.Run(batch, false, ignore)
		return err
	}
	must.NoError(t, run(t, parse, whole))
	rapid.Check(t, func(rt *rapid.T) {
		batch, script := parse, whole
		simple := rapid.Bool().Draw(rt, "simple")
		if simple {
			batch, script = queryBatch(rt), answer("row")
		}
		copied := rapid.SampledFrom(append([]pgproto3.BackendMessage{&pgproto3.ErrorResponse{Code: "57014"}}, whole...)).Draw(rt, "copy")
		at := rapid.IntRange(0, len(script)-1).Draw(rt, "at")
		sent := append(append(append([]pgproto3.BackendMessage{}, script[:at]...), copied), script[at:]...)
		err := run(t, batch, sent)
		if mayFollow(copied, script[at], simple) {
			must.NoError(rt, err, must.Sprintf("%T before %T", copied, script[at]))
			return
		}
		var order *OrderError
		must.True(rt, errors.As(err, &order), must.Sprintf("%T before %T: %v", copied, script[at], err))
	})
}

// mayFollow reports whether a message may precede the next one in an answer. A simple query may have
// several statements.
func mayFollow(message, next pgproto3.BackendMessage, simple bool) bool {
	_, beforeComplete := next.(*pgproto3.CommandComplete)
	_, beforeRow := next.(*pgproto3.DataRow)
	switch message.(type) {
	case *pgproto3.ErrorResponse, *pgproto3.ReadyForQuery:
		return isReady(next)
	case *pgproto3.DataRow:
		return simple || beforeComplete || beforeRow
	case *pgproto3.RowDescription, *pgproto3.CommandComplete:
		return simple
	default:
		return false
	}
}

func isReady(message pgproto3.BackendMessage) bool {
	_, ready := message.(*pgproto3.ReadyForQuery)
	return ready
}
