package fleet

import (
	"context"
	"database/sql"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	_ "github.com/lib/pq" // the second client library under test
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"dewknot/internal/lab/standin/database"
	"dewknot/internal/postgres/administration"
	"dewknot/internal/postgres/configuration"
	"dewknot/internal/postgres/credential"
)

func start(t *testing.T, change func(*Settings)) *Fleet {
	t.Helper()
	config := Settings{
		Nodes: 3, Zones: []string{"a", "b", "c"}, Log: zap.NewNop(),
		Groups: []database.Settings{DefaultDatabase("bookings")},
	}
	if change != nil {
		change(&config)
	}
	started, err := Start(config)
	must.NoError(t, err)
	t.Cleanup(started.Close)
	return started
}

func connect(t *testing.T, f *Fleet, index int, user string) *pgx.Conn {
	t.Helper()
	url := fmt.Sprintf("postgres://%s@%s/bookings?sslmode=disable", user, f.Nodes[index].Address)
	conn, err := pgx.Connect(context.Background(), url)
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func requireCode(t *testing.T, err error, code string) *pgconn.PgError {
	t.Helper()
	var pgError *pgconn.PgError
	must.True(t, errors.As(err, &pgError), must.Sprint(err))
	must.Eq(t, code, pgError.Code, must.Sprint(pgError.Message, pgError.Detail))
	return pgError
}

// Covers common use with pgx: prepared statements, transactions, errors, batches and several nodes.
func TestPgx(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	first, second := connect(t, f, 0, "ann"), connect(t, f, 1, "ann")
	_, err := first.Exec(ctx, "CREATE TABLE seats (id INTEGER PRIMARY KEY, holder TEXT)")
	must.NoError(t, err)
	for id := range 20 {
		_, err = first.Exec(ctx, "INSERT INTO seats VALUES ($1, $2)", id, fmt.Sprint("holder", id))
		must.NoError(t, err)
		holder := ""
		must.NoError(t, second.QueryRow(ctx, "SELECT holder FROM seats WHERE id = $1", id).Scan(&holder))
		must.Eq(t, fmt.Sprint("holder", id), holder)
	}
	var count int64
	must.NoError(t, second.QueryRow(ctx, "SELECT count(*) FROM seats").Scan(&count))
	must.Eq(t, int64(20), count)

	_, err = first.Exec(ctx, "INSERT INTO seats VALUES (1, 'twice')")
	requireCode(t, err, "23505")

	transaction, err := second.Begin(ctx)
	must.NoError(t, err)
	_, err = transaction.Exec(ctx, "UPDATE seats SET holder = $1 WHERE id = $2", "carl", 3)
	must.NoError(t, err)
	must.NoError(t, transaction.Commit(ctx))
	holder := ""
	must.NoError(t, first.QueryRow(ctx, "SELECT holder FROM seats WHERE id = 3").Scan(&holder))
	must.Eq(t, "carl", holder)

	transaction, err = first.Begin(ctx)
	must.NoError(t, err)
	_, err = transaction.Exec(ctx, "INSERT INTO seats VALUES (1, 'twice')")
	requireCode(t, err, "23505")
	_, err = transaction.Exec(ctx, "SELECT 1")
	requireCode(t, err, "25P02")
	must.NoError(t, transaction.Rollback(ctx))

	batch := &pgx.Batch{}
	for id := range 5 {
		batch.Queue("SELECT holder FROM seats WHERE id = $1", id)
	}
	results := first.SendBatch(ctx, batch)
	for range 5 {
		must.NoError(t, results.QueryRow().Scan(&holder))
	}
	must.NoError(t, results.Close())

	returned := int64(0)
	must.NoError(t, first.QueryRow(ctx, "INSERT INTO seats VALUES ($1, $2) RETURNING id", 99, "x").Scan(&returned))
	must.Eq(t, int64(99), returned)
}

// Statements that don't work with pooling must be rejected with a hint, and the connection must
// stay usable.
func TestUnsupportedStatementsAreRejected(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	conn := connect(t, f, 0, "ann")
	for _, statement := range []string{"LISTEN x", "SET search_path TO y", "CREATE TEMP TABLE z (a int)", "SELECT pg_advisory_lock(1)"} {
		_, err := conn.Exec(ctx, statement)
		refused := requireCode(t, err, "0A000")
		must.StrContains(t, refused.Hint, "connect to the database directly")
	}
	_, err := conn.Exec(ctx, "SET dewknot.position = 'elsewhere@1/2'")
	requireCode(t, err, "22023")
	var one int64
	must.NoError(t, conn.QueryRow(ctx, "SELECT 1").Scan(&one))
}

// A caller that carries its position to another node must see its own writes there.
func TestCarriedPosition(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	first, second := connect(t, f, 0, "ann"), connect(t, f, 2, "ann")
	_, err := first.Exec(ctx, "CREATE TABLE seats (id INTEGER PRIMARY KEY)")
	must.NoError(t, err)
	reported := first.PgConn().ParameterStatus("dewknot.position")
	must.StrHasPrefix(t, "bookings@1/", reported)
	shown := ""
	must.NoError(t, first.QueryRow(ctx, "SHOW dewknot.position").Scan(&shown))
	must.Eq(t, reported, shown)
	_, err = second.Exec(ctx, "SET dewknot.position = '"+reported+"'")
	must.NoError(t, err)
	var count int64
	must.NoError(t, second.QueryRow(ctx, "SELECT count(*) FROM seats").Scan(&count))
}

func TestLibPQ(t *testing.T) {
	f := start(t, nil)
	db, err := sql.Open("postgres", fmt.Sprintf("postgres://ann@%s/bookings?sslmode=disable", f.Nodes[0].Address))
	must.NoError(t, err)
	defer func() { _ = db.Close() }()
	_, err = db.Exec("CREATE TABLE seats (id INTEGER PRIMARY KEY, holder TEXT)")
	must.NoError(t, err)
	prepared, err := db.Prepare("INSERT INTO seats VALUES ($1, $2)")
	must.NoError(t, err)
	for id := range 10 {
		_, err = prepared.Exec(id, "h")
		must.NoError(t, err)
	}
	must.NoError(t, prepared.Close())
	transaction, err := db.Begin()
	must.NoError(t, err)
	_, err = transaction.Exec("DELETE FROM seats WHERE id = $1", 1)
	must.NoError(t, err)
	must.NoError(t, transaction.Rollback())
	count := 0
	must.NoError(t, db.QueryRow("SELECT count(*) FROM seats WHERE holder = $1", "h").Scan(&count))
	must.Eq(t, 10, count)
}

// Only correct passwords of known users must be accepted.
func TestAuthentication(t *testing.T) {
	f := start(t, func(config *Settings) { config.Authenticate = true })
	ctx := context.Background()
	verifier, err := credential.NewVerifier("ann", "secret")
	must.NoError(t, err)
	_, err = f.Nodes[0].Administration().SetUser(ctx, "ann", configuration.User{Verifier: verifier}, administration.Change{Operation: "u", Author: "op"})
	must.NoError(t, err)
	must.NoError(t, Wait(5*time.Second, func() bool { return f.Nodes[1].View().Config.Users["ann"] != nil }))
	url := "postgres://ann:%s@" + f.Nodes[1].Address + "/bookings?sslmode=disable"
	conn, err := pgx.Connect(ctx, fmt.Sprintf(url, "secret"))
	must.NoError(t, err)
	must.NoError(t, conn.Close(ctx))
	_, err = pgx.Connect(ctx, fmt.Sprintf(url, "wrong"))
	requireCode(t, err, "28P01")
	_, err = pgx.Connect(ctx, "postgres://nobody:x@"+f.Nodes[1].Address+"/bookings?sslmode=disable")
	requireCode(t, err, "28P01")
}

// A large answer must arrive complete and in order through every node.
func TestLargeAnswerArrivesComplete(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	writer := connect(t, f, 0, "ann")
	_, err := writer.Exec(ctx, "CREATE TABLE rows (id INTEGER PRIMARY KEY, filler TEXT)")
	must.NoError(t, err)
	const batches, batchRows = 10, 1000
	for batch := range batches {
		fill := fmt.Sprintf("WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < %d) INSERT INTO rows SELECT i + %d, 'abcdefghijklmnopqrstuvwxyz' FROM n", batchRows, batch*batchRows)
		_, err = writer.Exec(ctx, fill)
		must.NoError(t, err)
	}
	for index := range f.Nodes {
		rows, err := connect(t, f, index, "ann").Query(ctx, "SELECT id, filler FROM rows ORDER BY id")
		must.NoError(t, err)
		next := int64(1)
		for rows.Next() {
			var id int64
			var filler string
			must.NoError(t, rows.Scan(&id, &filler))
			must.Eq(t, next, id)
			next++
		}
		must.NoError(t, rows.Err())
		must.Eq(t, int64(batches*batchRows+1), next)
	}
}

// A cancel request must only end the statement of its own connection.
func TestCancel(t *testing.T) {
	f := start(t, func(config *Settings) { config.Groups[0].StatementTime = 400 * time.Millisecond })
	ctx := context.Background()
	conn, other := connect(t, f, 0, "ann"), connect(t, f, 0, "bob")
	result := make(chan error, 1)
	go func() {
		var one int64
		result <- other.QueryRow(ctx, "SELECT 1").Scan(&one)
	}()
	canceled := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT 2")
		canceled <- err
	}()
	must.NoError(t, Wait(5*time.Second, func() bool {
		must.NoError(t, conn.PgConn().CancelRequest(ctx))
		select {
		case err := <-canceled:
			requireCode(t, err, "57014")
			return true
		default:
			return false
		}
	}))
	must.NoError(t, <-result)
}

// TestPlannedStopAnswersOpenTransactions guards against a transaction that is cut off without an answer at the
// end of a planned stop, since its caller sends the next statement at once.
func TestPlannedStopAnswersOpenTransactions(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	conn := connect(t, f, 0, "ann")
	_, err := conn.Exec(ctx, "CREATE TABLE seats (id INTEGER PRIMARY KEY)")
	must.NoError(t, err)
	transaction, err := conn.Begin(ctx)
	must.NoError(t, err)
	drained := make(chan struct{})
	go func() {
		f.Nodes[0].Callers().Drain(2 * time.Second)
		close(drained)
	}()
	for i := 0; err == nil; i++ {
		_, err = transaction.Exec(ctx, "INSERT INTO seats VALUES ($1)", i)
	}
	requireCode(t, err, "57P01")
	<-drained
	var count int64
	must.NoError(t, connect(t, f, 1, "ann").QueryRow(ctx, "SELECT count(*) FROM seats").Scan(&count))
	must.Zero(t, count, must.Sprint("the transaction was not committed"))
}

// A planned stop must let open transactions finish and end idle callers with SQLSTATE 57P01.
func TestPlannedStop(t *testing.T) {
	f := start(t, nil)
	ctx := context.Background()
	conn, idle := connect(t, f, 0, "ann"), connect(t, f, 0, "bob")
	_, err := conn.Exec(ctx, "CREATE TABLE seats (id INTEGER PRIMARY KEY)")
	must.NoError(t, err)
	transaction, err := conn.Begin(ctx)
	must.NoError(t, err)
	_, err = transaction.Exec(ctx, "INSERT INTO seats VALUES (1)")
	must.NoError(t, err)
	drained := make(chan struct{})
	go func() {
		f.Nodes[0].Drain()
		close(drained)
	}()
	must.NoError(t, Wait(5*time.Second, func() bool { return f.Nodes[0].Draining() && f.Nodes[0].Callers().Connected() == 1 }))
	_, err = idle.Exec(ctx, "SELECT 1")
	requireCode(t, err, "57P01")
	_, err = transaction.Exec(ctx, "INSERT INTO seats VALUES (2)")
	must.NoError(t, err)
	must.NoError(t, transaction.Commit(ctx))
	<-drained
	var count int64
	must.NoError(t, connect(t, f, 1, "ann").QueryRow(ctx, "SELECT count(*) FROM seats").Scan(&count))
	must.Eq(t, int64(2), count)
}
