// Package database simulates a group of database servers for tests and demos.
//
// The servers speak the PostgreSQL protocol and keep their data in an embedded SQL engine. They
// replicate committed statements and elect a new primary when the old one fails. Faults are
// injected over HTTP at the control address. Data is kept in memory only.
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

// lastDatabaseNumber makes the names of in-memory databases unique.
var lastDatabaseNumber atomic.Int64

// engine is the SQL state of a server. Statements take mu for reading and commits take it for
// writing, so that the SQL engine never reports a busy database.
type engine struct {
	mu    sync.RWMutex
	write chan struct{} // semaphore of one: only one session may have uncommitted writes
	db    *sql.DB
	apply *sql.Conn
}

func newEngine() (*engine, error) {
	created := &engine{write: make(chan struct{}, 1)}
	return created, created.open()
}

func (e *engine) open() error {
	name := fmt.Sprintf("file:/standin%d?vfs=memdb&_pragma=busy_timeout(2000)", lastDatabaseNumber.Add(1))
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

// rebuild replaces the database by an empty one.
func (e *engine) rebuild() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.db.Close()
	return e.open()
}

// applyTransaction executes a replicated transaction.
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

// Object identifiers of the supported column types (PostgreSQL's pg_type catalog).
const (
	oidBool  = 16
	oidBytea = 17
	oidInt8  = 20
	oidText  = 25
	oidFloat = 701
)

// column describes a column of a result.
type column struct {
	Name string
	OID  uint32
}

// resultSet is the result of a statement.
type resultSet struct {
	Columns  []column
	Rows     [][]any
	Affected int64
}

var integerNamePattern = regexp.MustCompile(`(?i)^(count|sum|length|max|min)\b|^\d+$`)

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
	case declared == "" && integerNamePattern.MatchString(columnType.Name()):
		return oidInt8
	default:
		return oidText
	}
}

// query executes a statement that returns rows.
func query(ctx context.Context, conn *sql.Conn, text string, args []any) (*resultSet, error) {
	rows, err := conn.QueryContext(ctx, text, args...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = rows.Close() }()
	columns, err := columnsOf(rows)
	if err != nil {
		return nil, err
	}
	result := &resultSet{Columns: columns}
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

// execute executes a statement that returns no rows.
func execute(ctx context.Context, conn *sql.Conn, text string, args []any) (*resultSet, error) {
	result, err := conn.ExecContext(ctx, text, args...)
	if err != nil {
		return nil, err
	}
	affected, err := result.RowsAffected()
	return &resultSet{Affected: affected}, err
}

// parameterPattern matches string literals and parameters such as $1. Only parameters have a group.
var parameterPattern = regexp.MustCompile(`'(?:[^']|'')*'|\$(\d+)`)

// convertParameters replaces PostgreSQL parameters ($1) by those of the engine (?1).
func convertParameters(text string) string {
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
