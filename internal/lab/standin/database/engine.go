// Package database is the stand-in for a database group in tests and demos.
//
// A group of servers speaks the PostgreSQL protocol, keeps its data in an
// embedded SQL engine, replicates committed statements between its servers and
// elects a new primary when the old one is lost. Faults are caused by calls to
// its control address. It is not meant to hold data that matters.
package database

import (
	"context"
	"database/sql"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	_ "modernc.org/sqlite" // the embedded SQL engine
)

// loggedStatement is one statement of a committed transaction.
type loggedStatement struct {
	SQL  string
	Args []any
}

// transactionLog is the payload of a log entry.
type transactionLog []loggedStatement

// databaseNumber keeps the names of in-memory databases apart.
var databaseNumber atomic.Int64

// engine is one server's SQL state. Statements hold mu shared, commits hold it
// exclusively, so that the SQL engine never finds its file busy.
type engine struct {
	mu    sync.RWMutex
	write chan struct{} // one token: the right to have uncommitted writes
	db    *sql.DB
	apply *sql.Conn
}

func newEngine() (*engine, error) {
	created := &engine{write: make(chan struct{}, 1)}
	return created, created.open()
}

func (e *engine) open() error {
	name := fmt.Sprintf("file:/standin%d?vfs=memdb&_pragma=busy_timeout(2000)", databaseNumber.Add(1))
	db, err := sql.Open("sqlite", name)
	if err != nil {
		return errors.Wrap(err, "open in-memory database")
	}
	apply, err := db.Conn(context.Background())
	if err != nil {
		return errors.Wrap(err, "connect to in-memory database")
	}
	e.db, e.apply = db, apply
	return nil
}

// rebuild discards all data.
func (e *engine) rebuild() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.db.Close()
	return e.open()
}

// applyTransaction runs the statements of a replicated transaction.
func (e *engine) applyTransaction(statements transactionLog) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	ctx := context.Background()
	if _, err := e.apply.ExecContext(ctx, "BEGIN"); err != nil {
		return errors.Wrap(err, "begin replicated transaction")
	}
	for _, statement := range statements {
		if _, err := e.apply.ExecContext(ctx, statement.SQL, statement.Args...); err != nil {
			_, _ = e.apply.ExecContext(ctx, "ROLLBACK")
			return errors.Wrapf(err, "replicated statement %q", statement.SQL)
		}
	}
	_, err := e.apply.ExecContext(ctx, "COMMIT")
	return errors.Wrap(err, "commit replicated transaction")
}

// Object identifiers of the column types that the stand-in knows
// (PostgreSQL's pg_type catalogue).
const (
	oidBool  = 16
	oidBytea = 17
	oidInt8  = 20
	oidText  = 25
	oidFloat = 701
)

// column describes one column of an answer.
type column struct {
	Name string
	OID  uint32
}

// answer is the result of one statement.
type answer struct {
	Columns  []column
	Rows     [][]any
	Affected int64
}

var countLike = regexp.MustCompile(`(?i)^(count|sum|length|max|min)\b|^\d+$`)

func columnsOf(rows *sql.Rows) ([]column, error) {
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	columns := make([]column, len(types))
	for index, columnType := range types {
		columns[index] = column{Name: columnType.Name(), OID: oidOf(columnType)}
	}
	return columns, nil
}

func oidOf(columnType *sql.ColumnType) uint32 {
	declared := strings.ToUpper(columnType.DatabaseTypeName())
	switch {
	case strings.Contains(declared, "INT"):
		return oidInt8
	case strings.Contains(declared, "REAL"), strings.Contains(declared, "DOUBLE"), strings.Contains(declared, "FLOAT"):
		return oidFloat
	case strings.Contains(declared, "BOOL"):
		return oidBool
	case strings.Contains(declared, "BLOB"), strings.Contains(declared, "BYTEA"):
		return oidBytea
	case declared == "" && countLike.MatchString(columnType.Name()):
		return oidInt8
	default:
		return oidText
	}
}

// query runs a statement that yields rows.
func query(ctx context.Context, conn *sql.Conn, text string, args []any) (*answer, error) {
	rows, err := conn.QueryContext(ctx, text, args...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }()
	columns, err := columnsOf(rows)
	if err != nil {
		return nil, err
	}
	result := &answer{Columns: columns}
	for rows.Next() {
		values := make([]any, len(columns))
		targets := make([]any, len(columns))
		for index := range values {
			targets[index] = &values[index]
		}
		if err := rows.Scan(targets...); err != nil {
			return nil, err
		}
		result.Rows = append(result.Rows, values)
	}
	return result, rows.Err()
}

// execute runs a statement that yields no rows.
func execute(ctx context.Context, conn *sql.Conn, text string, args []any) (*answer, error) {
	result, err := conn.ExecContext(ctx, text, args...)
	if err != nil {
		return nil, err
	}
	affected, err := result.RowsAffected()
	return &answer{Affected: affected}, err
}

// parameterPattern finds $1 outside of what dollarToQuestion skips.
var parameterPattern = regexp.MustCompile(`'(?:[^']|'')*'|\$(\d+)`)

// dollarToQuestion rewrites PostgreSQL parameters ($1) to the engine's (?1).
func dollarToQuestion(text string) string {
	if !strings.Contains(text, "$") {
		return text
	}
	return parameterPattern.ReplaceAllStringFunc(text, func(found string) string {
		if found[0] == '$' {
			return "?" + found[1:]
		}
		return found
	})
}

// parameterCount returns the highest parameter number in a statement.
func parameterCount(text string) int {
	highest := 0
	for _, match := range parameterPattern.FindAllStringSubmatch(text, -1) {
		number := 0
		_, _ = fmt.Sscanf(match[1], "%d", &number)
		highest = max(highest, number)
	}
	return highest
}
