package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/pkg/errors"

	"dewknot/internal/base/failure"
	"dewknot/internal/lab/history"
)

// session is a caller that moves between nodes.
type session struct {
	settings Settings
	name     string
	result   *Result
	random   *rand.Rand
	conns    map[int]*pgx.Conn
	// carriesPosition is set if the session carries its position from node to node.
	carriesPosition bool
	position        string
	lastNumber      int
}

func (s *session) closeAll() {
	for index := range s.conns {
		s.dropConnection(index)
	}
}

func (s *session) dropConnection(index int) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.conns[index].Close(ctx)
	delete(s.conns, index)
}

func (s *session) pickRequest() Request {
	total := 0
	for _, request := range s.settings.Workload.Requests {
		total += request.Weight
	}
	draw := s.random.IntN(total)
	for _, request := range s.settings.Workload.Requests {
		if draw -= request.Weight; draw < 0 {
			return request
		}
	}
	return s.settings.Workload.Requests[0]
}

// runNext runs a random request on a random node and records it.
func (s *session) runNext(ctx context.Context) {
	request := s.pickRequest()
	s.lastNumber++
	own, shared := s.name, s.settings.Workload.Group+"-shared"
	operation := history.Operation{
		ID: fmt.Sprintf("%s-%d", s.name, s.lastNumber), Session: s.name, Caller: s.settings.Workload.User, Kind: request.Kind, Type: request.Type,
		Group: s.settings.Workload.Group, Freshness: request.Freshness, MaxLag: request.MaxLag, Keys: []string{own},
	}
	if request.Shared {
		operation.Keys = []string{shared}
	}
	if request.Type == history.Transaction {
		operation.Keys = []string{own, own + "-paid"}
	}
	node := s.random.IntN(len(s.settings.Nodes))
	operation.Node = fmt.Sprintf("node%d", node+1)
	ctx, cancel := context.WithTimeout(ctx, s.settings.Timeout)
	defer cancel()
	conn, err := s.connection(ctx, node)
	operation.Start = time.Since(s.settings.Started)
	if err != nil {
		s.record(operation, history.NotRun, err)
		return
	}
	stopping := s.settings.StoppingNode != nil && s.settings.StoppingNode(node)
	err = s.run(ctx, conn, request, &operation)
	s.finish(operation, node, conn, stopping, err)
}

func (s *session) connection(ctx context.Context, node int) (*pgx.Conn, error) {
	if conn := s.conns[node]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	conn, err := s.settings.connect(ctx, node)
	if err != nil {
		return nil, err
	}
	s.conns[node] = conn
	return conn, nil
}

func (s *session) run(ctx context.Context, conn *pgx.Conn, request Request, operation *history.Operation) error {
	if s.carriesPosition && s.position != "" {
		if _, err := conn.Exec(ctx, "SET dewknot.position = '"+s.position+"'", pgx.QueryExecModeSimpleProtocol); err != nil {
			return notStartedError{err}
		}
	}
	comment := fmt.Sprintf("/*kind='%s'*/ ", request.Kind)
	switch request.Type {
	case history.Read:
		return s.read(ctx, conn, comment, request, operation)
	case history.Write:
		_, err := conn.Exec(ctx, comment+upsert, operation.Keys[0], operation.ID)
		operation.Answered = operation.ID
		return err
	default:
		operation.Answered = operation.ID
		return s.transaction(ctx, conn, comment, operation)
	}
}

// Statements of the workloads.
const (
	upsert = "INSERT INTO records VALUES ($1, $2) ON CONFLICT(key) DO UPDATE SET value = excluded.value"
	// lookup returns the given number of rows, each with the request's ID.
	lookup = "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < %d) " +
		"SELECT i, '%s', coalesce((SELECT value FROM records WHERE key = '%s'), '') FROM n"
)

func (s *session) read(ctx context.Context, conn *pgx.Conn, comment string, request Request, operation *history.Operation) error {
	text := comment + fmt.Sprintf(lookup, request.Rows, operation.ID, operation.Keys[0])
	rows, err := conn.Query(ctx, text, pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		return err
	}
	defer rows.Close()
	count := 0
	operation.Answered = operation.ID
	for rows.Next() {
		number, answered := "", ""
		if err := rows.Scan(&number, &answered, &operation.Value); err != nil {
			return errors.Wrap(err, "scan row")
		}
		count++
		if answered != operation.ID {
			operation.Answered = answered
		}
	}
	operation.Truncated = count != request.Rows
	return rows.Err()
}

// notStartedError is a failure before the first statement of the operation.
type notStartedError struct{ cause error }

// Error implements the error interface.
func (e notStartedError) Error() string { return e.cause.Error() }

// beforeCommitError is a failure of a transaction before COMMIT was sent.
type beforeCommitError struct{ cause error }

// Error implements the error interface.
func (e beforeCommitError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e beforeCommitError) Unwrap() error { return e.cause }

func (s *session) transaction(ctx context.Context, conn *pgx.Conn, comment string, operation *history.Operation) error {
	transaction, err := conn.Begin(ctx)
	if err != nil {
		return beforeCommitError{err}
	}
	for _, key := range operation.Keys {
		if _, err := transaction.Exec(ctx, comment+upsert, key, operation.ID); err != nil {
			_ = transaction.Rollback(ctx)
			return beforeCommitError{err}
		}
	}
	return transaction.Commit(ctx)
}

// finish records an operation and drops its connection if it can't be used any more.
func (s *session) finish(operation history.Operation, node int, conn *pgx.Conn, stopping bool, err error) {
	if err == nil {
		if position := conn.PgConn().ParameterStatus("dewknot.position"); position != "" && operation.Type != history.Read {
			s.position = position
		}
		s.record(operation, history.OK, nil)
		return
	}
	outcome := outcomeOf(err)
	operation.CutByStop = stopping && outcome == history.Unknown && isConnectionLoss(err)
	s.record(operation, outcome, err)
	if conn.IsClosed() || conn.PgConn().TxStatus() != 'I' {
		s.dropConnection(node)
	}
}

func (s *session) record(operation history.Operation, outcome history.Outcome, err error) {
	operation.Outcome, operation.End = outcome, time.Since(s.settings.Started)
	if err != nil {
		operation.Failure = err.Error()
	}
	s.result.add(operation)
}

func isConnectionLoss(err error) bool {
	var pgError *pgconn.PgError
	return !errors.As(err, &pgError) && !errors.Is(err, context.DeadlineExceeded)
}

// outcomeOf returns what a caller can conclude from an error, see docs/ERRORS.md.
func outcomeOf(err error) history.Outcome {
	var pgError *pgconn.PgError
	var notStarted notStartedError
	var beforeCommit beforeCommitError
	switch {
	case errors.As(err, &notStarted), errors.As(err, &beforeCommit):
		return history.NotRun
	case errors.As(err, &pgError) && pgError.Code != failure.OutcomeUnknown.SQLState():
		return history.NotRun
	case errors.As(err, &pgError):
		return history.Unknown
	case errors.Is(err, pgx.ErrTxCommitRollback), pgconn.SafeToRetry(err):
		return history.NotRun
	default:
		return history.Unknown
	}
}
