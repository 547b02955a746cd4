package fleet

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/shoenig/test/must"
)

// receive reads messages up to the first of type T.
func receive[T pgproto3.BackendMessage](t *testing.T, frontend *pgproto3.Frontend) T {
	t.Helper()
	for {
		message, err := frontend.Receive()
		must.NoError(t, err)
		if found, ok := message.(T); ok {
			return found
		}
		switch typed := message.(type) {
		case *pgproto3.ReadyForQuery:
			t.Fatalf("ready before %T", *new(T))
		case *pgproto3.ErrorResponse:
			t.Fatalf("error %s %s before %T", typed.Code, typed.Message, *new(T))
		}
	}
}

// Answers and errors must reach a caller that sent Flush and hasn't sent Sync yet.
func TestFlush(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	setup := connect(t, f, 0, "ann")
	_, err := setup.Exec(ctx, "CREATE TABLE seats (id INTEGER PRIMARY KEY)")
	must.NoError(t, err)
	frontend := connect(t, f, 1, "ann").PgConn().Frontend()
	send := func(messages ...pgproto3.FrontendMessage) {
		for _, message := range messages {
			frontend.Send(message)
		}
		must.NoError(t, frontend.Flush())
	}
	send(&pgproto3.Parse{Name: "insert", Query: "INSERT INTO seats VALUES ($1)"}, &pgproto3.Flush{})
	receive[*pgproto3.ParseComplete](t, frontend)
	send(&pgproto3.Bind{PreparedStatement: "insert", Parameters: [][]byte{[]byte("7")}}, &pgproto3.Execute{}, &pgproto3.Flush{})
	receive[*pgproto3.CommandComplete](t, frontend)
	send(&pgproto3.Sync{})
	must.Eq(t, 'I', receive[*pgproto3.ReadyForQuery](t, frontend).TxStatus)
	send(&pgproto3.Parse{Query: "LISTEN x"}, &pgproto3.Flush{})
	must.Eq(t, "0A000", receive[*pgproto3.ErrorResponse](t, frontend).Code)
	send(&pgproto3.Sync{})
	must.Eq(t, 'I', receive[*pgproto3.ReadyForQuery](t, frontend).TxStatus)
	count := int64(0)
	must.NoError(t, setup.QueryRow(ctx, "SELECT count(*) FROM seats").Scan(&count))
	must.Eq(t, int64(1), count)
}
